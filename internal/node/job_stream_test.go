package node

import (
	"testing"
	"time"

	"vetchstream/internal/job"
)

// checkNoJobRecordsLeft checks that no job record remains under the key prefixes that a new leader
// loads.
func checkNoJobRecordsLeft(s *simulation) {
	for _, prefix := range []string{job.ActivePrefix, job.GroupPrefix, job.DonePrefix} {
		if n := s.store.CountKeys(prefix); n > 0 {
			s.t.Errorf("%d keys remain under prefix %s, want 0", n, prefix)
		}
	}
}

// TestJobStream submits four one-task jobs per second for two minutes and cancels a quarter of
// them, while the leader changes, the key-value store is unavailable and transactions are late.
func TestJobStream(t *testing.T) {
	sec := time.Second
	const name = "jobs for two minutes: no record remains"
	runScenarios(t, defaultEnvironment(3, 1, withOutagePromises), finalChecks{name: checkNoJobRecordsLeft}, []scenario{
		{name, overlapping(
			fault{5 * sec, jobStream(2 * time.Minute)},
			fault{20 * sec, crashControllers(1)},
			fault{45 * sec, storeOutage(8 * sec)},
			fault{70 * sec, lateTransactions(102, 0.15, 30*sec)},
		)},
	})
}
