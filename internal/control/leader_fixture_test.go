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
	// entitlementLapsed: the controller is no longer entitled to act as leader.
	entitlementLapsed atomic.Bool
}

// startLeader starts a leader of the term, which stops at the latest with the test.
func startLeader(t *testing.T, s *fakeStateService, term uint64) *testLeader {
	t.Helper()
	return startLeaderWith(t, s, term, func(*config.Tuning) {})
}

// startLeaderWith is startLeader with other tuning than the defaults.
func startLeaderWith(t *testing.T, s *fakeStateService, term uint64, tune func(*config.Tuning)) *testLeader {
	t.Helper()
	st := &testLeader{t: t, service: s, term: term}
	settings := testLeaderSettings()
	c := New(Deps{
		Settings: settings,
		Tuning:   config.Defaults(),
		State:    state.New("state:1", s.dial, StateBudget(settings, false)),
		Cloud:    autoscale.NewCloud("cloud:1", s.dial, 1),
		Dial:     s.dial,
		Log:      slog.New(slog.DiscardHandler),
		Entitled: func(uint64) bool { return !st.entitlementLapsed.Load() },
		Deposed:  func(uint64) {},
	})
	st.Controller = c
	tune(c.Tuning)
	c.types = []wire.MachineType{{Name: "small", CPUs: 4, MemGB: 16, Zones: []string{"a"}}}
	s.put(election.KeyTerm, map[string]uint64{"term": term})
	s.mu.Lock()
	version := s.kv[election.KeyTerm].Version
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Lead(ctx, election.Term{Number: term, TermVersion: version, Since: time.Now()})
	}()
	st.stop = sync.OnceFunc(func() {
		cancel()
		<-ended
	})
	t.Cleanup(st.stop)
	time.Sleep(300 * time.Millisecond)
	return st
}

// testLeaderSettings are the settings of a testLeader. Few writes per second are
// allowed, so that submissions which come together are certain to be grouped.
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

// submissionBody is the body of the submission of an array of one task, with some
// fields replaced.
func submissionBody(id string, edit map[string]any) []byte {
	m := map[string]any{"uid": id, "breed": "c", "owner": "red", "shape": "array", "rank": "idle", "pieces": 1, "cpus": 1.0, "accelerators": 0.0,
		"mem_gb": 1.0, "reel": "i", "image_gb": 0.5, "same_place": false, "apart": false, "loaners": true, "guess_s": 5.0, "mark_s": 0.0, "stash_s": 0.0}
	maps.Copy(m, edit)
	b, err := wire.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// request makes a user's request, and waits for as long as a user does.
func (st *testLeader) request(kind rpc.RequestKind, id string, b []byte) *rpc.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 3500*time.Millisecond)
	defer cancel()
	p := st.Answer(ctx, &rpc.Request{Kind: kind, ID: id, Body: b})
	if p == nil {
		p = Unavailable("nobody leads")
	}
	return p
}

// submit submits jobs concurrently and returns the statuses of the replies.
func (st *testLeader) submit(bodies ...[]byte) []int {
	out := make([]int, len(bodies))
	var wg sync.WaitGroup
	for i, b := range bodies {
		wg.Go(func() { out[i] = st.request(rpc.KindSubmit, "", b).Status })
	}
	wg.Wait()
	return out
}

// phase is the phase of a job, or the status of the reply if that is not 200.
func (st *testLeader) phase(id string) wire.JobPhase {
	p := st.request(rpc.KindStatus, id, nil)
	var s wire.JobStatus
	if p.Status != 200 {
		return wire.JobPhase(fmt.Sprint(p.Status))
	}
	if err := wire.Unmarshal(p.Body, &s); err != nil {
		st.t.Fatal(err)
	}
	return s.Phase
}

// smallJobs are the bodies of n submissions, of the jobs run-from and on.
func smallJobs(from, n int) (out [][]byte) {
	for i := range n {
		out = append(out, submissionBody(fmt.Sprintf("run-%d", from+i), nil))
	}
	return out
}

// count is how many of the statuses are status.
func count(out []int, status int) (n int) {
	for _, s := range out {
		if s == status {
			n++
		}
	}
	return n
}

// reportTasks has a machine report tasks, and returns the leader's slots of the
// machine a second later.
func (st *testLeader) reportTasks(host string, seq uint64, tasks ...wire.TaskStatus) (slots []fleet.Slot) {
	r := st.currentTerm()
	r.enqueueForUser(func() {
		h := r.fleet.Add(host, time.Now())
		h.Described = true
		h.Type = 0
		h.Zone = 0
		r.taskTracker.observe(h, &wire.Heartbeat{Host: host, Session: 1, Seq: seq, Token: st.term, Tasks: tasks}, true, time.Now())
	})
	time.Sleep(time.Second)
	done := make(chan struct{})
	r.enqueueForUser(func() {
		defer close(done)
		for _, slot := range r.fleet.Machines[host].Slots {
			slots = append(slots, *slot)
		}
	})
	<-done
	return slots
}

// stops reports whether the leader stops a task that a machine reports as running.
func (st *testLeader) stops(host, task string) bool {
	slots := st.reportTasks(host, 5, wire.TaskStatus{Task: task, Attempt: 1, Phase: wire.TaskRunning})
	return len(slots) == 1 && slots[0].Stopping
}
