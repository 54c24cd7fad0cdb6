package control

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/shard"
	"vetchstream/internal/wire"
)

const (
	restartTestLease     = 10 * time.Second
	restartTestHeartbeat = 2 * time.Second
	// restartTestLimit is how long a machine may be out of use after its worker has
	// restarted without memory: a lease and 20 s.
	restartTestLimit = restartTestLease + 20*time.Second
	// restartTestSync is the interval of the holder's requests to the leader.
	restartTestSync = 100 * time.Millisecond
	// restartTestAttempt is the attempt of the task before the restart.
	restartTestAttempt = 1
)

// restartWorld is a leader, a holder and one worker, which restarts without memory: its
// session and its messages are numbered from 1 again.
type restartWorld struct {
	t       *testing.T
	lt      *leaderTerm
	holder  *shard.Holder
	machine *fleet.Machine
	job     *job.Job

	session, seq, token uint64
	running             bool // the task of restartTestAttempt is running
	leaseStart          time.Time
}

func newRestartWorld(t *testing.T) *restartWorld {
	lt := newTestTerm(t, config.Team{Name: "red"})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	lt.ctx = ctx
	lt.termStart = time.Now()
	lt.controller.Settings.Siblings = []config.Sibling{{Member: "n1"}}
	lt.controller.Settings.Facts.Resources.MaxSockets = 800
	sharding := &lt.controller.Tuning.Sharding
	sharding.Enabled = true
	sharding.MinMachines = 1
	sharding.JoinDelayS = 0
	sharding.MovesPerS = 100
	sharding.LeaderWeight = 0.01
	lt.updatePriceList([]wire.MachineType{{Name: "x", CPUs: 8, MemGB: 16, Zones: []string{"a"}}})
	w := &restartWorld{
		t:          t,
		lt:         lt,
		holder:     shard.NewHolder("n1", "a", 1),
		machine:    lt.fleet.Add("h1", time.Now()),
		session:    1,
		token:      wire.FirstToken(lt.term),
		leaseStart: time.Now(),
	}
	lt.nameIndex.describeMachine(w.machine, "x", "a", false)
	w.machine.Registered = true
	lt.shards.start(time.Now())
	spec := job.Spec{ID: "run-1", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}
	w.job = lt.jobTable.add(&job.Record{Spec: spec}, 1, time.Now())
	return w
}

// message returns the worker's next message.
func (w *restartWorld) message() *wire.Heartbeat {
	w.seq++
	message := &wire.Heartbeat{Machine: "h1", Type: "x", Zone: "a", Session: w.session, Seq: w.seq, Token: w.token}
	if w.running {
		message.Tasks = []wire.TaskStatus{{Task: "run-1/0", Attempt: restartTestAttempt, Phase: wire.TaskRunning}}
	}
	return message
}

// answerDirectCommand passes the worker's answer to a direct command to the leader.
func (w *restartWorld) answerDirectCommand() {
	w.lt.taskTracker.observe(w.machine, w.message(), false, time.Now())
}

// heartbeat sends a heartbeat to the holder, or to the leader if the holder does not hold
// the machine. An answer renews the lease.
func (w *restartWorld) heartbeat() {
	heartbeat := w.message()
	body, err := wire.Marshal(heartbeat)
	if err != nil {
		w.t.Fatal(err)
	}
	sentAt := time.Now()
	switch _, outcome := w.holder.HandleHeartbeat(heartbeat, body, sentAt); outcome {
	case shard.NotHeld:
		w.lt.handleHeartbeat(heartbeat, "", func(reply *rpc.Reply) { w.receive(reply.Status == http.StatusOK, sentAt) })
	case shard.Answered, shard.HeartbeatChanged:
		w.receive(true, sentAt)
	case shard.LeaderRequired:
		w.receive(w.sync(), sentAt)
	case shard.GrantExpired:
	}
}

// receive handles an answer to the heartbeat that was sent at the given time.
func (w *restartWorld) receive(answered bool, sentAt time.Time) {
	if answered {
		w.token = w.machine.Token
		w.leaseStart = sentAt
	}
}

// sync exchanges one request and its reply between the holder and the leader. It reports
// whether the reply contains an answer to a heartbeat.
func (w *restartWorld) sync() (answered bool) {
	if w.lt.shards.assigner == nil {
		return false
	}
	now := time.Now()
	var reply *shard.Reply
	request := w.holder.Request(10, 1, false, now)
	w.lt.shards.handleSync(request, func(r *shard.Reply) { reply = r })
	w.lt.shards.answerHeartbeats(now)
	if reply == nil {
		reply = w.lt.shards.assigner.Reply("n1", now)
		box := w.lt.shards.mailboxes["n1"]
		box.fillReply(reply)
		box.respond = nil
	}
	w.holder.HandleReply(reply, now)
	return len(reply.Answers) > 0
}

// run lets the given time pass, in which the worker sends heartbeats.
func (w *restartWorld) run(d time.Duration) {
	nextHeartbeat := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(restartTestSync) {
		if time.Since(w.leaseStart) > restartTestLease {
			w.session++
			w.running = false
			w.leaseStart = time.Now()
		}
		if !time.Now().Before(nextHeartbeat) {
			nextHeartbeat = time.Now().Add(restartTestHeartbeat)
			w.heartbeat()
		}
		w.sync()
		w.lt.shards.step(time.Now(), true)
		w.lt.expireLeases(time.Now())
	}
}

// restart restarts the worker without memory.
func (w *restartWorld) restart() {
	w.session, w.seq, w.token = 1, 0, 0
	w.running = false
	w.leaseStart = time.Now()
}

// holdInEarlierTerm lets the holder answer the worker under an earlier leader. The next
// leader gives the machine back to it.
func (w *restartWorld) holdInEarlierTerm() {
	now := time.Now()
	w.holder.HandleReply(&shard.Reply{Term: w.lt.term - wire.TokensPerTerm, Number: 1, GrantMs: 2000, Add: []string{"h1"}}, now)
	w.holder.HandleHeartbeat(&wire.Heartbeat{Machine: "h1", Session: 1, Seq: 1, Token: wire.FirstToken(w.lt.term) - 1}, []byte{1}, now)
	w.holder.EndTerm()
}

// assignToHolder lets the leader answer the worker, and then assign its machine to the
// holder.
func (w *restartWorld) assignToHolder() {
	w.sync()
	time.Sleep(restartTestSync)
	w.heartbeat()
	w.giveToHolder()
}

// giveToHolder exchanges requests until the holder holds the machine.
func (w *restartWorld) giveToHolder() {
	for range 3 {
		w.sync()
	}
	if w.machine.Holder() == nil {
		w.t.Fatal("the machine was not assigned to the holder")
	}
}

// waitsForTask reports whether the ledger still contains the task that ended with the
// restart.
func (w *restartWorld) waitsForTask() bool {
	for slot := range w.lt.fleet.SlotsOf(w.job) {
		if slot.Active() && slot.Attempt == restartTestAttempt {
			return true
		}
	}
	return false
}

// restartCase is a case of TestTaskOfRestartedWorkerIsPlacedAgain.
type restartCase struct {
	name          string
	beforeRestart func(w *restartWorld)
	outage        time.Duration // from the worker's end to its restart
}

// restartCases returns the ways in which the leader has learned of the task, and to whom the
// restarted worker sends its heartbeats.
func restartCases() []restartCase {
	return []restartCase{
		{"the leader knows the task from a direct command, the holder reports the restarted worker", func(w *restartWorld) {
			w.holdInEarlierTerm()
			w.seq = 2
			w.running = true
			w.answerDirectCommand()
			w.giveToHolder()
		}, 0},
		{"the same after thousands of messages of the worker", func(w *restartWorld) {
			w.holdInEarlierTerm()
			w.seq = 5000
			w.running = true
			w.answerDirectCommand()
			w.giveToHolder()
		}, 0},
		{"the leader knows the task from a heartbeat after thousands of messages, the holder reports the restarted worker", func(w *restartWorld) {
			w.seq = 5000
			w.running = true
			w.assignToHolder()
		}, 0},
		{"the holder has reported the worker without the task before a direct command launched it", func(w *restartWorld) {
			w.holdInEarlierTerm()
			w.giveToHolder()
			w.heartbeat()
			w.giveToHolder()
			w.running = true
			w.answerDirectCommand()
		}, 0},
		{"without a holder, the leader knows the task from a direct command after thousands of messages", func(w *restartWorld) {
			w.lt.shards.assigner = nil
			w.seq = 5000
			w.running = true
			w.answerDirectCommand()
		}, 0},
		{"without a holder, the leader knows the task from a heartbeat after thousands of messages", func(w *restartWorld) {
			w.lt.shards.assigner = nil
			w.seq = 5000
			w.running = true
			w.heartbeat()
		}, 0},
		{"without a holder, the restart takes longer than the lease", func(w *restartWorld) {
			w.lt.shards.assigner = nil
			w.seq = 2
			w.running = true
			w.answerDirectCommand()
		}, restartTestLease + time.Second},
	}
}

// TestTaskOfRestartedWorkerIsPlacedAgain guards against an accepted job that never ends: a
// task that ended when its worker restarted without memory stayed in the ledger as running,
// because the holder's reports of unchanged heartbeats confirmed a task list that the leader
// had never applied, or because its heartbeats were answered although the ledger ignored them.
func TestTaskOfRestartedWorkerIsPlacedAgain(t *testing.T) {
	for _, tt := range restartCases() {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newRestartWorld(t)
				tt.beforeRestart(w)
				if !w.waitsForTask() {
					t.Fatal("the ledger does not contain the task before the restart")
				}
				time.Sleep(tt.outage)
				w.lt.expireLeases(time.Now())
				w.restart()
				w.run(restartTestLimit)
				if w.waitsForTask() {
					t.Errorf("%v after the worker's restart, the ledger still contains its task", restartTestLimit)
				}
				if w.machine.Lost || w.machine.Session != w.session {
					t.Errorf("%v after the restart, the ledger has session %d (lost: %v), the worker session %d", restartTestLimit, w.machine.Session, w.machine.Lost, w.session)
				}
			})
		})
	}
}

// TestCancelStuckJob guards against a job that cannot be cancelled while the ledger lists its
// task on a machine that no longer runs it: the cancellation, its repetition, and later
// requests get the answers of the protocol, from the next leader as well.
func TestCancelStuckJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeStateService(t)
		leader := startLeader(t, service, 7)
		if response := leader.request(rpc.KindSubmit, "run-5", submissionBody("run-5", nil)); response.Status != http.StatusCreated {
			t.Fatalf("submission: status %d, want 201", response.Status)
		}
		// This is the only message of the worker. It then restarts without memory.
		running := wire.TaskStatus{Task: "run-5/0", Attempt: restartTestAttempt, Phase: wire.TaskRunning}
		if slots := leader.reportTasks("h1", 5000, running); len(slots) != 1 {
			t.Fatalf("the ledger lists %d tasks on the machine, want 1", len(slots))
		}
		checkAnswers := func(leader *testLeader) {
			for range 2 {
				response := leader.request(rpc.KindCancel, "run-5", nil)
				var status wire.JobStatus
				if err := wire.Unmarshal(response.Body, &status); err != nil || response.Status != http.StatusOK || status.Phase != wire.JobCancelled {
					t.Errorf("cancellation: status %d, phase %q, error %v; want 200 with phase %q", response.Status, status.Phase, err, wire.JobCancelled)
				}
			}
			if phase := leader.phase("run-5"); phase != wire.JobCancelled {
				t.Errorf("status request: phase %q, want %q", phase, wire.JobCancelled)
			}
			if response := leader.request(rpc.KindSubmit, "run-5", submissionBody("run-5", nil)); response.Status != http.StatusOK {
				t.Errorf("repeated submission: status %d, want 200", response.Status)
			}
		}
		checkAnswers(leader)
		time.Sleep(time.Minute) // the lease of the machine expires
		checkAnswers(leader)
		leader.stop()
		checkAnswers(startLeader(t, service, 8))
	})
}
