package control

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/config"
	"vetchstream/internal/election"
	"vetchstream/internal/fleet"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// testLeader is a controller that leads on a fake state service.
type testLeader struct {
	*Controller
	t       *testing.T
	service *fakeStateService
	term    uint64
	stop    func()
	// entitlementLapsed is set if the controller is no longer entitled to lead.
	entitlementLapsed atomic.Bool
}

// startLeader starts a leader of the term with the given ordinal. It stops when the test ends, if not
// earlier.
func startLeader(t *testing.T, service *fakeStateService, term uint64) *testLeader {
	t.Helper()
	return startLeaderWith(t, service, term, func(*config.Tuning) {})
}

// startLeaderWith is like startLeader but lets tune change the default tuning.
func startLeaderWith(t *testing.T, service *fakeStateService, term uint64, tune func(*config.Tuning)) *testLeader {
	t.Helper()
	term *= wire.TokensPerTerm
	st := &testLeader{t: t, service: service, term: term}
	settings := testLeaderSettings()
	controller := New(Deps{
		Settings: settings,
		Tuning:   config.Defaults(),
		State:    state.New("state:1", service.dial, StateBudget(settings, false)),
		Cloud:    autoscale.NewCloud("cloud:1", service.dial, 1),
		Dial:     service.dial,
		Log:      slog.New(slog.DiscardHandler),
		Entitled: func(uint64) bool { return !st.entitlementLapsed.Load() },
		Deposed:  func(uint64) {},
	})
	st.Controller = controller
	tune(controller.Tuning)
	controller.types = []wire.MachineType{{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a"}}}
	service.put(election.KeyTerm, map[string]uint64{"term": term})
	service.mu.Lock()
	version := service.kv[election.KeyTerm].Version
	service.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		controller.Lead(ctx, election.Term{Number: term, TermVersion: version, Since: time.Now()})
	}()
	st.stop = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	t.Cleanup(st.stop)
	time.Sleep(300 * time.Millisecond)
	return st
}

// testLeaderSettings returns the settings of a testLeader. The low write limit
// ensures that concurrent submissions are stored in groups.
func testLeaderSettings() *config.Settings {
	settings := &config.Settings{Member: "n0"}
	facts := &settings.Facts
	facts.Workers.LeaseS = 10
	facts.Zones = []string{"a"}
	facts.Teams = []config.Team{{Name: "red"}}
	facts.State.RPS = 200
	facts.State.WriteRPS = 24
	facts.State.TxnOps = 12
	facts.State.ValueKB = 16
	facts.Resources.MaxSockets = 800
	return settings
}

// submissionBody returns the body of a submission of an array with one task, with
// the fields in edit replaced.
func submissionBody(id string, edit map[string]any) []byte {
	fields := map[string]any{"uid": id, "breed": "c", "owner": "red", "shape": "array", "rank": "idle", "pieces": 1, "cpus": 1.0, "accelerators": 0.0,
		"mem_gb": 1.0, "reel": "i", "image_gb": 0.5, "same_place": false, "apart": false, "loaners": true, "guess_s": 5.0, "mark_s": 0.0, "stash_s": 0.0}
	maps.Copy(fields, edit)
	body, err := wire.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return body
}

// request sends a user's request and waits as long as a user does.
func (st *testLeader) request(kind rpc.RequestKind, id string, body []byte) *rpc.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
	defer cancel()
	response := st.Answer(ctx, &rpc.Request{Kind: kind, ID: id, Body: body})
	if response == nil {
		response = Unavailable("no controller leads")
	}
	return response
}

// submit submits jobs concurrently and returns the statuses of the replies.
func (st *testLeader) submit(bodies ...[]byte) []int {
	statuses := make([]int, len(bodies))
	var wg sync.WaitGroup
	for i, body := range bodies {
		wg.Go(func() { statuses[i] = st.request(rpc.KindSubmit, "", body).Status })
	}
	wg.Wait()
	return statuses
}

// phase returns the phase of a job, or the status code of the reply if that is not
// 200.
func (st *testLeader) phase(id string) wire.JobPhase {
	response := st.request(rpc.KindStatus, id, nil)
	var jobStatus wire.JobStatus
	if response.Status != 200 {
		return wire.JobPhase(fmt.Sprint(response.Status))
	}
	if err := wire.Unmarshal(response.Body, &jobStatus); err != nil {
		st.t.Fatal(err)
	}
	return jobStatus.Phase
}

// smallJobs returns the bodies of n submissions, for jobs with consecutive IDs
// starting at run-<from>.
func smallJobs(from, n int) (bodies [][]byte) {
	for i := range n {
		bodies = append(bodies, submissionBody(fmt.Sprintf("run-%d", from+i), nil))
	}
	return bodies
}

// count returns how many of the statuses equal status.
func count(statuses []int, status int) (n int) {
	for _, got := range statuses {
		if got == status {
			n++
		}
	}
	return n
}

// reportTasks applies a machine's heartbeat with the given tasks, and returns the
// leader's slots of the machine one second later.
func (st *testLeader) reportTasks(name string, seq uint64, tasks ...wire.TaskStatus) (slots []fleet.Slot) {
	lt := st.currentTerm()
	lt.enqueueForUser(func() {
		machine := lt.fleet.Add(name, time.Now())
		machine.Described = true
		machine.Type = 0
		machine.Zone = 0
		lt.taskTracker.observe(machine, &wire.Heartbeat{Machine: name, Session: 1, Seq: seq, Token: wire.FirstToken(st.term), Tasks: tasks}, true, time.Now())
	})
	time.Sleep(time.Second)
	done := make(chan struct{})
	lt.enqueueForUser(func() {
		defer close(done)
		for _, slot := range lt.fleet.Machines[name].Slots {
			slots = append(slots, *slot)
		}
	})
	<-done
	return slots
}

// stops reports whether the leader stops a task that a machine reports as running.
func (st *testLeader) stops(machine, task string) bool {
	slots := st.reportTasks(machine, 5, wire.TaskStatus{Task: task, Attempt: 1, Phase: wire.TaskRunning})
	return len(slots) == 1 && slots[0].Stopping
}
