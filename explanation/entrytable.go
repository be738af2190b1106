package explanation

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteEntryTable writes the explanation of an entry as tables.
func WriteEntryTable(out io.Writer, e *EntryExplanation) error {
	fmt.Fprintf(out, "%s\n", e.Decision.summary())
	fmt.Fprintf(out, "asked of entry %q in region %q: model %q, service %q, team %q, class %q, revision %d, %d tokens expected, %d reserved, %d waiting ahead\n",
		e.Entry, e.EntryRegion, e.Model, e.Service, e.Team, e.Class, e.Revision, e.Decision.ExpectedTokens, e.Decision.ReservedTokens, e.Decision.TokensAhead)
	if e.Limited {
		fmt.Fprintf(out, "limit of the team at this entry: %.0f tokens per second, %.0f left now\n", e.Rate, e.Left)
	}
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	if len(e.Candidates) > 0 {
		fmt.Fprintln(w, "\nCANDIDATE\tFIRST\tEND\tWAIT\tPREFILL\tCACHED\tCOST\tSCORE\tSLOTS\tRESERVED\tNOTES")
	}
	for _, c := range e.Candidates {
		t := c.Terms
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0f\t%.2f\t%.3f\t%.1f/%d\t%d/%d\t%s\n", c.Endpoint, short(t.First), known(t.End), short(t.Wait), short(t.Prefill),
			t.CachedTokens, t.Cost, t.Score, c.Outstanding, c.Slots, c.ReservedTokens, c.CacheTokens, c.notes())
	}
	if len(e.Excluded) > 0 {
		fmt.Fprintln(w, "\nNO CANDIDATE\tREASON")
	}
	for _, x := range e.Excluded {
		fmt.Fprintf(w, "%s\t%s\n", x.Endpoint, x.Reason)
	}
	if len(e.Regions) > 0 {
		fmt.Fprintln(w, "\nREGION\tFIRST\tEND\tCOST\tSCORE\tENDPOINTS\tSLOTS\tNOT CHOSEN")
	}
	for _, r := range e.Regions {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.3f\t%d\t%.1f/%d\t%s\n", r.Name, known(r.Terms.First), known(r.Terms.End), r.Terms.Cost, r.Terms.Score, r.Endpoints,
			r.Outstanding, r.Slots, r.Reason)
	}
	return w.Flush()
}

// summary returns the decision in one line.
func (d EntryDecision) summary() string {
	switch d.Action {
	case "refused":
		return fmt.Sprintf("refused: %s, Retry-After %s, expected wait %s", d.Reason, short(d.RetryAfter), short(d.Wait))
	case "queued":
		return fmt.Sprintf("waits for %s, best endpoint %q, expected wait %s", d.Reason, d.Endpoint, short(d.Wait))
	case "sentAway":
		return fmt.Sprintf("forwarded to region %q as %s, first token after %s", d.Region, d.Reason, short(d.Terms.First))
	case "handedOver":
		return fmt.Sprintf("handed over to another entry of region %q", d.Region)
	default:
		return fmt.Sprintf("sent to endpoint %q, first token after %s, end after %s", d.Endpoint, short(d.Terms.First), known(d.Terms.End))
	}
}

// notes names what is true of the candidate.
func (c EntryCandidate) notes() string {
	return join(note{c.Chosen, "chosen"}, note{!c.HasCapacity, "full"}, note{c.Starting, "slowStart"})
}
