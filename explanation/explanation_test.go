package explanation

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fill sets every field below v to a value that is not zero.
func fill(v reflect.Value, n *int64) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n)
	case reflect.String:
		v.SetString(strings.Repeat("x", int(*n)))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*n))
	default:
		if v.Type() == reflect.TypeFor[time.Duration]() {
			v.SetInt(*n * int64(time.Millisecond))
			return
		}
		v.SetInt(*n)
	}
}

// TestCodecs guards against fields that a codec drops or mixes up.
func TestCodecs(t *testing.T) {
	var e Explanation
	n := int64(0)
	fill(reflect.ValueOf(&e).Elem(), &n)
	b, err := Encode(&e)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := Decode(b); err != nil || !cmp.Equal(*got, e) {
		t.Errorf("%v\n%s", err, cmp.Diff(e, *got))
	}
	var entry EntryExplanation
	fill(reflect.ValueOf(&entry).Elem(), &n)
	b, err = EncodeEntry(&entry)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeEntry(b); err != nil || !cmp.Equal(*got, entry) {
		t.Errorf("%v\n%s", err, cmp.Diff(entry, *got))
	}
	var eq EntryQuestion
	fill(reflect.ValueOf(&eq).Elem(), &n)
	eq.Service = ""
	if got, err := ParseEntryQuestion(eq.Values()); err != nil || got != eq {
		t.Errorf("%v\n%s", err, cmp.Diff(eq, got))
	}
	var q Question
	fill(reflect.ValueOf(&q).Elem(), &n)
	if got, err := ParseQuestion(q.Values()); err != nil || !cmp.Equal(got, q) {
		t.Errorf("%v\n%s", err, cmp.Diff(q, got))
	}
}

// TestTable guards against a refusal that is shown as an endpoint, and a forward that hides its region.
func TestTable(t *testing.T) {
	for want, d := range map[string]Decision{
		`refused: crowded, Retry-After 300ms`:                {Verdict: "refuse", Reason: "crowded", RetryAfter: 300 * time.Millisecond},
		`sent late to endpoint "e1"`:                         {Verdict: "takeLate", Endpoint: "e1"},
		`forwarded to gateway "g" in region "there"`:         {Verdict: "take", Gateway: "g", Region: "there"},
		`handed to gateway "g" of the region, first chunk a`: {Verdict: "take", Gateway: "g", Region: "here", Handed: true},
	} {
		var b bytes.Buffer
		e := &Explanation{Decision: d, Candidates: []Candidate{{Endpoint: "e1"}}, Excluded: []Excluded{{"e2", "cold"}}, Regions: []Region{{Name: "far", Reason: "stale"}}}
		if err := WriteTable(&b, e); err != nil || !strings.HasPrefix(b.String(), want) {
			t.Errorf("%v: %s", err, b.String())
		}
	}
}

// TestEntryTable guards against an action that is shown as another.
func TestEntryTable(t *testing.T) {
	for action, want := range map[string]string{
		"started": `sent to endpoint "e1"`, "queued": "waits for capacity", "sentAway": `forwarded to region "there"`, "handedOver": "handed over", "refused": "refused: capacity",
	} {
		var b bytes.Buffer
		e := &EntryExplanation{Limited: true, Candidates: []EntryCandidate{{Endpoint: "e1"}}, Excluded: []Excluded{{"e2", "draining"}}, Regions: []EntryRegion{{Name: "far"}}}
		e.Decision = EntryDecision{Action: action, Reason: "capacity", Endpoint: "e1", Region: "there"}
		if err := WriteEntryTable(&b, e); err != nil || !strings.HasPrefix(b.String(), want) {
			t.Errorf("%v: %s", err, b.String())
		}
	}
}
