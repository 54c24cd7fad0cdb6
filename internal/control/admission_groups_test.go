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

// groupCase is a case of TestGroups: do runs against a fresh state service.
type groupCase struct {
	name string
	run  func(t *testing.T, service *fakeStateService)
}

// groupCases are the cases of TestGroups.
var groupCases = []groupCase{
	{"a swarm takes few writes, and one job a record of its own", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		if statuses := leader.submit(smallJobs(0, 1)...); statuses[0] != 201 || service.keys("j") != 1 {
			t.Errorf("one job: %v, %d records", statuses, service.keys("j"))
		}
		service.setOutcomes("g")
		if statuses := leader.submit(smallJobs(100, 200)...); count(statuses, 201) != 200 {
			t.Errorf("%d of 200 accepted", count(statuses, 201))
		}
		if txns, _ := service.outcomeCounts(); txns > 30 {
			t.Errorf("%d writes for 200 jobs", txns)
		}
	}},
	{"malformed, impossible and repeated ones are answered each on its own", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		statuses := leader.submit(submissionBody("run-1", nil), submissionBody("run-2", map[string]any{"pieces": -1}), submissionBody("run-3", map[string]any{"cpus": 99.0}),
			submissionBody("run-4", nil), submissionBody("run-4", nil), submissionBody("run-5", map[string]any{"owner": "green"}))
		repeated := slices.Clone(statuses[3:5]) // the two that repeat each other may come one after the other
		statuses = slices.Delete(statuses, 3, 5)
		if want := []int{201, 400, 422, 422}; !slices.Equal(statuses, want) || repeated[0]/100 != 2 || repeated[1]/100 != 2 {
			t.Errorf("answers %v, want %v; to the repeated one %v", statuses, want, repeated)
		}
		if statuses := leader.submit(submissionBody("run-4", nil)); statuses[0] != 200 {
			t.Errorf("once more: %v", statuses)
		}
	}},
	{"an unclear commit in the middle of a group that was applied", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		service.setOutcomes("g", appliedUnanswered)
		leader.submit(smallJobs(0, 100)...)
		time.Sleep(2 * time.Second)
		if statuses := leader.submit(smallJobs(0, 100)...); count(statuses, 200) != 100 || service.jobs() != 100 {
			t.Errorf("after it: %v, %d jobs", statuses, service.jobs())
		}
		if _, remaining := service.outcomeCounts(); remaining > 0 {
			t.Error("no group was stored")
		}
	}},
	{"an unclear commit that is applied after the second try", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		service.setOutcomes("g", appliedLate)
		leader.submit(smallJobs(0, 100)...)
		time.Sleep(5 * time.Second)
		if statuses := leader.submit(smallJobs(0, 100)...); count(statuses, 200) != 100 || service.jobs() != 100 {
			t.Errorf("after it: %v, %d jobs", statuses, service.jobs())
		}
		if _, remaining := service.outcomeCounts(); remaining > 0 {
			t.Error("no group was stored")
		}
	}},
	{"a job alone that was stored and whose answer is lost, while another node reads it", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		service.setOutcomes("j", appliedUnanswered)
		go leader.request(rpc.KindSubmit, "", submissionBody("run-1", nil))
		time.Sleep(50 * time.Millisecond)
		if response := leader.StatusWithoutLeader(context.Background(), "run-1"); response.Status != 200 {
			t.Errorf("another node says %d", response.Status)
		}
		if response := leader.request(rpc.KindStatus, "run-1", nil); response.Status != 200 && response.Status != 503 {
			t.Errorf("the leader says %d", response.Status)
		}
		time.Sleep(2 * time.Second)
		if statuses := leader.submit(submissionBody("run-1", nil)); statuses[0] != 200 || leader.phase("run-1") != wire.JobPending || service.jobs() != 1 {
			t.Errorf("once more: %v, %d jobs", statuses, service.jobs())
		}
	}},
	{"admitted by another node, its answer lost, and asked again at the leader", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		service.setOutcomes("j", appliedUnanswered)
		if response := leader.AdmitWithoutLeader(context.Background(), submissionBody("run-1", nil)); response.Status != 503 {
			t.Errorf("not settled: %d", response.Status)
		}
		for i, submit := range []func() int{func() int {
			return leader.AdmitWithoutLeader(context.Background(), submissionBody("run-1", nil)).Status
		}, func() int { return leader.submit(submissionBody("run-1", nil))[0] }} {
			if status := submit(); status != 200 {
				t.Errorf("try %d: %d", i, status)
			}
		}
		if response := leader.request(rpc.KindCancel, "run-1", nil); response.Status != 200 || leader.phase("run-1") != wire.JobCancelled {
			t.Errorf("cancelled: %d, and it is %s", response.Status, leader.phase("run-1"))
		}
	}},
	{"jobs that another node has admitted do not keep out the others", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		for _, body := range smallJobs(15, 3) {
			if response := leader.AdmitWithoutLeader(context.Background(), body); response.Status != 201 {
				t.Fatalf("admitted: %d", response.Status)
			}
		}
		if statuses := leader.submit(smallJobs(0, 20)...); count(statuses, 201) != 17 || count(statuses, 200) != 3 {
			t.Errorf("answers %v", statuses)
		}
	}},
	{"the same group admitted by two nodes is one job each, done once", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		service.setOutcomes("g", appliedLate) // the leader's comes after the other node's answer
		var wg sync.WaitGroup
		wg.Go(func() { leader.submit(smallJobs(0, 40)...) })
		for _, body := range smallJobs(0, 20) {
			wg.Go(func() { leader.AdmitWithoutLeader(context.Background(), body) })
		}
		wg.Wait()
		time.Sleep(3 * time.Second)
		for _, body := range smallJobs(20, 20) { // as it would be if the group had come between its look and its commit
			_, spec, _ := parseSubmission(body)
			if key := job.ActivePrefix + spec.ID; service.absent(key) {
				service.put(key, &job.Record{Spec: *spec})
			}
		}
		time.Sleep(3 * time.Second)
		for i := range 40 {
			if response := leader.request(rpc.KindCancel, fmt.Sprintf("run-%d", i), nil); response.Status != 200 {
				t.Errorf("cancel: %d", response.Status)
			}
		}
		time.Sleep(time.Minute)
		if service.keys("jg") != 0 || service.keys("f") != 40 {
			t.Errorf("%d records of active jobs and groups, %d final ones", service.keys("jg"), service.keys("f"))
		}
	}},
	{"ends that come together take one write, and an unclear one that was applied is told", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		leader.submit(smallJobs(0, 100)...)
		individual := service.keys("j")
		service.setOutcomes("g", appliedUnanswered)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				if response := leader.request(rpc.KindCancel, fmt.Sprintf("run-%d", i), nil); response.Status != 200 {
					t.Errorf("run-%d: %d", i, response.Status)
				}
			})
		}
		wg.Wait()
		if txns, remaining := service.outcomeCounts(); remaining > 0 || txns-individual > (100-individual)/2 {
			t.Errorf("%d writes for 100 ends, %d of them of jobs alone", txns, individual)
		}
	}},
	{"what another node reads as over the leader does not call active, before it knows", func(t *testing.T, service *fakeStateService) {
		leader := startLeader(t, service, 1)
		leader.submit(smallJobs(0, 30)...)
		for i := range 30 {
			id := fmt.Sprintf("run-%d", i)
			service.setOutcomes("jgf", appliedUnanswered)
			go leader.request(rpc.KindCancel, id, nil)
			time.Sleep(100 * time.Millisecond)
			var status wire.JobStatus
			if response := leader.StatusWithoutLeader(context.Background(), id); wire.Unmarshal(response.Body, &status) != nil || status.Phase != wire.JobCancelled {
				continue // its commit waits for others
			}
			if got := leader.phase(id); got != wire.JobCancelled {
				t.Errorf("%s is %s at the leader", id, got)
			}
			if statuses := leader.submit(submissionBody(id, nil)); statuses[0] != 200 {
				t.Errorf("%s once more: %d", id, statuses[0])
			}
		}
	}},
	{"a state service that takes less at a time", func(t *testing.T, service *fakeStateService) {
		service.maxWrites = 3 // before anybody asks
		leader := startLeader(t, service, 1)
		leader.submit(smallJobs(0, 40)...)
		time.Sleep(5 * time.Second)
		if statuses := leader.submit(smallJobs(0, 40)...); count(statuses, 200) != 40 {
			t.Errorf("answers %v", statuses)
		}
	}},
	{"a node that does not lead finds them with one listing for all who wait", func(t *testing.T, service *fakeStateService) {
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
					t.Errorf("run-%d: %d, want %d", i, response.Status, want)
				}
			})
		}
		wg.Wait()
	}},
}

// TestGroups: submissions that arrive together are stored together, and each has its
// own answer.
func TestGroups(t *testing.T) {
	for _, tt := range groupCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { tt.run(t, newFakeStateService(t)) })
		})
	}
}

// TestCompaction: finished entries move out of their group. A leader that stops at
// any of its transactions, whatever the outcome of that one, leaves every job in one
// place: a job that users were told is over stays over, and the rest stays active.
func TestCompaction(t *testing.T) {
	const jobs, cancelled = 30, 20
	for step := range 9 {
		for _, outcome := range []commitOutcome{applied, appliedUnanswered, appliedLate, neverApplied} {
			t.Run(fmt.Sprintf("ends at step %d, %d", step, outcome), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					service := newFakeStateService(t)
					leader := startLeader(t, service, 1)
					if statuses := leader.submit(smallJobs(0, jobs)...); count(statuses, 201) != jobs {
						t.Fatalf("answers %v", statuses)
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
							t.Errorf("%s is %s, was told to be over: %v", id, got, reportedFinal[i])
						}
						if i < cancelled {
							next.request(rpc.KindCancel, id, nil)
						}
					}
					time.Sleep(time.Minute)
					if final := service.keys("f"); final != cancelled {
						t.Errorf("%d final records, want %d", final, cancelled)
					}
					for i := range cancelled {
						if got := next.phase(fmt.Sprintf("run-%d", i)); got != wire.JobCancelled {
							t.Errorf("run-%d is %s at the end", i, got)
						}
					}
				})
			})
		}
	}
}
