package wire

import (
	"math"
	"time"

	"arbutusreel/fleet"
	"arbutusreel/membership"
	"arbutusreel/wiregen"
)

// maxLoadAge is the upper limit for the age of a load report; greater ages are reduced to it.
const maxLoadAge = 24 * time.Hour

// InvalidAnnouncementError reports that a field of an announcement is missing or invalid.
type InvalidAnnouncementError struct {
	Field  string
	Reason string
}

// Error names the field and the reason.
func (e *InvalidAnnouncementError) Error() string {
	return "announcement field " + e.Field + ": " + e.Reason
}

// DecodeAnnouncement returns the endpoint of an announcement received at the time now. A missing or invalid field
// returns *InvalidAnnouncementError.
func DecodeAnnouncement(now time.Time, m *wiregen.Announcement) (membership.Endpoint, error) {
	if err := checkAnnouncement(m); err != nil {
		return membership.Endpoint{}, err
	}
	return membership.Endpoint{
		Name:            m.GetName(),
		Incarnation:     m.GetIncarnation(),
		Sequence:        m.GetSequence(),
		Address:         m.GetAddress(),
		Region:          m.GetRegion(),
		FailureDomain:   m.GetFailureDomain(),
		Service:         m.GetService(),
		Models:          m.GetModels(),
		Slots:           int(m.GetSlots()),
		Leaving:         m.GetLeaving(),
		Load:            decodeLoad(now, m.GetLoad()),
		CacheEvents:     mapAll(m.GetCacheEvents(), decodeCacheEvent),
		CacheSequence:   m.GetCacheSequence(),
		CacheTokens:     int(m.GetCacheTokens()),
		Versions:        m.GetVersions(),
		Loading:         m.GetLoading(),
		OrderTerm:       m.GetOrderTerm(),
		OrderSequence:   m.GetOrderSequence(),
		SoftwareVersion: m.GetSoftwareVersion(),
	}, nil
}

// DecodeRenewal returns the renewal in an announcement received at the time now. An invalid load report returns
// *InvalidAnnouncementError.
func DecodeRenewal(now time.Time, m *wiregen.Announcement) (membership.Renewal, error) {
	if err := checkLoad(m.GetLoad()); err != nil {
		return membership.Renewal{}, err
	}
	r := membership.Renewal{
		Name:          m.GetName(),
		Incarnation:   m.GetIncarnation(),
		Sequence:      m.GetSequence(),
		FullSequence:  m.GetRenews(),
		CacheEvents:   mapAll(m.GetCacheEvents(), decodeCacheEvent),
		CacheSequence: m.GetCacheSequence(),
	}
	if m.GetLoad() != nil {
		load := decodeLoad(now, m.GetLoad())
		r.Load = &load
	}
	return r, nil
}

func decodeLoad(now time.Time, m *wiregen.LoadReport) membership.Load {
	return membership.Load{
		Running:                int(m.GetRunning()),
		Queued:                 int(m.GetQueued()),
		QueuedTokens:           int(m.GetQueuedTokens()),
		TokensPerSecond:        m.GetTokensPerSecond(),
		PrefillTokensPerSecond: m.GetPrefillTokensPerSecond(),
		CacheUse:               m.GetCacheUse(),
		At:                     now.Add(-loadAge(m)),
	}
}

func checkAnnouncement(m *wiregen.Announcement) error {
	required := []struct{ field, value string }{
		{"name", m.GetName()},
		{"region", m.GetRegion()},
		{"failureDomain", m.GetFailureDomain()},
		{"service", m.GetService()},
	}
	for _, r := range required {
		if r.value == "" {
			return &InvalidAnnouncementError{Field: r.field, Reason: "the field is required"}
		}
	}
	if !fleet.ValidAddress(m.GetAddress()) {
		return &InvalidAnnouncementError{Field: "address", Reason: "an address must be an IP address and a port in canonical form"}
	}
	if m.GetSlots() <= 0 {
		return &InvalidAnnouncementError{Field: "slots", Reason: "the value must be greater than zero"}
	}
	return checkLoad(m.GetLoad())
}

// checkLoad returns *InvalidAnnouncementError for numbers that are negative or not finite, which would distort the
// choice of endpoints.
func checkLoad(m *wiregen.LoadReport) error {
	numbers := []struct {
		field string
		value float64
	}{
		{"load.running", float64(m.GetRunning())},
		{"load.queued", float64(m.GetQueued())},
		{"load.queuedTokens", float64(m.GetQueuedTokens())},
		{"load.tokensPerSecond", m.GetTokensPerSecond()},
		{"load.prefillTokensPerSecond", m.GetPrefillTokensPerSecond()},
		{"load.cacheUse", m.GetCacheUse()},
	}
	for _, n := range numbers {
		if !(n.value >= 0) || math.IsInf(n.value, 0) {
			return &InvalidAnnouncementError{Field: n.field, Reason: "the value must be zero or more and finite"}
		}
	}
	return nil
}

// loadAge returns the age of a load report, clamped to the range from zero to maxLoadAge.
func loadAge(m *wiregen.LoadReport) time.Duration {
	return time.Duration(min(max(m.GetAgeMillis(), 0), maxLoadAge.Milliseconds())) * time.Millisecond
}

// EncodeAnnouncement returns the announcement for an endpoint; its load report carries its age at the time now.
func EncodeAnnouncement(now time.Time, e membership.Endpoint) *wiregen.Announcement {
	return &wiregen.Announcement{
		Name:            e.Name,
		Incarnation:     e.Incarnation,
		Sequence:        e.Sequence,
		Address:         e.Address,
		Region:          e.Region,
		FailureDomain:   e.FailureDomain,
		Service:         e.Service,
		Models:          e.Models,
		Slots:           int64(e.Slots),
		Leaving:         e.Leaving,
		Load:            encodeLoad(now, e.Load),
		CacheEvents:     mapAll(e.CacheEvents, encodeCacheEvent),
		CacheSequence:   e.CacheSequence,
		CacheTokens:     int64(e.CacheTokens),
		Versions:        e.Versions,
		Loading:         e.Loading,
		OrderTerm:       e.OrderTerm,
		OrderSequence:   e.OrderSequence,
		SoftwareVersion: e.SoftwareVersion,
	}
}

func encodeLoad(now time.Time, l membership.Load) *wiregen.LoadReport {
	return &wiregen.LoadReport{
		Running:                int64(l.Running),
		Queued:                 int64(l.Queued),
		QueuedTokens:           int64(l.QueuedTokens),
		TokensPerSecond:        l.TokensPerSecond,
		PrefillTokensPerSecond: l.PrefillTokensPerSecond,
		CacheUse:               l.CacheUse,
		AgeMillis:              now.Sub(l.At).Milliseconds(),
	}
}

func decodeCacheEvent(m *wiregen.CacheEvent) membership.CacheEvent {
	return membership.CacheEvent{PrefixHash: m.GetPrefixHash(), Dropped: m.GetDropped(), Tokens: int(m.GetTokens())}
}

func encodeCacheEvent(e membership.CacheEvent) *wiregen.CacheEvent {
	return &wiregen.CacheEvent{PrefixHash: e.PrefixHash, Dropped: e.Dropped, Tokens: int64(e.Tokens)}
}

// DecodeEntries returns the entries of the messages.
func DecodeEntries(ms []*wiregen.EntryAdvert) []membership.Entry { return mapAll(ms, decodeEntry) }

// EncodeEntries returns the messages for the entries.
func EncodeEntries(es []membership.Entry) []*wiregen.EntryAdvert { return mapAll(es, EncodeEntry) }

func decodeEntry(m *wiregen.EntryAdvert) membership.Entry {
	return membership.Entry{
		Name:            m.GetName(),
		Region:          m.GetRegion(),
		FailureDomain:   m.GetFailureDomain(),
		CallerAddress:   m.GetCallerAddress(),
		EndpointAddress: m.GetEndpointAddress(),
		PeerAddress:     m.GetPeerAddress(),
		Weight:          m.GetWeight(),
		Leaving:         m.GetLeaving(),
		Incarnation:     m.GetIncarnation(),
		Sequence:        m.GetSequence(),
		LedgerEpoch:     m.GetLedgerEpoch(),
	}
}

// EncodeEntry returns the message for an entry.
func EncodeEntry(e membership.Entry) *wiregen.EntryAdvert {
	return &wiregen.EntryAdvert{
		Name:            e.Name,
		Region:          e.Region,
		FailureDomain:   e.FailureDomain,
		CallerAddress:   e.CallerAddress,
		EndpointAddress: e.EndpointAddress,
		PeerAddress:     e.PeerAddress,
		Weight:          e.Weight,
		Leaving:         e.Leaving,
		Incarnation:     e.Incarnation,
		Sequence:        e.Sequence,
		LedgerEpoch:     e.LedgerEpoch,
	}
}

// DecodeSummaries returns the summaries of messages received at the time now.
func DecodeSummaries(now time.Time, ms []*wiregen.RegionSummary) []membership.Summary {
	return mapAll(ms, func(m *wiregen.RegionSummary) membership.Summary {
		return membership.Summary{
			Region:          m.GetRegion(),
			Service:         m.GetService(),
			Models:          m.GetModels(),
			Endpoints:       int(m.GetEndpoints()),
			Slots:           int(m.GetSlots()),
			Running:         int(m.GetRunning()),
			Queued:          int(m.GetQueued()),
			TokensPerSecond: m.GetTokensPerSecond(),
			Sequence:        m.GetSequence(),
			At:              now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond),
		}
	})
}

// EncodeSummaries returns the messages for the summaries, with their age at the time now.
func EncodeSummaries(now time.Time, summaries []membership.Summary) []*wiregen.RegionSummary {
	return mapAll(summaries, func(s membership.Summary) *wiregen.RegionSummary {
		return &wiregen.RegionSummary{
			Region:          s.Region,
			Service:         s.Service,
			Models:          s.Models,
			Endpoints:       int64(s.Endpoints),
			Slots:           int64(s.Slots),
			Running:         int64(s.Running),
			Queued:          int64(s.Queued),
			TokensPerSecond: s.TokensPerSecond,
			Sequence:        s.Sequence,
			AgeMillis:       now.Sub(s.At).Milliseconds(),
		}
	})
}
