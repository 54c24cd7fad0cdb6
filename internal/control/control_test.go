package control

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/election"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// testStart is when the term of newTestTerm begins.
var testStart = time.Unix(1000, 0)

// newTestTerm makes a term that is not entitled, reaches no state service and runs
// nothing in the background.
func newTestTerm(t testing.TB, teams ...config.Team) *leaderTerm {
	t.Helper()
	set := &config.Settings{Member: "n0"}
	set.Facts.Workers.LeaseS = 10
	set.Facts.Teams = teams
	set.Facts.Zones = []string{"a", "b"}
	nowhere := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	c := New(Deps{
		Settings: set,
		State:    state.New("state:1", nowhere, StateBudget(set, true)),
		Tuning:   config.Defaults(),
		Log:      slog.New(slog.DiscardHandler),
		Entitled: func(uint64) bool { return false },
		Deposed:  func(uint64) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // nothing that is started in the background may run on
	return newLeaderTerm(ctx, c, election.Term{Number: 7, Since: testStart})
}

// addMachine adds a machine.
func (lt *leaderTerm) addMachine(name string) *fleet.Machine { return lt.fleet.Add(name, testStart) }

// updatePriceList takes in a price list.
func (lt *leaderTerm) updatePriceList(types []wire.MachineType) {
	lt.nameIndex.updateTypes(types)
	lt.jobTable.rebindNames()
}

// addArrayJob adds a large addArrayJob job.
func (lt *leaderTerm) addArrayJob(id string) *job.Job {
	spec := job.Spec{ID: id, ShapeName: "array", PriorityName: "idle", Tasks: 100, CPUs: 1}
	return lt.jobTable.add(&job.Record{Spec: spec}, 1, testStart)
}
