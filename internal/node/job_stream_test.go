package node

import (
	"testing"
	"time"

	"vetchstream/internal/job"
)

// checkNoJobRecordsLeft checks that no record of a job is left under the keys that a leader loads.
func checkNoJobRecordsLeft(s *simulation) {
	for _, prefix := range []string{job.ActivePrefix, job.GroupPrefix, job.DonePrefix} {
		if n := s.store.CountKeys(prefix); n > 0 {
			s.t.Errorf("%d keys are left under %s", n, prefix)
		}
	}
}

// TestJobStream: one-task jobs, four a second for minutes, a quarter of them cancelled, through
// a change of leader, an outage and late transactions.
func TestJobStream(t *testing.T) {
	sec := time.Second
	const name = "two minutes"
	runScenarios(t, defaultEnvironment(3, 1, withOutagePromises), finalChecks{name: checkNoJobRecordsLeft}, []scenario{
		{name, overlapping(
			fault{5 * sec, jobStream(2 * time.Minute)},
			fault{20 * sec, crashControllers(1)},
			fault{45 * sec, storeOutage(8 * sec)},
			fault{70 * sec, lateTransactions(102, 0.15, 30*sec)},
		)},
	})
}
