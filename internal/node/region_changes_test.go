package node

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/dynconfig"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// greenChange returns a configuration change that divides the limit of the named team as
// greenSplit does, after an optional edit of the team.
func greenChange(name string, edit func(map[string]any)) map[string]any {
	change := greenSplit(8, 4)
	team := change["teams"].([]any)[0].(map[string]any)
	team["name"] = name
	if edit != nil {
		edit(team)
	}
	return change
}

// guaranteeAboveLimit sets a team's guarantee in a region above the region's part of the limit.
func guaranteeAboveLimit(team map[string]any) {
	team["regions"] = map[string]any{"region-0": map[string]any{
		"limit":     map[string]any{"cpus": 1.0, "gpus": 0.0},
		"guarantee": map[string]any{"cpus": 2.0},
	}}
}

// configurationChanges are changes of the configuration with the HTTP status that operators
// receive.
var configurationChanges = []struct {
	name   string
	change map[string]any
	query  string
	want   int
}{
	{"valid change of a team", greenChange("green", nil), "", http.StatusOK},
	{"dry run of a valid change", greenChange("green", nil), "?dry_run=true", http.StatusOK},
	{"unknown field", map[string]any{"teems": []any{}}, "", http.StatusBadRequest},
	{"no change", map[string]any{}, "", http.StatusBadRequest},
	{"a team both changed and removed", map[string]any{"teams": greenChange("x", nil)["teams"], "remove": []any{"x"}}, "", http.StatusBadRequest},
	{"the regions' parts exceed the limit", greenSplit(9, 4), "", http.StatusUnprocessableEntity},
	{"a region's guarantee exceeds its part", greenChange("green", guaranteeAboveLimit), "", http.StatusUnprocessableEntity},
	{"unknown region", greenSplit(4, 4, 4), "", http.StatusUnprocessableEntity},
	{"base_revision is not the current revision", map[string]any{"base_revision": 99, "teams": greenChange("green", nil)["teams"]}, "", http.StatusConflict},
	{"removal of an unknown team", map[string]any{"remove": []any{"nobody"}}, "", http.StatusUnprocessableEntity},
	{"removal of a team with unfinished jobs", map[string]any{"remove": []any{"green"}}, "", http.StatusUnprocessableEntity},
	{"removal of a team without jobs", map[string]any{"remove": []any{"blue"}}, "", http.StatusOK},
}

// TestConfigChanges checks the answers to configuration changes, rollbacks and queries of
// operators, and that jobs of a removed team are refused.
func TestConfigChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, closeAll := newMultiRegion(t, 2, 3)
		defer closeAll()
		time.Sleep(8 * time.Second)
		m.awaitInForce(m.applyChange(0, greenSplit(8, 4)), inForceTimeout)
		m.submitGreenJobs(4 * time.Second)
		time.Sleep(2 * time.Second)
		m.checkChanges()
		m.checkRollbacks()
		m.checkHistory()
		time.Sleep(5 * time.Second)
		m.checkRemovedTeam()
		m.setPartitioned(1, true)
		m.checkWithoutHomeRegion()
		m.setPartitioned(1, false)
		m.allowLowUsage = true
		m.awaitEnd(2 * time.Minute)
	})
}

// checkChanges requests each of the changes at each region and checks the HTTP status.
func (m *multiRegion) checkChanges() {
	m.t.Helper()
	for _, tt := range configurationChanges {
		for region := range m.regions {
			if got := m.request(region, http.MethodPost, "/api/config"+tt.query, tt.change, nil); got != tt.want {
				m.t.Errorf("%s at region %d: HTTP status %d, want %d", tt.name, region, got, tt.want)
			}
		}
	}
}

// checkRollbacks requests rollbacks to existing, unknown and malformed revisions and checks the
// HTTP status.
func (m *multiRegion) checkRollbacks() {
	m.t.Helper()
	wants := map[string]int{
		"99":   http.StatusUnprocessableEntity,
		"none": http.StatusBadRequest,
		"3":    http.StatusOK,
	}
	for revision, want := range wants {
		if got := m.request(1, http.MethodPost, "/api/config/rollback/"+revision+"?dry_run=true", nil, nil); got != want {
			m.t.Errorf("rollback to revision %s: HTTP status %d, want %d", revision, got, want)
		}
	}
}

// checkHistory checks that the history holds each accepted change once.
func (m *multiRegion) checkHistory() {
	m.t.Helper()
	var history struct {
		Changes []dynconfig.HistorySummary `codec:"changes"`
	}
	m.request(1, http.MethodGet, "/api/config/history", nil, &history)
	if len(history.Changes) != 5 {
		m.t.Errorf("the history holds %d changes, want 5: %+v", len(history.Changes), history)
	}
}

// checkRemovedTeam checks that a job of the removed team blue is refused and one of team red is
// accepted.
func (m *multiRegion) checkRemovedTeam() {
	m.t.Helper()
	s := m.regions[1]
	client := s.userClient(5 * time.Second)
	accepted := &job.Spec{
		ID:           "run-73",
		Team:         "red",
		ShapeName:    "array",
		PriorityName: "standard",
		Tasks:        1,
		CPUs:         1,
		MemGB:        1,
		EstimateS:    1,
		Spot:         true,
	}
	for _, team := range []string{"blue", "red"} {
		spec := *accepted
		spec.Team = team
		res, err := client.Post("http://"+s.controllerAddress(0)+"/api/jobs", wire.ContentType, bytes.NewReader(submission(&spec)))
		if err != nil {
			m.t.Fatal(err)
		}
		_ = res.Body.Close()
		if refused := res.StatusCode == http.StatusUnprocessableEntity; refused != (team == "blue") {
			m.t.Errorf("submission for team %s: HTTP status %d, want 422 for the removed team blue only", team, res.StatusCode)
		}
	}
	s.Go(func() { s.runUser(accepted, 0, 0) })
}

// checkWithoutHomeRegion checks that a region that is partitioned from the home region answers a
// status query with 503 and Retry-After.
func (m *multiRegion) checkWithoutHomeRegion() {
	m.t.Helper()
	s := m.regions[1]
	client := s.userClient(5 * time.Second)
	res, err := client.Get("http://" + s.controllerAddress(0) + "/api/config/status")
	if err != nil {
		m.t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		m.t.Errorf("status query without the home region: HTTP status %d, want 503 with Retry-After", res.StatusCode)
	}
}

// TestTeamRemoval removes a team while users submit its jobs to all controllers of another region,
// which are partitioned from each other and admit jobs independently. Accepted jobs have to run
// to their end, and no job may be accepted once the removal is in force.
func TestTeamRemoval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, closeAll := newMultiRegion(t, 2, 3)
		defer closeAll()
		time.Sleep(8 * time.Second)
		m.awaitInForce(m.applyChange(0, greenSplit(8, 4)), inForceTimeout)
		removed := make(chan uint64, 1)
		m.tasks.Go(func() { partitionControllers(30 * time.Second)(m.regions[1]) })
		m.tasks.Go(func() {
			time.Sleep(10 * time.Second)
			removed <- m.removeGreen()
		})
		accepted, refused := m.submitDuringRemoval()
		m.awaitInForce(<-removed, time.Minute)
		if accepted == 0 || refused == 0 {
			t.Errorf("%d jobs accepted, %d refused: the scenario needs some of both", accepted, refused)
		}
		m.allowLowUsage = true
		m.awaitEnd(3 * time.Minute)
	})
}

// removeGreen removes team green as soon as its jobs have ended, and returns the revision of the
// change.
func (m *multiRegion) removeGreen() uint64 {
	for {
		var out struct {
			Revision uint64 `codec:"revision"`
		}
		if m.request(0, http.MethodPost, "/api/config", map[string]any{"remove": []any{"green"}}, &out) == http.StatusOK {
			return out.Revision
		}
		time.Sleep(50 * time.Millisecond) // the team still has unfinished jobs
	}
}

// submitDuringRemoval submits jobs of team green in region 1 and counts the accepted and the
// refused ones. During its pauses the team has no unfinished job and can be removed.
func (m *multiRegion) submitDuringRemoval() (accepted, refused int) {
	s := m.regions[1]
	client := s.userClient(5 * time.Second)
	for i := range 150 {
		spec := greenJob(fmt.Sprintf("run-8%04d", i), 1, 0.2)
		res, err := client.Post("http://"+s.controllerAddress(i)+"/api/jobs", wire.ContentType, bytes.NewReader(submission(spec)))
		if err == nil {
			_ = res.Body.Close()
		}
		switch {
		case err != nil:
		case res.StatusCode == http.StatusOK, res.StatusCode == http.StatusCreated:
			accepted++
			s.DescribeJob(spec)
			s.JobAccepted(spec.ID)
			s.Go(func() { s.runUser(spec, 0, 0) })
		case res.StatusCode == http.StatusUnprocessableEntity:
			refused++
		}
		time.Sleep(time.Duration(i%7) * 150 * time.Millisecond)
		if i%15 == 14 {
			time.Sleep(5 * time.Second)
		}
	}
	return accepted, refused
}

// TestRejectedConfigUpdate checks that an update of the configuration that the key-value store
// rejects is retried at a low rate, so that it does not use up the store's request rate.
func TestRejectedConfigUpdate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, closeAll := newMultiRegion(t, 2, 1)
		defer closeAll()
		m.allowLowUsage = true
		time.Sleep(8 * time.Second)
		m.awaitInForce(m.applyChange(0, greenSplit(8, 4)), inForceTimeout)
		store := m.regions[0].store
		requestsInTenSeconds := func() int {
			before := store.Load().Requests
			time.Sleep(10 * time.Second)
			return store.Load().Requests - before
		}
		normal := requestsInTenSeconds()
		revision := m.applyChange(0, greenSplit(2, 10))
		store.SetMaxWrites(1) // raising a limit takes two writes
		if duringRejection := requestsInTenSeconds(); duringRejection > normal+30 {
			t.Errorf("%d requests in ten seconds while the store rejects the update, %d before: want at most 30 more", duringRejection, normal)
		}
		store.SetMaxWrites(12)
		m.awaitInForce(revision, inForceTimeout)
	})
}
