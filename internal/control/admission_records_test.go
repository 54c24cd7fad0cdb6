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

// TestAdoptionAfterLostWatchEvent checks that the periodic listing adopts a job that
// another node has admitted if its watch event is lost.
func TestAdoptionAfterLostWatchEvent(t *testing.T) {
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
			t.Error("the job was adopted before the listing, although the watch reported no event")
		}
		time.Sleep(relistInterval)
		if !adopted() {
			t.Error("the job was not adopted by the listing")
		}
	})
}

// TestUndecodableRecord checks that a job record that cannot be decoded affects only its
// own job.
func TestUndecodableRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service := newFakeStateService(t)
		service.put(job.ActivePrefix+"run-4", "no record")
		service.put(job.DonePrefix+"run-4/0", job.Chunk{})
		service.put(job.ActivePrefix+"run-5", &job.Record{Spec: job.Spec{ID: "run-5", Team: "red", ShapeName: "array", PriorityName: "idle", Tasks: 1, CPUs: 1}})
		leader := startLeader(t, service, 7)
		if response := leader.request(rpc.KindStatus, "run-5", nil); response.Status != 200 {
			t.Errorf("status request for another job: status %d, want 200", response.Status)
		}
		if response := leader.request(rpc.KindStatus, "run-4", nil); response.Status != 503 {
			t.Errorf("status request for the job of the undecodable record: status %d, want 503", response.Status)
		}
		if response := leader.request(rpc.KindSubmit, "run-6", submissionBody("run-6", nil)); response.Status/100 != 2 {
			t.Errorf("submission of a new job: status %d, want 2xx", response.Status)
		}
		time.Sleep(2 * relistInterval)
		if service.absent(job.ActivePrefix+"run-4") || service.absent(job.DonePrefix+"run-4/0") {
			t.Error("the undecodable record or the result of the job was deleted")
		}
		// Its task is stopped on the first machine, and on another one that reports it later.
		for _, host := range []string{"host-1", "host-2"} {
			if !leader.stops(host, "run-4/0") {
				t.Errorf("the job's task on %s is not stopped", host)
			}
		}
	})
}

// TestUndecodableGroupRecord checks that a group record that cannot be decoded delays
// neither the load nor the jobs of other records. Requests for a job that the group may
// contain are refused: it is neither reported as absent nor accepted as new.
func TestUndecodableGroupRecord(t *testing.T) {
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
				t.Errorf("%s request for %s: status %d, want %d", tt.kind, tt.id, response.Status, tt.want)
			}
			if response := leader.StatusWithoutLeader(context.Background(), tt.id); tt.kind == rpc.KindStatus && response.Status != tt.want {
				t.Errorf("status request for %s without the leader: status %d, want %d", tt.id, response.Status, tt.want)
			}
		}
		if response := leader.AdmitWithoutLeader(context.Background(), submissionBody("run-4", nil)); response.Status != 503 {
			t.Errorf("admission without the leader of a job that the group may contain: status %d, want 503", response.Status)
		}
		time.Sleep(2 * relistInterval)
		if service.absent(job.GroupPrefix+"6-1") || service.absent(job.DonePrefix+"run-4/0") {
			t.Error("the undecodable group record or the result of a job was deleted")
		}
		if !leader.stops("host-1", "run-4/0") {
			t.Error("the task of a job that the group may contain is not stopped")
		}
	})
}

// TestTaskOfUnknownJobIsStopped: while the key-value store is unavailable, a machine
// reports a task of a job that is not in the leader's memory. The job is finished and was
// not loaded or no longer cached, or it has no record. The task must be stopped
// nevertheless: the user may have been told that the job is cancelled, and each heartbeat
// answer renews the machine's lease.
func TestTaskOfUnknownJobIsStopped(t *testing.T) {
	tests := []struct {
		name  string
		phase wire.JobPhase // of the stored record; empty if there is none
	}{
		{"stored record is cancelled", wire.JobCancelled},
		{"stored record is done", wire.JobDone},
		{"no record is stored", ""},
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
					t.Error("the task is not stopped, although heartbeat answers renew the machine's lease")
				}
			})
		})
	}
}

// TestAnswerExistingWithOutdatedRecord: the record that answers the submission of a job
// admitted by another node was read before the job finished. The finished job must not be
// adopted again, and the response must contain its final phase.
func TestAnswerExistingWithOutdatedRecord(t *testing.T) {
	for _, phase := range []wire.JobPhase{"", wire.JobDone, wire.JobCancelled} {
		t.Run("final phase after the read: "+string(phase), func(t *testing.T) {
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
				var reported wire.JobStatus
				if response := <-responses; response.Status != 200 || wire.Unmarshal(response.Body, &reported) != nil || (phase != "" && reported.Phase != phase) {
					t.Errorf("response: status %d and phase %s, want 200 and the final phase, if any", response.Status, reported.Phase)
				}
				adopted := make(chan bool, 1)
				lt.enqueueForUser(func() { adopted <- lt.jobTable.get("run-5") != nil })
				if has := <-adopted; has != (phase == "") {
					t.Errorf("job adopted: %v, want true only without a final phase", has)
				}
			})
		})
	}
}

// TestNoResponseAfterEntitlementLapse checks that a response is withheld if it waited for
// a busy actor until the leader's entitlement lapsed. Another controller may lead by then
// and may already have given the user a newer response.
func TestNoResponseAfterEntitlementLapse(t *testing.T) {
	for _, kind := range []rpc.RequestKind{rpc.KindStatus, rpc.KindSubmit, rpc.KindCancel} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leader := startLeader(t, newFakeStateService(t), 7)
				if statuses := leader.submit(submissionBody("run-5", nil)); statuses[0] != 201 {
					t.Fatalf("submission: status %d, want 201", statuses[0])
				}
				busy, responses := make(chan struct{}), make(chan *rpc.Reply, 1)
				leader.currentTerm().enqueueForUser(func() { <-busy })
				go func() { responses <- leader.request(kind, "run-5", submissionBody("run-5", nil)) }()
				time.Sleep(time.Second)
				leader.entitlementLapsed.Store(true)
				close(busy)
				if response := <-responses; response.Status != 503 {
					t.Errorf("response after the entitlement lapsed: status %d, want 503", response.Status)
				}
			})
		})
	}
}
