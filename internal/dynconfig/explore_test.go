package dynconfig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"vetchstream/internal/explorer"
)

// convergenceRounds is how many fault-free rounds are enough for all shares to come into
// force.
const convergenceRounds = 40

// convergenceFailure plays on without faults until nothing happens any more, and describes a
// share that has not come into force; empty: all have.
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
				s.used = min(s.used, r.Shares[regionNames[i]].Limit.CPUs) // its tasks end
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
		return "the home goes on storing"
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
			return fmt.Sprintf("region %s has %v, not %v", region, share.Limit, want.Shares[region].Limit)
		}
	}
	return ""
}

// TestExplore: the regions together never may use more than the limit, no grant counts
// after a later one, and every share comes into force once the faults are over. With a
// guard disabled the explorer finds why it is there.
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
	settled := slices.Concat(step("change team", 0), round, round, round) // region a has all of the limit
	moved := slices.Concat(settled, step("change team", 1), round, round, round)
	interrupted := slices.Concat(step("change team", 0), round, names.Steps(1, "send request", "receive request", "receive reply", "end term"), step("change team", 1), round, round, round)
	tests := []struct {
		name     string
		disabled guard
		start    []explorer.Step
	}{
		{"as it is", noGuard, nil},
		{"as it is, a has all", noGuard, settled},
		{"as it is, all has moved to b", noGuard, moved},
		{"as it is, a's leader ended while it stored", noGuard, interrupted},
		{"released without an acknowledgement", releaseAcknowledged, slices.Concat(settled, step("change team", 1), step("reconcile", 0))},
		{"what is in use is not held", usageHeld, slices.Concat(settled, step("start task", 0), step("change team", 1), round, round)},
		{"raised before all regions have reported", reportsFirst, settled},
		{"an older request is accepted", newestRequest, settled},
		{"the reply to an abandoned request is accepted", currentReply, settled},
		{"a grant takes effect before it is stored", storedBeforeUse, slices.Concat(settled, step("change team", 1), names.Steps(1, "send request", "receive request", "receive reply", "send request", "receive request", "reconcile"))},
		{"a late transaction of an earlier leader", fencing, interrupted},
		{"a restored store is trusted", confirmation, moved},
		{"a restored store is trusted by the leader after the next", unconfirmedMark, slices.Concat(moved, step("restore store", 0))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := newExplorer(tt.disabled)
			e.Start = tt.start
			seen, broken := e.Explore()
			for seed := uint64(0); broken == "" && seed < rounds; seed++ {
				var n int
				n, broken = e.RandomWalk(rand.New(rand.NewPCG(seed, 0)), walks, steps)
				seen += n
			}
			if (tt.disabled == noGuard) != (broken == "") {
				t.Errorf("%d states and steps, %q", seen, broken)
			} else {
				t.Logf("%d states and steps, %q", seen, broken)
			}
		})
	}
}
