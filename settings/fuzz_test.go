package settings_test

import (
	"errors"
	"testing"

	"arbutusreel/settings"
	"arbutusreel/wiregen"
)

// FuzzLoad sets one setting of an entry to arbitrary text and checks that the accepted values are within their
// bounds.
func FuzzLoad(f *testing.F) {
	f.Add("announcementLease", "3s")
	f.Add("announcementLease", "9223372036854775807ns")
	f.Add("drainTimeout", "-1ns")
	f.Add("announcementLease", "200.0000001ms")
	f.Add("maxBodyBytes", "1e6")
	f.Add("callerAddress", "[::1%lo]:1")
	f.Add("peers", "127.0.0.1:1,,127.0.0.1:2")
	f.Add("controls", "a=b=127.0.0.1:1")
	f.Add("dataFolder", "\x00")
	f.Add("tlsKeyFile", "/")
	f.Fuzz(func(t *testing.T, name, text string) {
		m := &wiregen.EntrySettings{}
		envName := ""
		for _, s := range settings.Describe(m) {
			if s.Name == name {
				envName = s.Env
			}
		}
		err := settings.Load(m, settings.Flags{}, func(env string) string {
			if env == envName {
				return text
			}
			return ""
		})
		var faults settings.Faults
		if err != nil && !errors.As(err, &faults) {
			t.Errorf("Load returned %T", err)
		}
		for _, d := range []struct {
			name       string
			value, max int64
		}{
			{"announcementLease", m.GetAnnouncementLease().AsDuration().Milliseconds(), 60000},
			{"drainTimeout", m.GetDrainTimeout().AsDuration().Milliseconds(), 86400000},
			{"maxBodyBytes", m.GetMaxBodyBytes(), 67108864},
		} {
			if d.value < 0 || d.value > d.max {
				t.Errorf("%s is %d after %q", d.name, d.value, text)
			}
		}
		if m.GetDrainTimeout().AsDuration() < 0 {
			t.Errorf("drainTimeout is %v", m.GetDrainTimeout().AsDuration())
		}
	})
}
