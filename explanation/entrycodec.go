package explanation

import "encoding/json"

// The JSON forms of explanations of entries. Durations are in milliseconds.
type (
	entryMessage struct {
		Entry         string                  `json:"entry"`
		EntryRegion   string                  `json:"entryRegion"`
		Revision      int64                   `json:"revision"`
		Service       string                  `json:"service"`
		Model         string                  `json:"model,omitempty"`
		Team          string                  `json:"team"`
		Class         string                  `json:"class"`
		Decision      entryDecisionMessage    `json:"decision"`
		Candidates    []entryCandidateMessage `json:"candidates"`
		Excluded      []excludedMessage       `json:"excluded"`
		Regions       []entryRegionMessage    `json:"regions"`
		Limited       bool                    `json:"limited"`
		RatePerSecond float64                 `json:"ratePerSecond"`
		Left          float64                 `json:"left"`
	}
	entryDecisionMessage struct {
		Action           string       `json:"action"`
		Reason           string       `json:"reason,omitempty"`
		RetryAfterMillis float64      `json:"retryAfterMillis,omitempty"`
		Endpoint         string       `json:"endpoint,omitempty"`
		Region           string       `json:"region,omitempty"`
		Terms            termsMessage `json:"terms"`
		WaitMillis       float64      `json:"waitMillis,omitempty"`
		PrefillMillis    float64      `json:"prefillMillis,omitempty"`
		DecodeMillis     float64      `json:"decodeMillis,omitempty"`
		ExpectedTokens   int          `json:"expectedTokens"`
		ReservedTokens   int          `json:"reservedTokens"`
		TokensAhead      int          `json:"tokensAhead"`
	}
	termsMessage struct {
		FirstMillis    float64 `json:"firstMillis"`
		EndMillis      float64 `json:"endMillis"`
		WaitMillis     float64 `json:"waitMillis"`
		PrefillMillis  float64 `json:"prefillMillis"`
		TransferMillis float64 `json:"transferMillis"`
		CachedTokens   float64 `json:"cachedTokens"`
		Cost           float64 `json:"cost"`
		Score          float64 `json:"score"`
	}
	entryCandidateMessage struct {
		Endpoint       string       `json:"endpoint"`
		Chosen         bool         `json:"chosen"`
		Terms          termsMessage `json:"terms"`
		HasCapacity    bool         `json:"hasCapacity"`
		Starting       bool         `json:"starting"`
		Outstanding    float64      `json:"outstanding"`
		Slots          int          `json:"slots"`
		ReservedTokens int          `json:"reservedTokens"`
		CacheTokens    int          `json:"cacheTokens"`
	}
	entryRegionMessage struct {
		Name        string       `json:"name"`
		Chosen      bool         `json:"chosen"`
		Reason      string       `json:"reason,omitempty"`
		Terms       termsMessage `json:"terms"`
		Outstanding float64      `json:"outstanding"`
		Slots       int          `json:"slots"`
		Endpoints   int          `json:"endpoints"`
	}
)

func encodeTerms(t Terms) termsMessage {
	return termsMessage{
		FirstMillis: millis(t.First), EndMillis: millis(t.End), WaitMillis: millis(t.Wait), PrefillMillis: millis(t.Prefill),
		TransferMillis: millis(t.Transfer), CachedTokens: t.CachedTokens, Cost: t.Cost, Score: t.Score,
	}
}

func decodeTerms(m termsMessage) Terms {
	return Terms{
		First: fromMillis(m.FirstMillis), End: fromMillis(m.EndMillis), Wait: fromMillis(m.WaitMillis), Prefill: fromMillis(m.PrefillMillis),
		Transfer: fromMillis(m.TransferMillis), CachedTokens: m.CachedTokens, Cost: m.Cost, Score: m.Score,
	}
}

// EncodeEntry returns the explanation of an entry as JSON.
func EncodeEntry(e *EntryExplanation) ([]byte, error) {
	d := e.Decision
	m := entryMessage{
		Entry: e.Entry, EntryRegion: e.EntryRegion, Revision: e.Revision, Service: e.Service, Model: e.Model, Team: e.Team, Class: e.Class,
		Decision: entryDecisionMessage{
			Action: d.Action, Reason: d.Reason, RetryAfterMillis: millis(d.RetryAfter), Endpoint: d.Endpoint, Region: d.Region, Terms: encodeTerms(d.Terms),
			WaitMillis: millis(d.Wait), PrefillMillis: millis(d.Prefill), DecodeMillis: millis(d.Decode),
			ExpectedTokens: d.ExpectedTokens, ReservedTokens: d.ReservedTokens, TokensAhead: d.TokensAhead,
		},
		Candidates: []entryCandidateMessage{}, Excluded: []excludedMessage{}, Regions: []entryRegionMessage{},
		Limited: e.Limited, RatePerSecond: e.Rate, Left: e.Left,
	}
	for _, c := range e.Candidates {
		m.Candidates = append(m.Candidates, entryCandidateMessage{
			Endpoint: c.Endpoint, Chosen: c.Chosen, Terms: encodeTerms(c.Terms), HasCapacity: c.HasCapacity, Starting: c.Starting, Outstanding: c.Outstanding,
			Slots: c.Slots, ReservedTokens: c.ReservedTokens, CacheTokens: c.CacheTokens,
		})
	}
	for _, x := range e.Excluded {
		m.Excluded = append(m.Excluded, excludedMessage(x))
	}
	for _, r := range e.Regions {
		m.Regions = append(m.Regions, entryRegionMessage{
			Name: r.Name, Chosen: r.Chosen, Reason: r.Reason, Terms: encodeTerms(r.Terms), Outstanding: r.Outstanding, Slots: r.Slots, Endpoints: r.Endpoints,
		})
	}
	return json.MarshalIndent(m, "", "  ")
}

// DecodeEntry returns the explanation of an entry in JSON. Other content returns *AnswerError.
func DecodeEntry(b []byte) (*EntryExplanation, error) {
	var m entryMessage
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, &AnswerError{Cause: err}
	}
	d := m.Decision
	e := &EntryExplanation{
		Entry: m.Entry, EntryRegion: m.EntryRegion, Revision: m.Revision, Service: m.Service, Model: m.Model, Team: m.Team, Class: m.Class,
		Decision: EntryDecision{
			Action: d.Action, Reason: d.Reason, RetryAfter: fromMillis(d.RetryAfterMillis), Endpoint: d.Endpoint, Region: d.Region, Terms: decodeTerms(d.Terms),
			Wait: fromMillis(d.WaitMillis), Prefill: fromMillis(d.PrefillMillis), Decode: fromMillis(d.DecodeMillis),
			ExpectedTokens: d.ExpectedTokens, ReservedTokens: d.ReservedTokens, TokensAhead: d.TokensAhead,
		},
		Limited: m.Limited, Rate: m.RatePerSecond, Left: m.Left,
	}
	for _, c := range m.Candidates {
		e.Candidates = append(e.Candidates, EntryCandidate{
			Endpoint: c.Endpoint, Chosen: c.Chosen, Terms: decodeTerms(c.Terms), HasCapacity: c.HasCapacity, Starting: c.Starting, Outstanding: c.Outstanding,
			Slots: c.Slots, ReservedTokens: c.ReservedTokens, CacheTokens: c.CacheTokens,
		})
	}
	for _, x := range m.Excluded {
		e.Excluded = append(e.Excluded, Excluded(x))
	}
	for _, r := range m.Regions {
		e.Regions = append(e.Regions, EntryRegion{
			Name: r.Name, Chosen: r.Chosen, Reason: r.Reason, Terms: decodeTerms(r.Terms), Outstanding: r.Outstanding, Slots: r.Slots, Endpoints: r.Endpoints,
		})
	}
	return e, nil
}
