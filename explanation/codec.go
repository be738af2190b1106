package explanation

import (
	"encoding/json"
	"time"
)

// The JSON forms. Durations are in milliseconds.
type (
	message struct {
		Gateway       string             `json:"gateway"`
		GatewayRegion string             `json:"gatewayRegion"`
		RouteVersion  int64              `json:"routeVersion"`
		ViewAgeMillis float64            `json:"viewAgeMillis"`
		Route         string             `json:"route"`
		Service       string             `json:"service"`
		Decision      decisionMessage    `json:"decision"`
		Candidates    []candidateMessage `json:"candidates"`
		Excluded      []excludedMessage  `json:"excluded"`
		Regions       []regionMessage    `json:"regions"`
		Team          *teamMessage       `json:"team,omitempty"`
	}
	decisionMessage struct {
		Verdict          string  `json:"verdict"`
		Endpoint         string  `json:"endpoint,omitempty"`
		Region           string  `json:"region,omitempty"`
		Gateway          string  `json:"gateway,omitempty"`
		Handed           bool    `json:"handed,omitempty"`
		FetchFrom        string  `json:"fetchFrom,omitempty"`
		Reason           string  `json:"reason,omitempty"`
		RetryAfterMillis float64 `json:"retryAfterMillis,omitempty"`
		ExpectedMillis   float64 `json:"expectedMillis"`
		EndMillis        float64 `json:"endMillis,omitempty"`
		CostMillis       float64 `json:"costMillis"`
		Rank             int     `json:"rank"`
	}
	candidateMessage struct {
		Endpoint       string  `json:"endpoint"`
		Chosen         bool    `json:"chosen"`
		ExpectedMillis float64 `json:"expectedMillis"`
		EndMillis      float64 `json:"endMillis,omitempty"`
		CostMillis     float64 `json:"costMillis"`
		DecodeMillis   float64 `json:"decodeMillis"`
		ReadMillis     float64 `json:"readMillis"`
		DetourMillis   float64 `json:"detourMillis"`
		FailureMillis  float64 `json:"failureMillis"`
		FinishMillis   float64 `json:"finishMillis"`
		MissMillis     float64 `json:"missMillis"`
		CachedTokens   int64   `json:"cachedTokens"`
		Fetches        bool    `json:"fetches"`
		Pace           float64 `json:"pace,omitempty"`
		Requests       int     `json:"requests"`
		Slots          int     `json:"slots"`
		HeldTokens     int64   `json:"heldTokens"`
		Memory         int64   `json:"memory"`
		Preferred      bool    `json:"preferred"`
		Full           bool    `json:"full"`
		Crowded        bool    `json:"crowded"`
		MemoryFull     bool    `json:"memoryFull"`
	}
	excludedMessage struct {
		Endpoint string `json:"endpoint"`
		Reason   string `json:"reason"`
	}
	regionMessage struct {
		Name           string  `json:"name"`
		Chosen         bool    `json:"chosen"`
		Reason         string  `json:"reason,omitempty"`
		Gateways       int     `json:"gateways"`
		Reported       bool    `json:"reported"`
		AgeMillis      float64 `json:"ageMillis"`
		Endpoints      int     `json:"endpoints"`
		PromptTokens   int64   `json:"promptTokens"`
		Busy           float64 `json:"busy"`
		Occupied       float64 `json:"occupied"`
		ExpectedMillis float64 `json:"expectedMillis,omitempty"`
		CostMillis     float64 `json:"costMillis,omitempty"`
	}
	teamMessage struct {
		Name          string            `json:"name"`
		Priority      int               `json:"priority"`
		Share         float64           `json:"share"`
		Used          float64           `json:"used"`
		ShareEnforced bool              `json:"shareEnforced"`
		Allotment     *allotmentMessage `json:"allotment,omitempty"`
	}
	allotmentMessage struct {
		Unit        string  `json:"unit"`
		State       string  `json:"state"`
		Cost        float64 `json:"cost"`
		Rate        float64 `json:"rate"`
		Burst       float64 `json:"burst"`
		Held        float64 `json:"held"`
		Owner       string  `json:"owner,omitempty"`
		LevelKnown  bool    `json:"levelKnown"`
		Level       float64 `json:"level"`
		ShortMillis float64 `json:"shortMillis,omitempty"`
	}
)

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func fromMillis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Microsecond)
}

// Encode returns the explanation as JSON.
func Encode(e *Explanation) ([]byte, error) {
	m := message{
		Gateway: e.Gateway, GatewayRegion: e.GatewayRegion, RouteVersion: e.RouteVersion, ViewAgeMillis: millis(e.ViewAge), Route: e.Route, Service: e.Service,
		Decision: encodeDecision(e.Decision), Candidates: []candidateMessage{}, Excluded: []excludedMessage{}, Regions: []regionMessage{}, Team: encodeTeam(e.Team),
	}
	for _, c := range e.Candidates {
		m.Candidates = append(m.Candidates, candidateMessage{
			Endpoint: c.Endpoint, Chosen: c.Chosen, ExpectedMillis: millis(c.Expected), EndMillis: millis(c.End), CostMillis: millis(c.Cost),
			DecodeMillis: millis(c.Decode), ReadMillis: millis(c.Read), DetourMillis: millis(c.Detour), FailureMillis: millis(c.Failure),
			FinishMillis: millis(c.Finish), MissMillis: millis(c.Miss), CachedTokens: c.CachedTokens, Fetches: c.Fetches, Pace: c.Pace, Requests: c.Requests, Slots: c.Slots, HeldTokens: c.HeldTokens,
			Memory: c.Memory, Preferred: c.Preferred, Full: c.Full, Crowded: c.Crowded, MemoryFull: c.MemoryFull,
		})
	}
	for _, x := range e.Excluded {
		m.Excluded = append(m.Excluded, excludedMessage(x))
	}
	for _, r := range e.Regions {
		m.Regions = append(m.Regions, regionMessage{
			Name: r.Name, Chosen: r.Chosen, Reason: r.Reason, Gateways: r.Gateways, Reported: r.Reported, AgeMillis: millis(r.Age), Endpoints: r.Endpoints,
			PromptTokens: r.PromptTokens, Busy: r.Busy, Occupied: r.Occupied, ExpectedMillis: millis(r.Expected), CostMillis: millis(r.Cost),
		})
	}
	return json.MarshalIndent(m, "", "  ")
}

func encodeDecision(d Decision) decisionMessage {
	return decisionMessage{
		Verdict: d.Verdict, Endpoint: d.Endpoint, Region: d.Region, Gateway: d.Gateway, Handed: d.Handed, FetchFrom: d.FetchFrom, Reason: d.Reason,
		RetryAfterMillis: millis(d.RetryAfter), ExpectedMillis: millis(d.Expected), EndMillis: millis(d.End), CostMillis: millis(d.Cost), Rank: d.Rank,
	}
}

func encodeTeam(t *Team) *teamMessage {
	if t == nil {
		return nil
	}
	m := &teamMessage{Name: t.Name, Priority: t.Priority, Share: t.Share, Used: t.Used, ShareEnforced: t.ShareEnforced}
	if a := t.Allotment; a != nil {
		m.Allotment = &allotmentMessage{
			Unit: a.Unit, State: string(a.State), Cost: a.Cost, Rate: a.Rate, Burst: a.Burst, Held: a.Held, Owner: a.Owner, LevelKnown: a.LevelKnown, Level: a.Level,
			ShortMillis: millis(a.Short),
		}
	}
	return m
}

// Decode returns the explanation in JSON, whose durations are rounded to microseconds. Other content returns *AnswerError.
func Decode(b []byte) (*Explanation, error) {
	var m message
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, &AnswerError{Cause: err}
	}
	e := &Explanation{
		Gateway: m.Gateway, GatewayRegion: m.GatewayRegion, RouteVersion: m.RouteVersion, ViewAge: fromMillis(m.ViewAgeMillis), Route: m.Route, Service: m.Service,
		Decision: decodeDecision(m.Decision), Team: decodeTeam(m.Team),
	}
	for _, c := range m.Candidates {
		e.Candidates = append(e.Candidates, Candidate{
			Endpoint: c.Endpoint, Chosen: c.Chosen, Expected: fromMillis(c.ExpectedMillis), End: fromMillis(c.EndMillis), Cost: fromMillis(c.CostMillis),
			Decode: fromMillis(c.DecodeMillis), Read: fromMillis(c.ReadMillis), Detour: fromMillis(c.DetourMillis), Failure: fromMillis(c.FailureMillis),
			Finish: fromMillis(c.FinishMillis), Miss: fromMillis(c.MissMillis), CachedTokens: c.CachedTokens, Fetches: c.Fetches, Pace: c.Pace, Requests: c.Requests, Slots: c.Slots, HeldTokens: c.HeldTokens,
			Memory: c.Memory, Preferred: c.Preferred, Full: c.Full, Crowded: c.Crowded, MemoryFull: c.MemoryFull,
		})
	}
	for _, x := range m.Excluded {
		e.Excluded = append(e.Excluded, Excluded(x))
	}
	for _, r := range m.Regions {
		e.Regions = append(e.Regions, Region{
			Name: r.Name, Chosen: r.Chosen, Reason: r.Reason, Gateways: r.Gateways, Reported: r.Reported, Age: fromMillis(r.AgeMillis), Endpoints: r.Endpoints,
			PromptTokens: r.PromptTokens, Busy: r.Busy, Occupied: r.Occupied, Expected: fromMillis(r.ExpectedMillis), Cost: fromMillis(r.CostMillis),
		})
	}
	return e, nil
}

func decodeDecision(d decisionMessage) Decision {
	return Decision{
		Verdict: d.Verdict, Endpoint: d.Endpoint, Region: d.Region, Gateway: d.Gateway, Handed: d.Handed, FetchFrom: d.FetchFrom, Reason: d.Reason,
		RetryAfter: fromMillis(d.RetryAfterMillis), Expected: fromMillis(d.ExpectedMillis), End: fromMillis(d.EndMillis), Cost: fromMillis(d.CostMillis), Rank: d.Rank,
	}
}

func decodeTeam(m *teamMessage) *Team {
	if m == nil {
		return nil
	}
	t := &Team{Name: m.Name, Priority: m.Priority, Share: m.Share, Used: m.Used, ShareEnforced: m.ShareEnforced}
	if a := m.Allotment; a != nil {
		t.Allotment = &Allotment{
			Unit: a.Unit, State: AllotmentState(a.State), Cost: a.Cost, Rate: a.Rate, Burst: a.Burst, Held: a.Held, Owner: a.Owner, LevelKnown: a.LevelKnown, Level: a.Level,
			Short: fromMillis(a.ShortMillis),
		}
	}
	return t
}
