package dynconfig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"vetchstream/internal/explorer"
)

// convergenceRounds is the number of rounds without faults after which all shares have to be in
// force.
const convergenceRounds = 40

// convergenceFailure runs convergenceRounds rounds without faults, and describes a share that is
// not in force afterwards. The result is empty if all are.
func convergenceFailure(w *world) string {
	if w.changesMade == 0 {
		return ""
	}
	for range convergenceRounds {
		for i := range w.regions {
			s := &w.regions[i]
			if r := w.home.teams[testTeam]; r != nil && r.Removed {
				s.used = 0
			} else if r != nil {
				s.used = min(s.used, r.Shares[regionNames[i]].Limit.CPUs) // tasks beyond the region's part end
			}
			if s.request != nil {
				s.request = nil
				s.reply = nil
			}
			if s.storing == nil {
				q := s.replica.Request(s.usage())
				s.storing = s.replica.HandleReply(q, w.homeReply(q))
			}
			s.store(s.storing)
			s.applyStored(s.storing)
			s.storing = nil
		}
		if u := w.home.Step(stepTeams); !u.Empty() {
			w.storeHome(u)
		}
	}
	if u := w.home.Step(stepTeams); !u.Empty() {
		return "the home region still stores updates after the rounds without faults"
	}
	want := w.home.teams[testTeam]
	if want == nil {
		return ""
	}
	for i, region := range regionNames {
		s := &w.regions[i]
		share, _ := s.replica.Share(testTeam, s.usage())
		removed := want.Removed && share.Limit != Amount{}
		if share.Limit != w.home.currentShare(want, region).Limit || removed {
			return fmt.Sprintf("region %s has the limit %v, want %v", region, share.Limit, want.Shares[region].Limit)
		}
	}
	return ""
}

// TestExplore: the regions together may never use more than the limit, no grant replaces a later
// one, and every share comes into force once there are no more faults. If a guard is disabled,
// the explorer has to find a violation.
func TestExplore(t *testing.T) {
	const states, walks, steps, rounds = 300, 1500, 40, 3
	newExplorer := func(disabled guard) *explorer.Explorer[*world] {
		return &explorer.Explorer[*world]{
			New:            func() *world { return newWorld(disabled) },
			Actions:        worldActions(),
			MaxStates:      states,
			SettleInterval: 50,
			Settle:         convergenceFailure,
		}
	}
	names := newExplorer(noGuard)
	step := func(name string, i int) []explorer.Step { return names.Steps(i+1, name)[i:] }
	round := append(names.Steps(2, "send request", "receive request", "receive reply", "store grants"), names.Steps(1, "reconcile")...)
	settled := slices.Concat(step("change team", 0), round, round, round) // region a has the whole limit
	moved := slices.Concat(settled, step("change team", 1), round, round, round)
	interrupted := slices.Concat(step("change team", 0), round, names.Steps(1, "send request", "receive request", "receive reply", "end term"), step("change team", 1), round, round, round)
	tests := []struct {
		name     string
		disabled guard
		start    []explorer.Step
	}{
		{"all guards, no configuration: no violation", noGuard, nil},
		{"all guards, region a has the whole limit: no violation", noGuard, settled},
		{"all guards, the limit has moved from region a to b: no violation", noGuard, moved},
		{"all guards, the term of region a's leader ended while it stored grants: no violation", noGuard, interrupted},
		{"amount released before the region reports the release: violation", releaseAcknowledged, slices.Concat(settled, step("change team", 1), step("reconcile", 0))},
		{"amount in use not held for the region: violation", usageHeld, slices.Concat(settled, step("start task", 0), step("change team", 1), round, round)},
		{"grant raised before all regions have reported: violation", reportsFirst, settled},
		{"request older than the region's last one accepted: violation", newestRequest, settled},
		{"reply to an abandoned request accepted: violation", currentReply, settled},
		{"grant takes effect before it is stored: violation", storedBeforeUse, slices.Concat(settled, step("change team", 1), names.Steps(1, "send request", "receive request", "receive reply", "send request", "receive request", "reconcile"))},
		{"delayed transaction of an earlier leader succeeds: violation", fencing, interrupted},
		{"limits of a restored store used without confirmation: violation", confirmation, moved},
		{"mark for confirmation not stored for the next leader: violation", unconfirmedMark, slices.Concat(moved, step("restore store", 0))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := newExplorer(tt.disabled)
			e.Start = tt.start
			explored, violation := e.Explore()
			for seed := uint64(0); violation == "" && seed < rounds; seed++ {
				var n int
				n, violation = e.RandomWalk(rand.New(rand.NewPCG(seed, 0)), walks, steps)
				explored += n
			}
			if (tt.disabled == noGuard) != (violation == "") {
				t.Errorf("%d states and steps explored, violation %q (empty: none)", explored, violation)
			} else {
				t.Logf("%d states and steps explored, violation %q (empty: none)", explored, violation)
			}
		})
	}
}
