package relay

import (
	"time"

	"arbutusreel/distribution"
	"arbutusreel/wiregen"
)

// EncodeDelta returns the wire message of a delta.
func EncodeDelta(d distribution.Delta) *wiregen.InventoryDelta {
	return &wiregen.InventoryDelta{
		Revision: d.Revision, PrefixBytes: int64(d.Prefix), SuffixBytes: int64(d.Suffix),
		Middle: d.Middle, Checksum: d.Checksum,
	}
}

// DecodeDelta returns the delta of a wire message. It does not validate the delta, which is checked when it is applied.
func DecodeDelta(m *wiregen.InventoryDelta) distribution.Delta {
	return distribution.Delta{
		Revision: m.GetRevision(), Prefix: int(m.GetPrefixBytes()), Suffix: int(m.GetSuffixBytes()),
		Middle: m.GetMiddle(), Checksum: m.GetChecksum(),
	}
}

func encodeUpdate(u distribution.Update) *wiregen.FollowUpdate {
	m := &wiregen.FollowUpdate{Revision: u.Revision, Whole: u.Whole}
	for _, d := range u.Deltas {
		m.Deltas = append(m.Deltas, EncodeDelta(d))
	}
	return m
}

func decodeUpdate(m *wiregen.FollowUpdate) distribution.Update {
	u := distribution.Update{Revision: m.GetRevision()}
	if len(m.GetWhole()) > 0 {
		u.Whole = m.GetWhole()
	}
	for _, d := range m.GetDeltas() {
		u.Deltas = append(u.Deltas, DecodeDelta(d))
	}
	return u
}

func encodeReport(now time.Time, r distribution.Report) *wiregen.FollowReport {
	m := &wiregen.FollowReport{CommonRevision: r.Common}
	for _, i := range r.Instances {
		m.Instances = append(m.Instances, &wiregen.InstanceRevision{
			Name: i.Name, Region: i.Region, Revision: i.Revision, AgeMillis: now.Sub(i.At).Milliseconds(),
			LedgerFatalDomain: i.LedgerFatalDomain,
		})
	}
	return m
}

func decodeReport(now time.Time, m *wiregen.FollowReport) distribution.Report {
	r := distribution.Report{Common: m.GetCommonRevision()}
	for _, i := range m.GetInstances() {
		r.Instances = append(r.Instances, distribution.Instance{
			Name: i.GetName(), Region: i.GetRegion(), Revision: i.GetRevision(), LedgerFatalDomain: i.GetLedgerFatalDomain(),
			At: now.Add(-time.Duration(i.GetAgeMillis()) * time.Millisecond),
		})
	}
	return r
}
