package decision_test

import (
	"encoding/json"
	"testing"

	"github.com/rs/zerolog"

	"arbutusreel/decision"
)

// FuzzWrite checks that the lines found under the id of a written line are valid JSON, and that text in a value is
// never taken for a key.
func FuzzWrite(f *testing.F) {
	f.Add("c1", `"correlationId":"c2"`)
	f.Add(`a"b\`, `\`)
	f.Add("\x00\xff", "é")
	f.Fuzz(func(t *testing.T, id, value string) {
		s := decision.New(1 << 20)
		log := zerolog.New(s)
		log.Info().Str("value", value).Str("correlationId", id).Msg("line")
		var line struct{ CorrelationID string }
		if len(s.Lines(decision.Subject{Kind: decision.Request, Name: "c2"})) > 0 && id != "c2" {
			t.Errorf("the value %q was taken for a key", value)
		}
		for _, text := range s.Lines(decision.Subject{Kind: decision.Request, Name: id}) {
			if err := json.Unmarshal([]byte(text), &line); err != nil {
				t.Errorf("line %q: %v", text, err)
			}
		}
	})
}
