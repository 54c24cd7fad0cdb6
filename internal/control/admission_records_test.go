package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// TestMissedWatchEvent: a job that another node has admitted, and whose watch event
// is lost, is adopted all the same.
func TestMissedWatchEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeStateService(t)
		service.watchesSilent = true
		leader := startLeader(t, service, 7)
		service.put(job.ActivePrefix+"run-5", &job.Record{Spec: job.Spec{ID: "run-5", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}})
		adopted := func() bool {
			has := make(chan bool, 1)
			lt := leader.currentTerm()
			lt.enqueueForUser(func() { has <- lt.jobTable.get("run-5") != nil })
			return <-has
		}
		time.Sleep(relistInterval / 2)
		if adopted() {
			t.Error("the event was not lost")
		}
		time.Sleep(relistInterval)
		if !adopted() {
			t.Error("nobody looks after the job")
		}
	})
}

// TestUnreadable: a record that does not decode affects its own job only.
func TestUnreadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeStateService(t)
		service.put(job.ActivePrefix+"run-4", "no record")
		service.put(job.DonePrefix+"run-4/0", job.Chunk{})
		service.put(job.ActivePrefix+"run-5", &job.Record{Spec: job.Spec{ID: "run-5", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}})
		leader := startLeader(t, service, 7)
		if response := leader.request(rpc.KindStatus, "run-5", nil); response.Status != 200 {
			t.Errorf("another job's status: %d", response.Status)
		}
		if response := leader.request(rpc.KindStatus, "run-4", nil); response.Status != 503 {
			t.Errorf("its own: %d, want 503", response.Status)
		}
		if response := leader.request(rpc.KindSubmit, "run-6", submissionBody("run-6", nil)); response.Status/100 != 2 {
			t.Errorf("a new job: %d", response.Status)
		}
		time.Sleep(2 * relistInterval)
		if service.absent(job.ActivePrefix+"run-4") || service.absent(job.DonePrefix+"run-4/0") {
			t.Error("the record, or a result, is gone")
		}
		// A task of it is stopped, and so is one that another machine shows later.
		for _, host := range []string{"host-1", "host-2"} {
			if !leader.stops(host, "run-4/0") {
				t.Errorf("its task on %s goes on", host)
			}
		}
	})
}

// TestUnreadableGroup: a group's record that does not decode delays neither loading
// nor the jobs that are known. A job that may be in it is neither denied nor accepted
// as new.
func TestUnreadableGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeStateService(t)
		service.put(job.GroupPrefix+"6-1", "no record")
		service.put(job.DonePrefix+"run-4/0", job.Chunk{})
		service.put(job.GroupPrefix+"6-2", job.Group{Jobs: []job.Record{{Spec: job.Spec{ID: "run-6", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}}}})
		service.put(job.ActivePrefix+"run-5", &job.Record{Spec: job.Spec{ID: "run-5", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}})
		service.put(job.FinalPrefix+"run-7", &job.Record{Spec: job.Spec{ID: "run-7", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}, Phase: wire.JobDone})
		leader := startLeader(t, service, 7)
		for _, tt := range []struct {
			kind rpc.RequestKind
			id   string
			want int
		}{
			{rpc.KindStatus, "run-5", 200}, {rpc.KindStatus, "run-6", 200}, {rpc.KindStatus, "run-7", 200}, {rpc.KindStatus, "run-4", 503},
			{rpc.KindSubmit, "run-5", 200}, {rpc.KindSubmit, "run-6", 200}, {rpc.KindSubmit, "run-7", 200}, {rpc.KindSubmit, "run-4", 503},
			{rpc.KindCancel, "run-4", 503}, {rpc.KindCancel, "run-6", 200},
		} {
			if response := leader.request(tt.kind, tt.id, submissionBody(tt.id, nil)); response.Status != tt.want {
				t.Errorf("%s %s: %d, want %d", tt.kind, tt.id, response.Status, tt.want)
			}
			if response := leader.StatusWithoutLeader(context.Background(), tt.id); tt.kind == rpc.KindStatus && response.Status != tt.want {
				t.Errorf("%s at another controller: %d, want %d", tt.id, response.Status, tt.want)
			}
		}
		if response := leader.AdmitWithoutLeader(context.Background(), submissionBody("run-4", nil)); response.Status != 503 {
			t.Errorf("admitted by another controller: %d", response.Status)
		}
		time.Sleep(2 * relistInterval)
		if service.absent(job.GroupPrefix+"6-1") || service.absent(job.DonePrefix+"run-4/0") {
			t.Error("the record, or a result, is gone")
		}
		if !leader.stops("host-1", "run-4/0") {
			t.Error("a task that may be of it goes on")
		}
	})
}

// TestUnknownTaskStopped: while the state service is unavailable, a machine reports a
// task of a job that this leader does not know: the job is over, and was not loaded or
// is already forgotten. The task is stopped all the same: its user may have been told
// that the job is cancelled, and each answer renews the machine's lease.
func TestUnknownTaskStopped(t *testing.T) {
	tests := []struct {
		name  string
		phase wire.JobPhase // of its record; empty: there is none
	}{
		{"cancelled through the leader before", wire.JobCancelled},
		{"done", wire.JobDone},
		{"never heard of", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newFakeStateService(t)
				if tt.phase != "" {
					service.put(job.FinalPrefix+"run-4", &job.Record{Spec: job.Spec{ID: "run-4", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}, Phase: tt.phase})
				}
				leader := startLeader(t, service, 7)
				service.mu.Lock()
				service.unavailable = true
				service.mu.Unlock()
				if !leader.stops("host-1", "run-4/0") {
					t.Error("the task goes on, and its machine's lease is renewed")
				}
			})
		})
	}
}

// TestResolve: the record that answers a submission, of a job that another node has
// admitted, was read before the job ended. The job is not adopted again, and its user
// is told its end.
func TestResolve(t *testing.T) {
	for _, phase := range []wire.JobPhase{"", wire.JobDone, wire.JobCancelled} {
		t.Run("ended: "+string(phase), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := newFakeStateService(t)
				service.watchesSilent = true
				leader := startLeader(t, service, 7)
				rec := &job.Record{Spec: job.Spec{ID: "run-5", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}}
				service.put(job.ActivePrefix+"run-5", rec)
				lt, responses := leader.currentTerm(), make(chan *rpc.Reply, 1)
				lt.enqueueForUser(func() {
					if phase != "" {
						lt.completions.cacheFinalStatus(&job.Record{Spec: rec.Spec, Phase: phase})
					}
					ps := &pendingSubmission{rec: rec, callbacks: []func(*rpc.Reply){func(response *rpc.Reply) { responses <- response }}}
					lt.admission.pending["run-5"] = ps
					go lt.admission.answerExisting(ps)
				})
				var status wire.JobStatus
				if response := <-responses; response.Status != 200 || wire.Unmarshal(response.Body, &status) != nil || (phase != "" && status.Phase != phase) {
					t.Errorf("answer %d %s", response.Status, status.Phase)
				}
				adopted := make(chan bool, 1)
				lt.enqueueForUser(func() { adopted <- lt.jobTable.get("run-5") != nil })
				if has := <-adopted; has != (phase == "") {
					t.Errorf("looked after: %v", has)
				}
			})
		})
	}
}

// TestLapsed: an answer that has waited for a busy actor until the entitlement has
// lapsed is not given: another member may lead by then, and have told the user
// something newer.
func TestLapsed(t *testing.T) {
	for _, kind := range []rpc.RequestKind{rpc.KindStatus, rpc.KindSubmit, rpc.KindCancel} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader := startLeader(t, newFakeStateService(t), 7)
				if statuses := leader.submit(submissionBody("run-5", nil)); statuses[0] != 201 {
					t.Fatalf("submission: %d", statuses[0])
				}
				busy, responses := make(chan struct{}), make(chan *rpc.Reply, 1)
				leader.currentTerm().enqueueForUser(func() { <-busy })
				go func() { responses <- leader.request(kind, "run-5", submissionBody("run-5", nil)) }()
				time.Sleep(time.Second)
				leader.entitlementLapsed.Store(true)
				close(busy)
				if response := <-responses; response.Status != 503 {
					t.Errorf("answered %d after the lapse", response.Status)
				}
			})
		})
	}
}
