package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"arbutusreel/explanation"
	"arbutusreel/problem"
)

// TestWhereCommand guards against flags that do not reach the gateway, and against failures that exit with zero.
func TestWhereCommand(t *testing.T) {
	var query string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query = r.URL.RawQuery
		switch r.URL.Query().Get("team") {
		case "club":
			b, _ := explanation.Encode(&explanation.Explanation{Route: "chat", Decision: explanation.Decision{Verdict: "take", Endpoint: "e1"}})
			_, _ = w.Write(b)
		case "other":
			w.WriteHeader(http.StatusNotFound)
			_, _ = w.Write(problem.Encode(problem.New(problem.UnknownTeam, http.StatusNotFound, "no team"), ""))
		default:
			w.WriteHeader(http.StatusTeapot)
		}
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	for _, c := range []struct {
		args, query, want string
		code              int
	}{
		{
			"--gateway " + address + " --route chat --team club --promptTokens 1000 --parts s:900,o:100 --maxOutputTokens 400 --hint 80 --timeLeft 2s",
			"hint=80&maxOutputTokens=400&parts=s%3A900%2Co%3A100&path=%2F&promptTokens=1000&route=chat&team=club&timeLeft=2s", `sent to endpoint "e1"`, 0,
		},
		{"--gateway " + address + " --host h --path /x --team club --json", "host=h&path=%2Fx&team=club", `"endpoint": "e1"`, 0},
		{"--gateway " + address + " --route chat --team other", "path=%2F&route=chat&team=other", "unknownTeam", exitFailure},
		{"--gateway " + address + " --route chat", "path=%2F&route=chat", "status 418", exitFailure},
		{"--gateway " + address, "", `parameter "host" is missing`, exitFailure},
		{"--gateway " + address + " --route chat --parts s", "", `parameter "parts"`, exitFailure},
		{"--gateway " + address + " --route chat --promptTokens many", "", `parameter "promptTokens"`, exitFailure},
		{"--gateway " + address + " --route chat --model m", "", `parameter "model" is not known`, exitFailure},
		{"--route chat", "", `entries`, exitUsage},
		{"--entries " + address + " --model m --team club --class chat --promptTokens 9", "class=chat&model=m&promptTokens=9&team=club", "sent to endpoint", 0},
		{"--entries " + address + " --model m --team other --json", "model=m&team=other", "unknownTeam", exitFailure},
		{"--entries " + address + " --model m --service s --team club", "", `parameter "model"`, exitFailure},
		{"--gateway 127.0.0.1:1 --route chat", "", "refused", exitFailure},
	} {
		query = ""
		var stdout, stderr bytes.Buffer
		code := run(t.Context(), append([]string{"where"}, strings.Fields(c.args)...), &stdout, &stderr)
		if code != c.code || query != c.query || !strings.Contains(stdout.String()+stderr.String(), c.want) {
			t.Errorf("%s: exit %d, query %q\n%s%s", c.args, code, query, stdout.String(), stderr.String())
		}
	}
}
