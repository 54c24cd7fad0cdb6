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

// greenChange is a change of a team's split with an edit.
func greenChange(name string, edit func(map[string]any)) map[string]any {
	change := greenSplit(8, 4)
	team := change["teams"].([]any)[0].(map[string]any)
	team["name"] = name
	if edit != nil {
		edit(team)
	}
	return change
}

// guaranteeAboveLimit gives a region more of a team guaranteed than its part of the limit.
func guaranteeAboveLimit(team map[string]any) {
	team["regions"] = map[string]any{"region-0": map[string]any{
		"limit":     map[string]any{"cpus": 1.0, "gpus": 0.0},
		"guarantee": map[string]any{"cpus": 2.0},
	}}
}

// configurationChanges are changes with the status that operators get.
var configurationChanges = []struct {
	name   string
	change map[string]any
	query  string
	want   int
}{
	{"a team", greenChange("green", nil), "", http.StatusOK},
	{"only checked", greenChange("green", nil), "?dry_run=true", http.StatusOK},
	{"unknown field", map[string]any{"teems": []any{}}, "", http.StatusBadRequest},
	{"nothing", map[string]any{}, "", http.StatusBadRequest},
	{"named twice", map[string]any{"teams": greenChange("x", nil)["teams"], "remove": []any{"x"}}, "", http.StatusBadRequest},
	{"parts above the limit", greenSplit(9, 4), "", http.StatusUnprocessableEntity},
	{"guarantee above its part", greenChange("green", guaranteeAboveLimit), "", http.StatusUnprocessableEntity},
	{"unknown region", greenSplit(4, 4, 4), "", http.StatusUnprocessableEntity},
	{"another revision came first", map[string]any{"base_revision": 99, "teams": greenChange("green", nil)["teams"]}, "", http.StatusConflict},
	{"removed, no such team", map[string]any{"remove": []any{"nobody"}}, "", http.StatusUnprocessableEntity},
	{"removed with a job that is not over", map[string]any{"remove": []any{"green"}}, "", http.StatusUnprocessableEntity},
	{"removed", map[string]any{"remove": []any{"blue"}}, "", http.StatusOK},
}

// TestConfigChanges: the answers that operators get to changes, rollbacks and questions, and what
// follows from the removal of a team.
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

// checkChanges applies each of the changes at each region.
func (m *multiRegion) checkChanges() {
	m.t.Helper()
	for _, tt := range configurationChanges {
		for region := range m.regions {
			if got := m.request(region, http.MethodPost, "/api/config"+tt.query, tt.change, nil); got != tt.want {
				m.t.Errorf("%s at region %d: %d, want %d", tt.name, region, got, tt.want)
			}
		}
	}
}

// checkRollbacks tries rollbacks to revisions that are there and that are not.
func (m *multiRegion) checkRollbacks() {
	m.t.Helper()
	wants := map[string]int{
		"99":   http.StatusUnprocessableEntity,
		"none": http.StatusBadRequest,
		"3":    http.StatusOK,
	}
	for revision, want := range wants {
		if got := m.request(1, http.MethodPost, "/api/config/rollback/"+revision+"?dry_run=true", nil, nil); got != want {
			m.t.Errorf("rollback to %s: %d, want %d", revision, got, want)
		}
	}
}

// checkHistory checks that the changes that were taken are in the history, once.
func (m *multiRegion) checkHistory() {
	m.t.Helper()
	var history struct {
		Changes []dynconfig.HistorySummary `codec:"changes"`
	}
	m.request(1, http.MethodGet, "/api/config/history", nil, &history)
	if len(history.Changes) != 5 {
		m.t.Errorf("%d changes are kept: %+v", len(history.Changes), history)
	}
}

// checkRemovedTeam submits jobs of the team that was removed, which is refused, and of one that
// is still there.
func (m *multiRegion) checkRemovedTeam() {
	m.t.Helper()
	s := m.regions[1]
	hc := s.userClient(5 * time.Second)
	taken := &job.Spec{
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
		spec := *taken
		spec.Team = team
		res, err := hc.Post("http://"+s.controllerAddress(0)+"/api/jobs", wire.ContentType, bytes.NewReader(submission(&spec)))
		if err != nil {
			m.t.Fatal(err)
		}
		_ = res.Body.Close()
		if refused := res.StatusCode == http.StatusUnprocessableEntity; refused != (team == "blue") {
			m.t.Errorf("a job of %s got %d", team, res.StatusCode)
		}
	}
	s.Go(func() { s.runUser(taken, 0, 0) })
}

// checkWithoutHomeRegion asks for the status at a region that is cut off from the home region.
func (m *multiRegion) checkWithoutHomeRegion() {
	m.t.Helper()
	s := m.regions[1]
	hc := s.userClient(5 * time.Second)
	res, err := hc.Get("http://" + s.controllerAddress(0) + "/api/config/status")
	if err != nil {
		m.t.Fatal(err)
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		m.t.Errorf("without the home region: %d", res.StatusCode)
	}
}

// TestTeamRemoval: a team is removed while its jobs come in at all controllers of another
// region, which do not reach each other and admit by themselves. What was accepted runs to
// its end, and nothing is accepted once the removal is in force.
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
			t.Errorf("%d accepted, %d refused: the day tells nothing", accepted, refused)
		}
		m.allowLowUsage = true
		m.awaitEnd(3 * time.Minute)
	})
}

// removeGreen removes green as soon as its jobs are over, and returns the change's revision.
func (m *multiRegion) removeGreen() uint64 {
	for {
		var out struct {
			Revision uint64 `codec:"revision"`
		}
		if m.request(0, http.MethodPost, "/api/config", map[string]any{"remove": []any{"green"}}, &out) == http.StatusOK {
			return out.Revision
		}
		time.Sleep(50 * time.Millisecond) // its jobs are not over
	}
}

// submitDuringRemoval submits jobs of green in region 1, with pauses in which it has none, and
// counts those that were accepted and refused.
func (m *multiRegion) submitDuringRemoval() (accepted, refused int) {
	s := m.regions[1]
	hc := s.userClient(5 * time.Second)
	for i := range 150 {
		spec := greenJob(fmt.Sprintf("run-8%04d", i), 1, 0.2)
		res, err := hc.Post("http://"+s.controllerAddress(i)+"/api/jobs", wire.ContentType, bytes.NewReader(submission(spec)))
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

// TestRejectedConfigUpdate: an update of the configuration that the key-value store rejects is tried again
// at a rate that leaves the store to others.
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
		usual := requestsInTenSeconds()
		revision := m.applyChange(0, greenSplit(2, 10))
		store.SetMaxWrites(1) // the raise that follows takes two writes
		if rejected := requestsInTenSeconds(); rejected > usual+30 {
			t.Errorf("%d requests in ten seconds, usually %d", rejected, usual)
		}
		store.SetMaxWrites(12)
		m.awaitInForce(revision, inForceTimeout)
	})
}
