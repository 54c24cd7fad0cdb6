package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

func TestCommandLine(t *testing.T) {
	// The service asks for patience once, then answers.
	calls := 0
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		calls++
		answer := func(status int, v any) {
			b, err := wire.Marshal(v)
			if err != nil {
				t.Error(err)
			}
			w.WriteHeader(status)
			_, _ = w.Write(b)
		}
		switch {
		case calls == 1:
			w.Header().Set("Retry-After", "3")
			answer(503, wire.Error{Error: "not yet"})
		case strings.Contains(q.URL.Path, "run-9"):
			answer(404, wire.Error{Error: "no such job"})
		default:
			answer(200, wire.JobStatus{ID: "run-1", Phase: wire.JobRunning, Done: 3, Running: 2})
		}
	}))
	defer srv.Close()
	jobFile := filepath.Join(t.TempDir(), "job.json")
	spec := `{"uid":"run-1","breed":"b","owner":"o","shape":"array","rank":"idle","pieces":2,"cpus":1,"accelerators":0,"mem_gb":1,
		"reel":"i","image_gb":1,"same_place":false,"apart":false,"loaners":true,"guess_s":3,"mark_s":0,"stash_s":0}`
	if err := os.WriteFile(jobFile, []byte(spec), 0o600); err != nil {
		t.Fatal(err)
	}
	at := strings.TrimPrefix(srv.URL, "http://")
	tests := []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"get", "run-1", "--server", at}, 0, "run-1: running, 3 tasks done, 2 running"},
		{[]string{"get", "run-1", "--server", at, "--output", "json"}, 0, `"phase": "running"`},
		{[]string{"get", "run-1", "--output", "xml"}, 2, "neither table nor json"},
		{[]string{"rollout"}, 2, "is needed"},
		{[]string{"rollout", "start", jobFile}, 2, "service: missing"},
		{[]string{"reserve"}, 2, "is needed"},
		{[]string{"reserve", "create", jobFile}, 2, "name: missing"},
		{[]string{"maintenance", "plan", jobFile}, 2, "missing"},
		{[]string{"calendar", "show", "--days", "0"}, 2, "--days"},
		{[]string{"submit", jobFile, "--server", at}, 0, "run-1: running"},
		{[]string{"abort", "run-1", "--server", at}, 0, "run-1: running"},
		{[]string{"get", "run-9", "--server", at}, 1, "no such job"},
		{[]string{"get", "x"}, 2, "Usage:"},
		{[]string{"get"}, 2, "Usage:"},
		{[]string{"dance"}, 2, "Usage:"},
		{[]string{"--nope"}, 2, "Usage:"},
		{[]string{}, 2, "--config FILE is needed"},
		{[]string{"--version"}, 0, version},
		{[]string{"check", jobFile}, 1, "settings:"},
		{[]string{"emulate"}, 2, "--settings FILE is needed"},
		{[]string{"demo", "--listen", "10.0.0.1:80"}, 2, "not an address of loopback"},
		{[]string{"demo", "--nodes", "0", "--for", "1s"}, 2, "controllers"},
	}
	for _, tt := range tests {
		calls = 0
		var out bytes.Buffer
		var waits []time.Duration
		root := rootCommand(func(d time.Duration) { waits = append(waits, d) })
		root.SetArgs(tt.args)
		root.SetOut(&out)
		code := run(root, &out)
		if code != tt.code || !strings.Contains(out.String(), tt.out) {
			t.Errorf("%v: code %d, want %d with %q, got %s", tt.args, code, tt.code, tt.out, out.String())
		}
		if calls > 0 && (len(waits) != 1 || waits[0] != 3*time.Second) {
			t.Errorf("%v: waited %v, want the 3 s that were asked for", tt.args, waits)
		}
	}
}
