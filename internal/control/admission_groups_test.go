package control

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

// groupCase is a case of TestGroupedSubmissions; run gets a new key-value store.
type groupCase struct {
	name string
	run  func(t *testing.T, service *fakeStateService)
}

// groupCases are the cases of TestGroupedSubmissions.
var groupCases = []groupCase{
	{"a burst of 200 submissions takes at most 30 transactions, a single submission gets its own record", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		if statuses := leader.submit(smallJobs(0, 1)...); statuses[0] != 201 || service.keys("j") != 1 {
			t.Errorf("single submission: statuses %v and %d individual records, want [201] and 1", statuses, service.keys("j"))
		}
		service.setOutcomes("g")
		if statuses := leader.submit(smallJobs(100, 200)...); count(statuses, 201) != 200 {
			t.Errorf("%d of 200 submissions accepted", count(statuses, 201))
		}
		if txns, _ := service.outcomeCounts(); txns > 30 {
			t.Errorf("%d transactions for 200 jobs, want at most 30", txns)
		}
	}},
	{"valid, invalid, infeasible and repeated submissions sent together get individual statuses", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		statuses := leader.submit(submissionBody("run-1", nil), submissionBody("run-2", map[string]any{"pieces": -1}), submissionBody("run-3", map[string]any{"cpus": 99.0}),
			submissionBody("run-4", nil), submissionBody("run-4", nil), submissionBody("run-5", map[string]any{"owner": "green"}))
		repeated := slices.Clone(statuses[3:5]) // 200 or 201: one of the two may be answered after the other is stored
		statuses = slices.Delete(statuses, 3, 5)
		if want := []int{201, 400, 422, 422}; !slices.Equal(statuses, want) || repeated[0]/100 != 2 || repeated[1]/100 != 2 {
			t.Errorf("statuses %v, want %v; statuses of the repeated submission %v, want 2xx", statuses, want, repeated)
		}
		if statuses := leader.submit(submissionBody("run-4", nil)); statuses[0] != 200 {
			t.Errorf("resubmission of an accepted job: statuses %v, want [200]", statuses)
		}
	}},
	{"a group commit that is applied but unanswered stores each job once", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		service.setOutcomes("g", appliedUnanswered)
		leader.submit(smallJobs(0, 100)...)
		time.Sleep(2 * time.Second)
		if statuses := leader.submit(smallJobs(0, 100)...); count(statuses, 200) != 100 || service.jobs() != 100 {
			t.Errorf("resubmission: statuses %v and %d stored jobs, want 100 times 200 and 100 jobs", statuses, service.jobs())
		}
		if _, remaining := service.outcomeCounts(); remaining > 0 {
			t.Error("no group commit reached the store")
		}
	}},
	{"a group commit that is applied after its retry stores each job once", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		service.setOutcomes("g", appliedLate)
		leader.submit(smallJobs(0, 100)...)
		time.Sleep(5 * time.Second)
		if statuses := leader.submit(smallJobs(0, 100)...); count(statuses, 200) != 100 || service.jobs() != 100 {
			t.Errorf("resubmission: statuses %v and %d stored jobs, want 100 times 200 and 100 jobs", statuses, service.jobs())
		}
		if _, remaining := service.outcomeCounts(); remaining > 0 {
			t.Error("no group commit reached the store")
		}
	}},
	{"a single submission that is stored but unanswered is visible at followers and stored once", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		service.setOutcomes("j", appliedUnanswered)
		go leader.request(rpc.KindSubmit, "", submissionBody("run-1", nil))
		time.Sleep(50 * time.Millisecond)
		if response := leader.StatusWithoutLeader(context.Background(), "run-1"); response.Status != 200 {
			t.Errorf("status request without the leader: status %d, want 200", response.Status)
		}
		if response := leader.request(rpc.KindStatus, "run-1", nil); response.Status != 200 && response.Status != 503 {
			t.Errorf("status request at the leader: status %d, want 200 or 503", response.Status)
		}
		time.Sleep(2 * time.Second)
		if statuses := leader.submit(submissionBody("run-1", nil)); statuses[0] != 200 || leader.phase("run-1") != wire.JobPending || service.jobs() != 1 {
			t.Errorf("resubmission: statuses %v and %d stored jobs, want [200] and 1, with the job pending", statuses, service.jobs())
		}
	}},
	{"a job that a follower stores without an answer is found when it is resubmitted and cancelled", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		service.setOutcomes("j", appliedUnanswered)
		if response := leader.AdmitWithoutLeader(context.Background(), submissionBody("run-1", nil)); response.Status != 503 {
			t.Errorf("admission with unknown outcome: status %d, want 503", response.Status)
		}
		for i, submit := range []func() int{func() int {
			return leader.AdmitWithoutLeader(context.Background(), submissionBody("run-1", nil)).Status
		}, func() int { return leader.submit(submissionBody("run-1", nil))[0] }} {
			if status := submit(); status != 200 {
				t.Errorf("resubmission %d: status %d, want 200", i, status)
			}
		}
		if response := leader.request(rpc.KindCancel, "run-1", nil); response.Status != 200 || leader.phase("run-1") != wire.JobCancelled {
			t.Errorf("cancellation: status %d, want 200; phase %s afterwards, want cancelled", response.Status, leader.phase("run-1"))
		}
	}},
	{"jobs already admitted by a follower do not prevent the admission of the other jobs of a batch", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		for _, body := range smallJobs(15, 3) {
			if response := leader.AdmitWithoutLeader(context.Background(), body); response.Status != 201 {
				t.Fatalf("admission without the leader: status %d, want 201", response.Status)
			}
		}
		if statuses := leader.submit(smallJobs(0, 20)...); count(statuses, 201) != 17 || count(statuses, 200) != 3 {
			t.Errorf("statuses %v, want 17 times 201 and 3 times 200", statuses)
		}
	}},
	{"jobs admitted by the leader and a follower at the same time finish once each", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		service.setOutcomes("g", appliedLate) // the group commit is applied after the follower's response
		var wg sync.WaitGroup
		wg.Go(func() { leader.submit(smallJobs(0, 40)...) })
		for _, body := range smallJobs(0, 20) {
			wg.Go(func() { leader.AdmitWithoutLeader(context.Background(), body) })
		}
		wg.Wait()
		time.Sleep(3 * time.Second)
		for _, body := range smallJobs(20, 20) { // as if the group had been stored between the follower's reads and its commit
			_, spec, _ := parseSubmission(body)
			if key := job.ActivePrefix + spec.ID; service.absent(key) {
				service.put(key, &job.Record{Spec: *spec})
			}
		}
		time.Sleep(3 * time.Second)
		for i := range 40 {
			if response := leader.request(rpc.KindCancel, fmt.Sprintf("run-%d", i), nil); response.Status != 200 {
				t.Errorf("cancellation: status %d, want 200", response.Status)
			}
		}
		time.Sleep(time.Minute)
		if service.keys("jg") != 0 || service.keys("f") != 40 {
			t.Errorf("%d active and group records and %d final records, want 0 and 40", service.keys("jg"), service.keys("f"))
		}
	}},
	{"cancellations of a group are stored together and answered although their commit is unanswered", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		leader.submit(smallJobs(0, 100)...)
		individual := service.keys("j")
		service.setOutcomes("g", appliedUnanswered)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				if response := leader.request(rpc.KindCancel, fmt.Sprintf("run-%d", i), nil); response.Status != 200 {
					t.Errorf("cancellation of run-%d: status %d, want 200", i, response.Status)
				}
			})
		}
		wg.Wait()
		if txns, remaining := service.outcomeCounts(); remaining > 0 || txns-individual > (100-individual)/2 {
			t.Errorf("%d transactions for 100 cancellations, %d of them of jobs with individual records, or the unanswered commit did not occur", txns, individual)
		}
	}},
	{"the leader does not report a job as active once a follower can read its cancellation", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		leader.submit(smallJobs(0, 30)...)
		for i := range 30 {
			id := fmt.Sprintf("run-%d", i)
			service.setOutcomes("jgf", appliedUnanswered)
			go leader.request(rpc.KindCancel, id, nil)
			time.Sleep(100 * time.Millisecond)
			var reported wire.JobStatus
			if response := leader.StatusWithoutLeader(context.Background(), id); wire.Unmarshal(response.Body, &reported) != nil || reported.Phase != wire.JobCancelled {
				continue // the cancellation is not committed yet
			}
			if got := leader.phase(id); got != wire.JobCancelled {
				t.Errorf("%s: phase %s at the leader, want cancelled", id, got)
			}
			if statuses := leader.submit(submissionBody(id, nil)); statuses[0] != 200 {
				t.Errorf("resubmission of %s: status %d, want 200", id, statuses[0])
			}
		}
	}},
	{"groups are stored in smaller transactions if the key-value store accepts only three writes", func(t *testing.T, service *fakeStateService) {
		service.maxWrites = 3 // before the first request
		leader := startLeader(t, service, 1)
		leader.submit(smallJobs(0, 40)...)
		time.Sleep(5 * time.Second)
		if statuses := leader.submit(smallJobs(0, 40)...); count(statuses, 200) != 40 {
			t.Errorf("resubmission: statuses %v, want 40 times 200", statuses)
		}
	}},
	{"concurrent status requests at a follower find the jobs of groups and no others", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		leader.submit(smallJobs(0, 60)...)
		var wg sync.WaitGroup
		for i := range 61 {
			wg.Go(func() {
				want := 200
				if i == 60 {
					want = 404
				}
				if response := leader.StatusWithoutLeader(context.Background(), fmt.Sprintf("run-%d", i)); response.Status != want {
					t.Errorf("status request for run-%d: status %d, want %d", i, response.Status, want)
				}
			})
		}
		wg.Wait()
	}},
}

// TestGroupedSubmissions checks that submissions which arrive together are stored in
// shared transactions, and that each gets its own response.
func TestGroupedSubmissions(t *testing.T) {
	for _, tt := range groupCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { tt.run(t, newFakeStateService(t)) })
		})
	}
}

// TestGroupCompactionAfterLeaderStop checks that finished entries move out of their
// group, even if the leader stops at any of the transactions involved, with any outcome
// of that transaction. Each job must then be stored in exactly one place: a job that was
// reported as cancelled stays cancelled, and the others stay active.
func TestGroupCompactionAfterLeaderStop(t *testing.T) {
	const jobs, cancelled = 30, 20
	for step := range 9 {
		for _, outcome := range []commitOutcome{applied, appliedUnanswered, appliedLate, neverApplied} {
			t.Run(fmt.Sprintf("leader stops at transaction %d, commit outcome %d", step, outcome), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					service := newFakeStateService(t)
					leader := startLeader(t, service, 1)
					if statuses := leader.submit(smallJobs(0, jobs)...); count(statuses, 201) != jobs {
						t.Fatalf("submission: statuses %v, want 201 for each job", statuses)
					}
					service.mu.Lock()
					service.outcomes = append(make([]commitOutcome, step), outcome)
					service.mu.Unlock()
					for i := range cancelled {
						go leader.request(rpc.KindCancel, fmt.Sprintf("run-%d", i), nil)
					}
					for range 100 {
						time.Sleep(20 * time.Millisecond)
						service.mu.Lock()
						remaining := len(service.outcomes)
						service.mu.Unlock()
						if remaining == 0 {
							break
						}
					}
					reportedFinal := map[int]bool{}
					for i := range cancelled {
						reportedFinal[i] = leader.phase(fmt.Sprintf("run-%d", i)) == wire.JobCancelled
					}
					leader.stop()
					next := startLeader(t, service, 2)
					time.Sleep(2 * time.Second)
					for i := range jobs {
						id := fmt.Sprintf("run-%d", i)
						got := next.phase(id)
						if reportedFinal[i] && got != wire.JobCancelled || i >= cancelled && got != wire.JobPending || got == "404" {
							t.Errorf("%s: phase %s under the next leader; reported as cancelled by the first leader: %v", id, got, reportedFinal[i])
						}
						if i < cancelled {
							next.request(rpc.KindCancel, id, nil)
						}
					}
					time.Sleep(time.Minute)
					if final := service.keys("f"); final != cancelled {
						t.Errorf("%d final records after compaction, want %d", final, cancelled)
					}
					for i := range cancelled {
						if got := next.phase(fmt.Sprintf("run-%d", i)); got != wire.JobCancelled {
							t.Errorf("run-%d: phase %s after compaction, want cancelled", i, got)
						}
					}
				})
			})
		}
	}
}
