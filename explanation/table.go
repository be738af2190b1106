package explanation

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// columnGap is the minimum number of spaces between table columns.
const columnGap = 2

// WriteTable writes the explanation as tables.
func WriteTable(out io.Writer, e *Explanation) error {
	fmt.Fprintf(out, "%s\n", e.Decision.summary())
	fmt.Fprintf(out, "asked of gateway %q in region %q: route %q, service %q, routing document %d, view %s old, rank %d\n",
		e.Gateway, e.GatewayRegion, e.Route, e.Service, e.RouteVersion, short(e.ViewAge), e.Decision.Rank)
	if e.Team != nil {
		e.Team.write(out)
	}
	w := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	if len(e.Candidates) > 0 {
		fmt.Fprintln(w, "\nCANDIDATE\tFIRST\tEND\tCOST\tDECODE\tREAD\tDETOUR\tFAILURE\tFINISH\tMISS\tCACHED\tPACE\tSLOTS\tMEMORY\tNOTES")
	}
	for _, c := range e.Candidates {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%d/%d\t%d/%d\t%s\n", c.Endpoint, short(c.Expected), known(c.End), short(c.Cost), short(c.Decode),
			short(c.Read), short(c.Detour), short(c.Failure), short(c.Finish), short(c.Miss), c.CachedTokens, pace(c.Pace), c.Requests, c.Slots, c.HeldTokens, c.Memory, c.notes())
	}
	if len(e.Excluded) > 0 {
		fmt.Fprintln(w, "\nNO CANDIDATE\tREASON")
	}
	for _, x := range e.Excluded {
		fmt.Fprintf(w, "%s\t%s\n", x.Endpoint, x.Reason)
	}
	if len(e.Regions) > 0 {
		fmt.Fprintln(w, "\nREGION\tFIRST\tCOST\tGATEWAYS\tENDPOINTS\tTOKENS\tBUSY\tOCCUPIED\tREPORTED\tNOT CHOSEN")
	}
	for _, r := range e.Regions {
		age := "never"
		if r.Reported {
			age = short(r.Age) + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%.2f\t%.2f\t%s\t%s\n", r.Name, known(r.Expected), known(r.Cost), r.Gateways, r.Endpoints, r.PromptTokens, r.Busy,
			r.Occupied, age, r.Reason)
	}
	return w.Flush()
}

// summary returns the decision in one line.
func (d Decision) summary() string {
	late := ""
	if d.Verdict == "takeLate" {
		late = " late"
	}
	switch {
	case d.Verdict == "refuse":
		return fmt.Sprintf("refused: %s, Retry-After %s, expected wait %s", d.Reason, short(d.RetryAfter), short(d.Expected))
	case d.Handed:
		return fmt.Sprintf("handed%s to gateway %q of the region, first chunk after %s", late, d.Gateway, short(d.Expected))
	case d.Region != "":
		return fmt.Sprintf("forwarded%s to gateway %q in region %q, first chunk after %s", late, d.Gateway, d.Region, short(d.Expected))
	default:
		return fmt.Sprintf("sent%s to endpoint %q, first chunk after %s, end after %s", late, d.Endpoint, short(d.Expected), known(d.End))
	}
}

// write writes the standing of the team.
func (t *Team) write(out io.Writer) {
	enforced := "not enforced"
	if t.ShareEnforced {
		enforced = "enforced"
	}
	fmt.Fprintf(out, "team %q: priority %d, %.0f of a share of %.0f recent tokens used (%s)\n", t.Name, t.Priority, t.Used, t.Share, enforced)
	a := t.Allotment
	if a == nil {
		return
	}
	level := "known to its owner only"
	if a.LevelKnown {
		level = fmt.Sprintf("%.0f left", a.Level)
	}
	fmt.Fprintf(out, "allotment in %s: %s; the request costs %.0f, %.0f per second, %.0f held here, the region's share at gateway %q: %s\n",
		a.Unit, a.State, a.Cost, a.Rate, a.Held, a.Owner, level)
	if a.Short > 0 {
		fmt.Fprintf(out, "the owner is expected to have that after %s\n", short(a.Short))
	}
}

// notes names what is true of the candidate.
func (c Candidate) notes() string {
	return join(note{c.Chosen, "chosen"}, note{c.Preferred, "preferred"}, note{c.Fetches, "fetches"}, note{c.Full, "full"}, note{c.Crowded, "crowded"}, note{c.MemoryFull, "memory"})
}

// note is a name for what may be true.
type note struct {
	holds bool
	name  string
}

// join returns the names of what is true.
func join(notes ...note) string {
	var all []string
	for _, n := range notes {
		if n.holds {
			all = append(all, n.name)
		}
	}
	return strings.Join(all, ",")
}

func short(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

// known returns a time, or a dash if it is not known.
func known(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return short(d)
}

func pace(p float64) string {
	if p == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", p)
}
