package explanation

import (
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Question describes a request that is not sent.
type Question struct {
	// Route names the route; if it is empty, Host and Path select it.
	Route, Host, Path string
	// Service is one of the route's services; empty for the one with the greatest weight.
	Service string
	// Team is the name of the caller's team; empty for none.
	Team string
	// PromptTokens, MaxOutputTokens and Hint are the numbers of tokens that the request states; a hint of zero is none.
	PromptTokens, MaxOutputTokens, Hint int64
	// Parts are the parts of the prompt in order, of which the last one is not shared.
	Parts []Part
	// BodyBytes is the size of the body.
	BodyBytes int64
	// TimeLeft is the caller's time left; zero for the timeout of the route.
	TimeLeft time.Duration
	// Returned reports that the caller was refused before.
	Returned bool
}

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int64
}

// Parameters of a question.
const (
	paramRoute     = "route"
	paramHost      = "host"
	paramPath      = "path"
	paramService   = "service"
	paramTeam      = "team"
	paramPrompt    = "promptTokens"
	paramMaxOutput = "maxOutputTokens"
	paramHint      = "hint"
	paramParts     = "parts"
	paramBody      = "bodyBytes"
	paramTimeLeft  = "timeLeft"
	paramReturned  = "returned"
)

// maxParts bounds the parts of a prompt, and maxNumber the numbers of a question.
const (
	maxParts  = 1024
	maxNumber = 1_000_000_000_000
)

// Values returns the query parameters of the question; those that are empty are left out.
func (q Question) Values() url.Values {
	v := url.Values{}
	set := func(name, value string) {
		if value != "" && value != "0" && value != "0s" && value != "false" {
			v.Set(name, value)
		}
	}
	set(paramRoute, q.Route)
	set(paramHost, q.Host)
	set(paramPath, q.Path)
	set(paramService, q.Service)
	set(paramTeam, q.Team)
	set(paramPrompt, strconv.FormatInt(q.PromptTokens, 10))
	set(paramMaxOutput, strconv.FormatInt(q.MaxOutputTokens, 10))
	set(paramHint, strconv.FormatInt(q.Hint, 10))
	set(paramParts, FormatParts(q.Parts))
	set(paramBody, strconv.FormatInt(q.BodyBytes, 10))
	set(paramTimeLeft, q.TimeLeft.String())
	set(paramReturned, strconv.FormatBool(q.Returned))
	return v
}

// ParseQuestion returns the question in query parameters; an unknown, repeated or malformed one returns *ParameterError.
func ParseQuestion(v url.Values) (Question, error) {
	var q Question
	for name, values := range v {
		if len(values) != 1 {
			return q, &ParameterError{Name: name, Reason: "is given more than once"}
		}
		if err := q.set(name, values[0]); err != nil {
			return q, err
		}
	}
	if q.Route == "" && q.Host == "" {
		return q, &ParameterError{Name: paramHost, Reason: "is missing, and the route is not named"}
	}
	if q.Path == "" {
		q.Path = "/"
	}
	return q, nil
}

func (q *Question) set(name, value string) (err error) {
	texts := map[string]*string{paramRoute: &q.Route, paramHost: &q.Host, paramPath: &q.Path, paramService: &q.Service, paramTeam: &q.Team}
	numbers := map[string]*int64{paramPrompt: &q.PromptTokens, paramMaxOutput: &q.MaxOutputTokens, paramHint: &q.Hint, paramBody: &q.BodyBytes}
	if text := texts[name]; text != nil {
		*text = value
		return nil
	}
	if number := numbers[name]; number != nil {
		*number, err = parseNumber(name, value)
		return err
	}
	switch name {
	case paramParts:
		q.Parts, err = ParseParts(value)
	case paramTimeLeft:
		if q.TimeLeft, err = time.ParseDuration(value); err != nil || q.TimeLeft < 0 {
			err = &ParameterError{Name: name, Reason: "is not a duration such as 2.5s"}
		}
	case paramReturned:
		if q.Returned, err = strconv.ParseBool(value); err != nil {
			err = &ParameterError{Name: name, Reason: "is neither true nor false"}
		}
	default:
		err = &ParameterError{Name: name, Reason: "is not known"}
	}
	return err
}

func parseNumber(name, value string) (int64, error) {
	n, err := strconv.ParseInt(value, 10, 64)
	if err != nil || n < 0 || n > maxNumber {
		return 0, &ParameterError{Name: name, Reason: "is not a whole number of at least zero"}
	}
	return n, nil
}

// ParseParts returns the parts of a prompt in the form ID:TOKENS,...; another form returns *ParameterError.
func ParseParts(text string) ([]Part, error) {
	if text == "" {
		return nil, nil
	}
	var parts []Part
	for one := range strings.SplitSeq(text, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(one), ":")
		n, err := parseNumber(paramParts, tokens)
		if !ok || id == "" || err != nil || len(parts) == maxParts {
			return nil, &ParameterError{Name: paramParts, Reason: "is not a list of ID:TOKENS, separated by commas"}
		}
		parts = append(parts, Part{ID: id, Tokens: n})
	}
	return parts, nil
}

// FormatParts returns the parts in the form that ParseParts reads.
func FormatParts(parts []Part) string {
	var all []string
	for _, p := range parts {
		all = append(all, p.ID+":"+strconv.FormatInt(p.Tokens, 10))
	}
	return strings.Join(all, ",")
}
