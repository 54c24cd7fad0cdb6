package node

import (
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
)

// onceAtLimit injects overlapping faults once teams use nearly all of their limits.
func onceAtLimit(teams []string, faults ...fault) []fault {
	return overlapping(fault{14 * time.Second, inSequence(waitUntilAtLimit(teams...), overlapping(faults...)[0].inject)})
}

// TestFaultsAtTeamLimits: faults while teams are at their limits.
func TestFaultsAtTeamLimits(t *testing.T) {
	sec := time.Second
	one := withLongJobs(defaultEnvironment(3, 1, withOutagePromises))
	runScenarios(t, one, nil, []scenario{
		{"a team at its limit, machines cut, called off, the leader changes", onceAtLimit([]string{"red"},
			fault{0, partitionWorkers(newRand(96), 3, 14*sec)},
			fault{sec, cancelRunningJobs(97, 6, 0, 20*sec)},
			fault{1500 * time.Millisecond, crashControllers(1)},
		)},
	})
	both := withLongJobs(defaultEnvironment(3, 1, withOutagePromises))
	both.configure = func(set *config.Settings, tun *config.Tuning) {
		withOutagePromises(set, tun)
		set.Facts.Teams[1].CPUsMax = 14
	}
	both.editCluster = func(c *emulate.Config) { c.Limits["blue"] = emulate.Limit{CPUs: 14} }
	runScenarios(t, both, nil, []scenario{
		{"all at their limits, machines hang, called off, the leader changes", onceAtLimit([]string{"red", "blue"},
			fault{0, cancelRunningJobs(98, 8, 9*sec, 20*sec)},
			fault{300 * time.Millisecond, crashControllers(1)},
		)},
		{"all at their limits, machines cut, called off, the leader changes twice", onceAtLimit([]string{"red", "blue"},
			fault{0, partitionWorkers(newRand(99), 4, 16*sec)},
			fault{500 * time.Millisecond, cancelRunningJobs(100, 8, 0, 20*sec)},
			fault{time.Second, crashControllers(1)},
			fault{9 * sec, restartController(0, 300*time.Millisecond)},
		)},
	})
}
