package wire

import (
	"time"

	"arbutusreel/limits"
	"arbutusreel/wiregen"
)

// EncodeAsks returns the messages for requests to borrow a part of a rate limit.
func EncodeAsks(asks []limits.Ask) []*wiregen.RateAsk {
	list := make([]*wiregen.RateAsk, 0, len(asks))
	for _, a := range asks {
		list = append(list, &wiregen.RateAsk{
			Team: a.Team, Lender: a.Lender, Borrower: a.Borrower, Number: a.Number, TokensPerSecond: a.Rate, Handover: a.Handover,
		})
	}
	return list
}

// DecodeAsk returns the request of a message.
func DecodeAsk(m *wiregen.RateAsk) limits.Ask {
	return limits.Ask{
		Team: m.GetTeam(), Lender: m.GetLender(), Borrower: m.GetBorrower(), Number: m.GetNumber(), Rate: m.GetTokensPerSecond(),
		Handover: m.GetHandover(),
	}
}

// EncodeGrant returns the message for a grant.
func EncodeGrant(g limits.Grant) *wiregen.RateGrant {
	return &wiregen.RateGrant{
		Team: g.Team, Lender: g.Lender, Borrower: g.Borrower, Number: g.Number, TokensPerSecond: g.Rate,
		DurationMillis: g.Duration.Milliseconds(), Handover: g.Handover,
	}
}

// DecodeGrant returns the grant of a message.
func DecodeGrant(m *wiregen.RateGrant) limits.Grant {
	return limits.Grant{
		Team: m.GetTeam(), Lender: m.GetLender(), Borrower: m.GetBorrower(), Number: m.GetNumber(), Rate: m.GetTokensPerSecond(),
		Duration: time.Duration(m.GetDurationMillis()) * time.Millisecond, Handover: m.GetHandover(),
	}
}
