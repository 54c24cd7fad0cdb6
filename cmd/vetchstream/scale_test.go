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

// childProcessVariable is an environment variable that makes the test binary run as the vetchstream
// command. A scale run starts its controllers from its own binary, which in a test is this one.
const childProcessVariable = "VETCHSTREAM_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childProcessVariable) != "" {
		main()
	}
	os.Exit(m.Run())
}

// scaleFaults disconnects region-1 for 3 s and kills a controller of region-0.
const scaleFaults = `[{"kind":"regions_cut","at_s":5,"for_s":3,"region":"region-1"},
	{"kind":"controller_killed","at_s":9,"for_s":2,"region":"region-0"}]`

// TestScaleRunReportsAndCleansUp checks that a small run of five regions and eleven controllers ends
// without intervention, reports its measurements and deletes its temporary files. It takes 20 s of
// real time.
func TestScaleRunReportsAndCleansUp(t *testing.T) {
	t.Setenv(childProcessVariable, "1")
	t.Setenv("LOG_LEVEL", "error")
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	faultsFile := filepath.Join(dir, "troubles.json")
	if err := os.WriteFile(faultsFile, []byte(scaleFaults), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs bytes.Buffer
	root := rootCommand(time.Sleep)
	root.SetOut(&out)
	root.SetArgs([]string{"scale", "--factor", "0.02", "--duration", "20s", "--output", "json", "--troubles", faultsFile})
	if code := run(root, &errs); code != exitOK {
		t.Fatalf("exit code %d, want success; output: %s", code, errs.String())
	}
	var report scale.Report
	if err := json.Unmarshal(out.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	checkScaleReport(t, &report)
	if left, _ := filepath.Glob(filepath.Join(dir, "vetchstream-scale-*")); len(left) > 0 {
		t.Errorf("temporary files not deleted after the run: %v", left)
	}
}

// checkScaleReport checks that the run had the expected size, that its measurements are not zero,
// that it violated no invariant, and that no controller exited unexpectedly.
func checkScaleReport(t *testing.T, report *scale.Report) {
	t.Helper()
	if report.Workers < 88 || report.Workers > 96 || len(report.Regions) != 5 || report.Controllers != 11 {
		t.Errorf("size of the run: %d workers, %d regions, %d controllers; want 88 to 96, 5 and 11", report.Workers, len(report.Regions), report.Controllers)
	}
	if report.Starts == 0 || report.Worker.Sent <= 0 || report.Configuration.Changes == 0 {
		t.Errorf("%d task starts, %v bytes a second sent by workers, %d configuration changes; want all above 0", report.Starts, report.Worker.Sent, report.Configuration.Changes)
	}
	if len(report.Violations) > 0 {
		t.Error(report.Violations)
	}
	for _, region := range report.Regions {
		for _, controller := range region.Controllers {
			if controller.UnexpectedExits > 0 {
				t.Errorf("controller %s exited unexpectedly", controller.Member)
			}
		}
	}
}

// TestScaleNamesInvalidFlagOnOneLine checks that the error for an invalid flag is one line that names
// the flag.
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
			t.Errorf("scale %v: exit code %d with output %q; want a usage error on one line that names the flag", tt.args, code, errs.String())
		}
	}
}
