package node

import (
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
)

// onceAtLimit injects overlapping faults as soon as the teams use nearly all of their limits.
func onceAtLimit(teams []string, faults ...fault) []fault {
	return overlapping(fault{14 * time.Second, inSequence(waitUntilAtLimit(teams...), overlapping(faults...)[0].inject)})
}

// TestFaultsAtTeamLimits injects faults while teams use nearly all of their limits.
func TestFaultsAtTeamLimits(t *testing.T) {
	sec := time.Second
	oneLimited := withLongJobs(defaultEnvironment(3, 1, withOutagePromises))
	runScenarios(t, oneLimited, nil, []scenario{
		{"one team at its limit: workers are partitioned, jobs cancelled, the leader crashes", onceAtLimit([]string{"red"},
			fault{0, partitionWorkers(newRand(96), 3, 14*sec)},
			fault{sec, cancelRunningJobs(97, 6, 0, 20*sec)},
			fault{1500 * time.Millisecond, crashControllers(1)},
		)},
	})
	bothLimited := withLongJobs(defaultEnvironment(3, 1, withOutagePromises))
	bothLimited.configure = func(set *config.Settings, tun *config.Tuning) {
		withOutagePromises(set, tun)
		set.Facts.Teams[1].CPUsMax = 14
	}
	bothLimited.editCluster = func(c *emulate.Config) { c.Limits["blue"] = emulate.Resources{CPUs: 14} }
	runScenarios(t, bothLimited, nil, []scenario{
		{"both teams at their limits: jobs are cancelled and their workers hang, the leader crashes", onceAtLimit([]string{"red", "blue"},
			fault{0, cancelRunningJobs(98, 8, 9*sec, 20*sec)},
			fault{300 * time.Millisecond, crashControllers(1)},
		)},
		{"both teams at their limits: workers are partitioned, jobs cancelled, the leader changes twice", onceAtLimit([]string{"red", "blue"},
			fault{0, partitionWorkers(newRand(99), 4, 16*sec)},
			fault{500 * time.Millisecond, cancelRunningJobs(100, 8, 0, 20*sec)},
			fault{time.Second, crashControllers(1)},
			fault{9 * sec, restartController(0, 300*time.Millisecond)},
		)},
	})
}
