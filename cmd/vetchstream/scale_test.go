package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/scale"
)

// childProcessVariable is an environment variable that makes the test binary run as the command,
// for the controllers that a scale run starts.
const childProcessVariable = "VETCHSTREAM_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childProcessVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// scaleFaults cut a region off and kill a controller.
const scaleFaults = `[{"kind":"regions_cut","at_s":5,"for_s":3,"region":"region-1"},
	{"kind":"controller_killed","at_s":9,"for_s":2,"region":"region-0"}]`

// TestScaleRunReportsAndCleansUp: a small run of five regions and eleven controllers ends by itself, reports
// what it has measured, and leaves no files. It takes twenty seconds of real time.
func TestScaleRunReportsAndCleansUp(t *testing.T) {
	t.Setenv(childProcessVariable, "1")
	t.Setenv("LOG_LEVEL", "error")
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	troubles := filepath.Join(dir, "troubles.json")
	if err := os.WriteFile(troubles, []byte(scaleFaults), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	root := rootCommand(time.Sleep)
	root.SetOut(&out)
	root.SetArgs([]string{"scale", "--factor", "0.02", "--duration", "20s", "--output", "json", "--troubles", troubles})
	if code := run(root, &errs); code != exitOK {
		t.Fatalf("exit %d: %s", code, errs.String())
	}
	var report scale.Report
	if err := json.Unmarshal(out.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	checkScaleReport(t, &report)
	if left, _ := filepath.Glob(filepath.Join(dir, "vetchstream-scale-*")); len(left) > 0 {
		t.Errorf("left behind: %v", left)
	}
}

// checkScaleReport checks the size of a run, that it measured something, that no rule was
// broken, and that no controller has ended by itself.
func checkScaleReport(t *testing.T, report *scale.Report) {
	t.Helper()
	if report.Workers < 88 || report.Workers > 96 || len(report.Regions) != 5 || report.Controllers != 11 {
		t.Errorf("%d workers, %d regions, %d controllers", report.Workers, len(report.Regions), report.Controllers)
	}
	if report.Starts == 0 || report.Worker.Sent <= 0 || report.Configuration.Changes == 0 {
		t.Errorf("%d starts, %v bytes a second, %d changes", report.Starts, report.Worker.Sent, report.Configuration.Changes)
	}
	if len(report.Violations) > 0 {
		t.Error(report.Violations)
	}
	for _, region := range report.Regions {
		for _, controller := range region.Controllers {
			if controller.UnexpectedExits > 0 {
				t.Errorf("%s ended by itself", controller.Member)
			}
		}
	}
}

// TestScaleNamesInvalidFlagOnOneLine: a flag that cannot be used is named in one line.
func TestScaleNamesInvalidFlagOnOneLine(t *testing.T) {
	tests := []struct {
		args []string
		want string
	}{
		{[]string{"--factor", "0"}, "--factor"},
		{[]string{"--factor", "many"}, "--factor"},
		{[]string{"--regions", "0"}, "--regions"},
		{[]string{"--regions", "5", "--controllers", "4"}, "--controllers"},
		{[]string{"--starts", "-1"}, "--starts"},
		{[]string{"--duration", "1s"}, "--duration"},
		{[]string{"--changes", "-1"}, "--changes"},
		{[]string{"--output", "xml"}, "--output"},
		{[]string{"--troubles", "/nowhere"}, "--troubles"},
		{[]string{"--nonsense"}, "--nonsense"},
	}
	for _, tt := range tests {
		root := rootCommand(time.Sleep)
		root.SetArgs(append([]string{"scale"}, tt.args...))
		var errs strings.Builder
		code := run(root, &errs)
		if code != exitUsage || strings.Count(errs.String(), "\n") != 1 || !strings.Contains(errs.String(), tt.want) {
			t.Errorf("%v: exit %d, %q", tt.args, code, errs.String())
		}
	}
}
