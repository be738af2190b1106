package operator

import (
	"context"
	"net/http"
	"net/url"

	"arbutusreel/explanation"
)

// wherePath is the path of the explanations at entries, and WhereRoute its route.
const (
	wherePath  = "/v1/where"
	WhereRoute = "GET " + wherePath
)

// Where asks an entry where a request would go. The client must be connected to entries; only the first one is asked, as each decides by
// what it knows itself. A refusal returns *problem.Problem.
func (c *Client) Where(ctx context.Context, q explanation.EntryQuestion) (*explanation.EntryExplanation, error) {
	target := url.URL{Path: wherePath, RawQuery: q.Values().Encode()}
	b, err := c.send(ctx, c.controls[0], http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	return explanation.DecodeEntry(b)
}
