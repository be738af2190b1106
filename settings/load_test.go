package settings

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"arbutusreel/wiregen"
)

func noEnv(string) string { return "" }

func flagsOf(texts map[string]string) Flags {
	flags := Flags{}
	for name, text := range texts {
		flags[name] = &text
	}
	return flags
}

func TestLoadListsEveryFault(t *testing.T) {
	flags := flagsOf(map[string]string{
		"name":              "Entry_1",
		"region":            "lahore",
		"callerAddress":     "localhost:80",
		"endpointAddress":   "127.0.0.1:8001",
		"peerAddress":       "127.0.0.1:8002",
		"controls":          "a=127.0.0.1:1,b=host:2",
		"announcementLease": "1ms",
		"maxBodyBytes":      "many",
		"logLevel":          "loud",
	})
	err := Load(&wiregen.EntrySettings{}, flags, noEnv)
	var faults Faults
	if !errors.As(err, &faults) {
		t.Fatalf("Load returned %v, want Faults", err)
	}
	var got []string
	for _, f := range faults {
		got = append(got, f.Setting)
	}
	want := []string{"name", "failureDomain", "callerAddress", "controls", "logLevel", "maxBodyBytes", "announcementLease"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings with faults (-want +got):\n%s", diff)
	}
}

func TestLoadOrder(t *testing.T) {
	env := func(name string) string {
		return map[string]string{"ARBUTUSREEL_TIMEOUT": "4s", "ARBUTUSREEL_CONTROLS": "127.0.0.1:1"}[name]
	}
	cases := []struct {
		name  string
		flags map[string]string
		want  float64
	}{
		{name: "variable before default", want: 4},
		{name: "flag before variable", flags: map[string]string{"timeout": "5s"}, want: 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := &wiregen.OperatorSettings{}
			if err := Load(m, flagsOf(c.flags), env); err != nil {
				t.Fatal(err)
			}
			if got := m.GetTimeout().AsDuration().Seconds(); got != c.want {
				t.Errorf("timeout is %v s, want %v s", got, c.want)
			}
		})
	}
}
