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
	do   func(t *testing.T, s *fakeStateService)
}

// groupCases are the cases of TestGroups.
var groupCases = []groupCase{
	{"a swarm takes few writes, and one job a record of its own", func(t *testing.T, s *fakeStateService) {
		st := startLeader(t, s, 1)
		if out := st.submit(smallJobs(0, 1)...); out[0] != 201 || s.keys("j") != 1 {
			t.Errorf("one job: %v, %d records", out, s.keys("j"))
		}
		s.setOutcomes("g")
		if out := st.submit(smallJobs(100, 200)...); count(out, 201) != 200 {
			t.Errorf("%d of 200 accepted", count(out, 201))
		}
		if txns, _ := s.outcomeCounts(); txns > 30 {
			t.Errorf("%d writes for 200 jobs", txns)
		}
	}},
	{"malformed, impossible and repeated ones are answered each on its own", func(t *testing.T, s *fakeStateService) {
		st := startLeader(t, s, 1)
		out := st.submit(submissionBody("run-1", nil), submissionBody("run-2", map[string]any{"pieces": -1}), submissionBody("run-3", map[string]any{"cpus": 99.0}),
			submissionBody("run-4", nil), submissionBody("run-4", nil), submissionBody("run-5", map[string]any{"owner": "green"}))
		again := slices.Clone(out[3:5]) // the two that repeat each other may come one after the other
		out = slices.Delete(out, 3, 5)
		if want := []int{201, 400, 422, 422}; !slices.Equal(out, want) || again[0]/100 != 2 || again[1]/100 != 2 {
			t.Errorf("answers %v, want %v; to the repeated one %v", out, want, again)
		}
		if out := st.submit(submissionBody("run-4", nil)); out[0] != 200 {
			t.Errorf("once more: %v", out)
		}
	}},
	{"an unclear commit in the middle of a group that was applied", func(t *testing.T, s *fakeStateService) {
		st := startLeader(t, s, 1)
		s.setOutcomes("g", appliedUnanswered)
		st.submit(smallJobs(0, 100)...)
		time.Sleep(2 * time.Second)
		if out := st.submit(smallJobs(0, 100)...); count(out, 200) != 100 || s.jobs() != 100 {
			t.Errorf("after it: %v, %d jobs", out, s.jobs())
		}
		if _, left := s.outcomeCounts(); left > 0 {
			t.Error("no group was stored")
		}
	}},
	{"an unclear commit that is applied after the second try", func(t *testing.T, s *fakeStateService) {
		st := startLeader(t, s, 1)
		s.setOutcomes("g", appliedLate)
		st.submit(smallJobs(0, 100)...)
		time.Sleep(5 * time.Second)
		if out := st.submit(smallJobs(0, 100)...); count(out, 200) != 100 || s.jobs() != 100 {
			t.Errorf("after it: %v, %d jobs", out, s.jobs())
		}
		if _, left := s.outcomeCounts(); left > 0 {
			t.Error("no group was stored")
		}
	}},
	{"a job alone that was stored and whose answer is lost, while another node reads it", func(t *testing.T, s *fakeStateService) {
		st := startLeader(t, s, 1)
		s.setOutcomes("j", appliedUnanswered)
		go st.request(rpc.KindSubmit, "", submissionBody("run-1", nil))
		time.Sleep(50 * time.Millisecond)
		if p := st.StatusWithoutLeader(context.Background(), "run-1"); p.Status != 200 {
			t.Errorf("another node says %d", p.Status)
		}
		if p := st.request(rpc.KindStatus, "run-1", nil); p.Status != 200 && p.Status != 503 {
			t.Errorf("the leader says %d", p.Status)
		}
		time.Sleep(2 * time.Second)
		if out := st.submit(submissionBody("run-1", nil)); out[0] != 200 || st.phase("run-1") != wire.JobPending || s.jobs() != 1 {
			t.Errorf("once more: %v, %d jobs", out, s.jobs())
		}
	}},
	{"admitted by another node, its answer lost, and asked again at the leader", func(t *testing.T, s *fakeStateService) {
		st := startLeader(t, s, 1)
		s.setOutcomes("j", appliedUnanswered)
		if p := st.AdmitWithoutLeader(context.Background(), submissionBody("run-1", nil)); p.Status != 503 {
			t.Errorf("not settled: %d", p.Status)
		}
		for i, ask := range []func() int{func() int { return st.AdmitWithoutLeader(context.Background(), submissionBody("run-1", nil)).Status }, func() int { return st.submit(submissionBody("run-1", nil))[0] }} {
			if status := ask(); status != 200 {
				t.Errorf("try %d: %d", i, status)
			}
		}
		if p := st.request(rpc.KindCancel, "run-1", nil); p.Status != 200 || st.phase("run-1") != wire.JobCancelled {
			t.Errorf("cancelled: %d, and it is %s", p.Status, st.phase("run-1"))
		}
	}},
	{"jobs that another node has admitted do not keep out the others", func(t *testing.T, s *fakeStateService) {
		st := startLeader(t, s, 1)
		for _, b := range smallJobs(15, 3) {
			if p := st.AdmitWithoutLeader(context.Background(), b); p.Status != 201 {
				t.Fatalf("admitted: %d", p.Status)
			}
		}
		if out := st.submit(smallJobs(0, 20)...); count(out, 201) != 17 || count(out, 200) != 3 {
			t.Errorf("answers %v", out)
		}
	}},
	{"the same group admitted by two nodes is one job each, done once", func(t *testing.T, s *fakeStateService) {
		st := startLeader(t, s, 1)
		s.setOutcomes("g", appliedLate) // the leader's comes after the other node's answer
		var wg sync.WaitGroup
		wg.Go(func() { st.submit(smallJobs(0, 40)...) })
		for _, b := range smallJobs(0, 20) {
			wg.Go(func() { st.AdmitWithoutLeader(context.Background(), b) })
		}
		wg.Wait()
		time.Sleep(3 * time.Second)
		for _, b := range smallJobs(20, 20) { // as it would be if the group had come between its look and its commit
			_, spec, _ := parseSubmission(b)
			if key := job.ActivePrefix + spec.ID; s.absent(key) {
				s.put(key, &job.Record{Spec: *spec})
			}
		}
		time.Sleep(3 * time.Second)
		for i := range 40 {
			if p := st.request(rpc.KindCancel, fmt.Sprintf("run-%d", i), nil); p.Status != 200 {
				t.Errorf("cancel: %d", p.Status)
			}
		}
		time.Sleep(time.Minute)
		if s.keys("jg") != 0 || s.keys("f") != 40 {
			t.Errorf("%d records of active jobs and groups, %d final ones", s.keys("jg"), s.keys("f"))
		}
	}},
	{"ends that come together take one write, and an unclear one that was applied is told", func(t *testing.T, s *fakeStateService) {
		st := startLeader(t, s, 1)
		st.submit(smallJobs(0, 100)...)
		before := s.keys("j")
		s.setOutcomes("g", appliedUnanswered)
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				if p := st.request(rpc.KindCancel, fmt.Sprintf("run-%d", i), nil); p.Status != 200 {
					t.Errorf("run-%d: %d", i, p.Status)
				}
			})
		}
		wg.Wait()
		if txns, left := s.outcomeCounts(); left > 0 || txns-before > (100-before)/2 {
			t.Errorf("%d writes for 100 ends, %d of them of jobs alone", txns, before)
		}
	}},
	{"what another node reads as over the leader does not call active, before it knows", func(t *testing.T, s *fakeStateService) {
		st := startLeader(t, s, 1)
		st.submit(smallJobs(0, 30)...)
		for i := range 30 {
			id := fmt.Sprintf("run-%d", i)
			s.setOutcomes("jgf", appliedUnanswered)
			go st.request(rpc.KindCancel, id, nil)
			time.Sleep(100 * time.Millisecond)
			var told wire.JobStatus
			if p := st.StatusWithoutLeader(context.Background(), id); wire.Unmarshal(p.Body, &told) != nil || told.Phase != wire.JobCancelled {
				continue // its commit waits for others
			}
			if got := st.phase(id); got != wire.JobCancelled {
				t.Errorf("%s is %s at the leader", id, got)
			}
			if out := st.submit(submissionBody(id, nil)); out[0] != 200 {
				t.Errorf("%s once more: %d", id, out[0])
			}
		}
	}},
	{"a state service that takes less at a time", func(t *testing.T, s *fakeStateService) {
		s.maxWrites = 3 // before anybody asks
		st := startLeader(t, s, 1)
		st.submit(smallJobs(0, 40)...)
		time.Sleep(5 * time.Second)
		if out := st.submit(smallJobs(0, 40)...); count(out, 200) != 40 {
			t.Errorf("answers %v", out)
		}
	}},
	{"a node that does not lead finds them with one listing for all who wait", func(t *testing.T, s *fakeStateService) {
		st := startLeader(t, s, 1)
		st.submit(smallJobs(0, 60)...)
		var wg sync.WaitGroup
		for i := range 61 {
			wg.Go(func() {
				want := 200
				if i == 60 {
					want = 404
				}
				if p := st.StatusWithoutLeader(context.Background(), fmt.Sprintf("run-%d", i)); p.Status != want {
					t.Errorf("run-%d: %d, want %d", i, p.Status, want)
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
			synctest.Test(t, func(t *testing.T) { tt.do(t, newFakeStateService(t)) })
		})
	}
}

// TestCompaction: finished entries move out of their group. A leader that stops at
// any of its transactions, whatever the outcome of that one, leaves every job in one
// place: a job that users were told is over stays over, and the rest stays active.
func TestCompaction(t *testing.T) {
	const jobs, over = 30, 20
	for step := range 9 {
		for _, f := range []commitOutcome{applied, appliedUnanswered, appliedLate, neverApplied} {
			t.Run(fmt.Sprintf("ends at step %d, %d", step, f), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := newFakeStateService(t)
					st := startLeader(t, s, 1)
					if out := st.submit(smallJobs(0, jobs)...); count(out, 201) != jobs {
						t.Fatalf("answers %v", out)
					}
					s.mu.Lock()
					s.outcomes = append(make([]commitOutcome, step), f)
					s.mu.Unlock()
					for i := range over {
						go st.request(rpc.KindCancel, fmt.Sprintf("run-%d", i), nil)
					}
					for range 100 {
						time.Sleep(20 * time.Millisecond)
						s.mu.Lock()
						n := len(s.outcomes)
						s.mu.Unlock()
						if n == 0 {
							break
						}
					}
					told := map[int]bool{}
					for i := range over {
						told[i] = st.phase(fmt.Sprintf("run-%d", i)) == wire.JobCancelled
					}
					st.stop()
					next := startLeader(t, s, 2)
					time.Sleep(2 * time.Second)
					for i := range jobs {
						id := fmt.Sprintf("run-%d", i)
						got := next.phase(id)
						if told[i] && got != wire.JobCancelled || i >= over && got != wire.JobPending || got == "404" {
							t.Errorf("%s is %s, was told to be over: %v", id, got, told[i])
						}
						if i < over {
							next.request(rpc.KindCancel, id, nil)
						}
					}
					time.Sleep(time.Minute)
					if n := s.keys("f"); n != over {
						t.Errorf("%d final records, want %d", n, over)
					}
					for i := range over {
						if got := next.phase(fmt.Sprintf("run-%d", i)); got != wire.JobCancelled {
							t.Errorf("run-%d is %s at the end", i, got)
						}
					}
				})
			})
		}
	}
}
