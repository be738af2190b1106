package relay

import (
	"time"

	"arbutusreel/distribution"
	"arbutusreel/wiregen"
)

func encodeUpdate(u distribution.Update) *wiregen.FollowUpdate {
	m := &wiregen.FollowUpdate{Revision: u.Revision, Whole: u.Whole}
	for _, d := range u.Deltas {
		m.Deltas = append(m.Deltas, &wiregen.InventoryDelta{
			Revision: d.Revision, PrefixBytes: int64(d.Prefix), SuffixBytes: int64(d.Suffix), Middle: d.Middle, Checksum: d.Checksum,
		})
	}
	return m
}

func decodeUpdate(m *wiregen.FollowUpdate) distribution.Update {
	u := distribution.Update{Revision: m.GetRevision()}
	if len(m.GetWhole()) > 0 {
		u.Whole = m.GetWhole()
	}
	for _, d := range m.GetDeltas() {
		u.Deltas = append(u.Deltas, distribution.Delta{
			Revision: d.GetRevision(), Prefix: int(d.GetPrefixBytes()), Suffix: int(d.GetSuffixBytes()), Middle: d.GetMiddle(), Checksum: d.GetChecksum(),
		})
	}
	return u
}

func encodeReport(now time.Time, r distribution.Report) *wiregen.FollowReport {
	m := &wiregen.FollowReport{CommonRevision: r.Common}
	for _, i := range r.Instances {
		m.Instances = append(m.Instances, &wiregen.InstanceRevision{
			Name: i.Name, Region: i.Region, Revision: i.Revision, AgeMillis: now.Sub(i.At).Milliseconds(),
		})
	}
	return m
}

func decodeReport(now time.Time, m *wiregen.FollowReport) distribution.Report {
	r := distribution.Report{Common: m.GetCommonRevision()}
	for _, i := range m.GetInstances() {
		r.Instances = append(r.Instances, distribution.Instance{
			Name: i.GetName(), Region: i.GetRegion(), Revision: i.GetRevision(), At: now.Add(-time.Duration(i.GetAgeMillis()) * time.Millisecond),
		})
	}
	return r
}
