package wire

import (
	"math"
	"time"

	"arbutusreel/inventory"
	"arbutusreel/wiregen"
)

// DecodeInventory returns the validated inventory of m; an invalid one returns inventory.Faults.
func DecodeInventory(m *wiregen.Inventory) (*inventory.Inventory, error) {
	return inventory.New(decodeContents(m))
}

// DecodePatch returns the patch of m.
func DecodePatch(m *wiregen.PatchRequest) inventory.Patch {
	p := inventory.Patch{Put: decodeContents(m.GetPut()), Remove: m.GetRemove()}
	if m.GetPut().GetRules() != nil {
		p.Rules = &p.Put.Rules
	}
	return p
}

func decodeContents(m *wiregen.Inventory) inventory.Contents {
	return inventory.Contents{
		Regions:  mapAll(m.GetRegions(), decodeRegion),
		Links:    mapAll(m.GetLinks(), decodeLink),
		Labels:   mapAll(m.GetLabels(), decodeLabel),
		Models:   mapAll(m.GetModels(), decodeModel),
		Adapters: mapAll(m.GetAdapters(), decodeAdapter),
		Services: mapAll(m.GetServices(), decodeService),
		Classes:  mapAll(m.GetClasses(), decodeClass),
		Teams:    mapAll(m.GetTeams(), decodeTeam),
		Rules:    decodeRules(m.GetRules()),
	}
}

// EncodeInventory returns the message for inv.
func EncodeInventory(inv *inventory.Inventory) *wiregen.Inventory {
	c := inv.Contents()
	return &wiregen.Inventory{
		Regions:  mapAll(c.Regions, encodeRegion),
		Links:    mapAll(c.Links, encodeLink),
		Labels:   mapAll(c.Labels, encodeLabel),
		Models:   mapAll(c.Models, encodeModel),
		Adapters: mapAll(c.Adapters, encodeAdapter),
		Services: mapAll(c.Services, encodeService),
		Classes:  mapAll(c.Classes, encodeClass),
		Teams:    mapAll(c.Teams, encodeTeam),
		Rules:    encodeRules(c.Rules),
	}
}

func mapAll[A, B any](items []A, f func(A) B) []B {
	mapped := make([]B, 0, len(items))
	for _, item := range items {
		mapped = append(mapped, f(item))
	}
	return mapped
}

func decodeRegion(m *wiregen.Region) inventory.Region {
	return inventory.Region{Name: m.GetName(), FailureDomains: m.GetFailureDomains(), CostPerThousandTokens: m.GetCostPerThousandTokens()}
}

func encodeRegion(r inventory.Region) *wiregen.Region {
	return &wiregen.Region{Name: r.Name, FailureDomains: r.FailureDomains, CostPerThousandTokens: r.CostPerThousandTokens}
}

func decodeLink(m *wiregen.Link) inventory.Link {
	return inventory.Link{
		From:            m.GetFrom(),
		To:              m.GetTo(),
		BytesPerSecond:  m.GetBytesPerSecond(),
		RoundTrip:       millis(m.GetRoundTripMillis()),
		CostPerGigabyte: m.GetCostPerGigabyte(),
	}
}

func encodeLink(l inventory.Link) *wiregen.Link {
	return &wiregen.Link{
		From:            l.From,
		To:              l.To,
		BytesPerSecond:  l.BytesPerSecond,
		RoundTripMillis: l.RoundTrip.Milliseconds(),
		CostPerGigabyte: l.CostPerGigabyte,
	}
}

func decodeLabel(m *wiregen.Label) inventory.Label {
	return inventory.Label{Name: m.GetName(), AllowedRegions: m.GetAllowedRegions()}
}

func encodeLabel(l inventory.Label) *wiregen.Label {
	return &wiregen.Label{Name: l.Name, AllowedRegions: l.AllowedRegions}
}

func decodeModel(m *wiregen.Model) inventory.Model {
	return inventory.Model{
		Name:           m.GetName(),
		Versions:       m.GetVersions(),
		Version:        m.GetVersion(),
		Adapters:       m.GetAdapters(),
		AllowedRegions: m.GetAllowedRegions(),
		WeightBytes:    m.GetWeightBytes(),
	}
}

func encodeModel(v inventory.Model) *wiregen.Model {
	return &wiregen.Model{
		Name:           v.Name,
		Versions:       v.Versions,
		Version:        v.Version,
		Adapters:       v.Adapters,
		AllowedRegions: v.AllowedRegions,
		WeightBytes:    v.WeightBytes,
	}
}

func decodeAdapter(m *wiregen.Adapter) inventory.Adapter {
	return inventory.Adapter{Model: m.GetModel(), Name: m.GetName(), WeightBytes: m.GetWeightBytes(), AllowedRegions: m.GetAllowedRegions()}
}

func encodeAdapter(a inventory.Adapter) *wiregen.Adapter {
	return &wiregen.Adapter{Model: a.Model, Name: a.Name, WeightBytes: a.WeightBytes, AllowedRegions: a.AllowedRegions}
}

func decodeService(m *wiregen.Service) inventory.Service {
	kind := inventory.KindModel
	if m.GetKind() == wiregen.ServiceKind_plain {
		kind = inventory.KindPlain
	}
	return inventory.Service{
		Name:                 m.GetName(),
		Kind:                 kind,
		Models:               m.GetModels(),
		ChecksFencing:        m.GetChecksFencing(),
		Idempotent:           m.GetIdempotent(),
		AllowedRegions:       m.GetAllowedRegions(),
		MinEndpointsPerModel: int(m.GetMinEndpointsPerModel()),
	}
}

func encodeService(s inventory.Service) *wiregen.Service {
	kind := wiregen.ServiceKind_model
	if s.Kind == inventory.KindPlain {
		kind = wiregen.ServiceKind_plain
	}
	return &wiregen.Service{
		Name:                 s.Name,
		Kind:                 kind,
		Models:               s.Models,
		ChecksFencing:        s.ChecksFencing,
		Idempotent:           s.Idempotent,
		AllowedRegions:       s.AllowedRegions,
		MinEndpointsPerModel: int64(s.MinEndpointsPerModel),
	}
}

func decodeClass(m *wiregen.Class) inventory.Class {
	return inventory.Class{
		Name:       m.GetName(),
		Priority:   int(m.GetPriority()),
		Weight:     m.GetWeight(),
		Patience:   millis(m.GetPatienceMillis()),
		Deferrable: m.GetDeferrable(),
	}
}

func encodeClass(v inventory.Class) *wiregen.Class {
	return &wiregen.Class{
		Name:           v.Name,
		Priority:       int64(v.Priority),
		Weight:         v.Weight,
		PatienceMillis: v.Patience.Milliseconds(),
		Deferrable:     v.Deferrable,
	}
}

func decodeTeam(m *wiregen.Team) inventory.Team {
	return inventory.Team{
		Name:             m.GetName(),
		HomeRegion:       m.GetHomeRegion(),
		CredentialDigest: m.GetCredentialDigest(),
		Classes:          m.GetClasses(),
		DefaultClass:     m.GetDefaultClass(),
		Labels:           m.GetLabels(),
		TokensPerSecond:  m.GetTokensPerSecond(),
		Weight:           m.GetWeight(),
	}
}

func encodeTeam(t inventory.Team) *wiregen.Team {
	return &wiregen.Team{
		Name:             t.Name,
		HomeRegion:       t.HomeRegion,
		CredentialDigest: t.CredentialDigest,
		Classes:          t.Classes,
		DefaultClass:     t.DefaultClass,
		Labels:           t.Labels,
		TokensPerSecond:  t.TokensPerSecond,
		Weight:           t.Weight,
	}
}

func decodeRules(m *wiregen.Rules) inventory.Rules {
	return inventory.Rules{
		Objective: inventory.Objective{
			Cost:    m.GetObjective().GetCost(),
			Latency: m.GetObjective().GetLatency(),
			Away:    m.GetObjective().GetAway(),
		},
		RetryBudget:               m.GetRetryBudget(),
		ReservationQuantile:       m.GetReservationQuantile(),
		Headroom:                  m.GetHeadroom(),
		MaxPlacementChanges:       int(m.GetMaxPlacementChanges()),
		WeightStoreBytesPerSecond: m.GetWeightStoreBytesPerSecond(),
	}
}

func encodeRules(r inventory.Rules) *wiregen.Rules {
	return &wiregen.Rules{
		Objective: &wiregen.Objective{
			Cost:    r.Objective.Cost,
			Latency: r.Objective.Latency,
			Away:    r.Objective.Away,
		},
		RetryBudget:               r.RetryBudget,
		ReservationQuantile:       r.ReservationQuantile,
		Headroom:                  r.Headroom,
		MaxPlacementChanges:       int64(r.MaxPlacementChanges),
		WeightStoreBytesPerSecond: r.WeightStoreBytesPerSecond,
	}
}

// millis returns n milliseconds as a duration, limited to the longest duration. A negative n returns -1 ms.
func millis(n int64) time.Duration {
	if n > math.MaxInt64/int64(time.Millisecond) {
		return math.MaxInt64
	}
	return time.Duration(max(n, -1)) * time.Millisecond
}
