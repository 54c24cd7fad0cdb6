package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/wire"
)

// fakeService answers the first request with status 503 and Retry-After: 3, and later requests with
// a job status, or with status 404 for job run-9.
type fakeService struct {
	t        *testing.T
	requests int
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.requests++
	switch {
	case s.requests == 1:
		w.Header().Set("Retry-After", "3")
		s.answer(w, http.StatusServiceUnavailable, wire.Error{Error: "not yet"})
	case strings.Contains(r.URL.Path, "run-9"):
		s.answer(w, http.StatusNotFound, wire.Error{Error: "no such job"})
	default:
		s.answer(w, http.StatusOK, wire.JobStatus{ID: "run-1", Phase: wire.JobRunning, Done: 3, Running: 2})
	}
}

func (s *fakeService) answer(w http.ResponseWriter, status int, v any) {
	body, err := wire.Marshal(v)
	if err != nil {
		s.t.Error(err)
	}
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// writeJobFile writes the specification of job run-1 to a file and returns the file's name.
func writeJobFile(t *testing.T) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "job.json")
	spec := `{"uid":"run-1","breed":"b","owner":"o","shape":"array","rank":"idle","pieces":2,"cpus":1,"accelerators":0,"mem_gb":1,
		"reel":"i","image_gb":1,"same_place":false,"apart":false,"loaners":true,"guess_s":3,"mark_s":0,"stash_s":0}`
	if err := os.WriteFile(file, []byte(spec), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestCommandExitCodesAndOutput checks the exit code and output of each command, and that the client
// waits for the duration of a Retry-After header before it retries.
func TestCommandExitCodesAndOutput(t *testing.T) {
	service := &fakeService{t: t}
	srv := httptest.NewServer(service)
	defer srv.Close()
	server := strings.TrimPrefix(srv.URL, "http://")
	jobFile := writeJobFile(t)
	tests := []struct {
		args       []string
		wantCode   int
		wantOutput string
	}{
		{[]string{"get", "run-1", "--server", server}, 0, "run-1: running, 3 tasks done, 2 running"},
		{[]string{"get", "run-1", "--server", server, "--output", "json"}, 0, `"phase": "running"`},
		{[]string{"get", "run-1", "--output", "xml"}, 2, "neither table nor json"},
		{[]string{"rollout"}, 2, "is needed"},
		{[]string{"rollout", "start", jobFile}, 2, "service: missing"},
		{[]string{"reserve"}, 2, "is needed"},
		{[]string{"reserve", "create", jobFile}, 2, "name: missing"},
		{[]string{"maintenance", "plan", jobFile}, 2, "missing"},
		{[]string{"calendar", "show", "--days", "0"}, 2, "--days"},
		{[]string{"submit", jobFile, "--server", server}, 0, "run-1: running"},
		{[]string{"abort", "run-1", "--server", server}, 0, "run-1: running"},
		{[]string{"get", "run-9", "--server", server}, 1, "no such job"},
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
		{[]string{"config", "apply", jobFile}, 2, "unknown field"},
		{[]string{"config", "rollback", "x"}, 2, "not a revision"},
	}
	for _, tt := range tests {
		service.requests = 0
		var out bytes.Buffer
		var waits []time.Duration
		root := rootCommand(func(d time.Duration) { waits = append(waits, d) })
		root.SetArgs(tt.args)
		root.SetOut(&out)
		code := run(root, &out)
		if code != tt.wantCode || !strings.Contains(out.String(), tt.wantOutput) {
			t.Errorf("vetchstream %v: exit code %d, want %d with output that contains %q; got output %s", tt.args, code, tt.wantCode, tt.wantOutput, out.String())
		}
		if service.requests > 0 && !slices.Equal(waits, []time.Duration{3 * time.Second}) {
			t.Errorf("vetchstream %v: waited %v between attempts, want one wait of 3 s as in the Retry-After header", tt.args, waits)
		}
	}
}
