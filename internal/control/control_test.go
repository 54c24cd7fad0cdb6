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

// testStart is the start of the term that newTestTerm creates.
var testStart = time.Unix(1000, 0)

// newTestTerm creates a term that is not entitled to lead, cannot reach a key-value store
// and runs nothing in the background.
func newTestTerm(t testing.TB, teams ...config.Team) *leaderTerm {
	t.Helper()
	settings := &config.Settings{Member: "n0"}
	settings.Facts.Workers.LeaseS = 10
	settings.Facts.Teams = teams
	settings.Facts.Zones = []string{"a", "b"}
	dial := func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed }
	controller := New(Deps{
		Settings: settings,
		State:    state.New("state:1", dial, StateBudget(settings, true)),
		Tuning:   config.Defaults(),
		Log:      slog.New(slog.DiscardHandler),
		Entitled: func(uint64) bool { return false },
		Deposed:  func(uint64) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // stops any background goroutine at once
	return newLeaderTerm(ctx, controller, election.Term{Number: 7 * wire.TokensPerTerm, Since: testStart})
}

// addMachine adds a machine to the fleet.
func (lt *leaderTerm) addMachine(name string) *fleet.Machine { return lt.fleet.Add(name, testStart) }

// updatePriceList applies a price list.
func (lt *leaderTerm) updatePriceList(types []wire.MachineType) {
	lt.nameIndex.updateTypes(types)
	lt.jobTable.rebindNames()
}

// addArrayJob adds an array job of 100 tasks.
func (lt *leaderTerm) addArrayJob(id string) *job.Job {
	spec := job.Spec{ID: id, ShapeName: "array", PriorityName: "idle", Tasks: 100, CPUs: 1}
	return lt.jobTable.add(&job.Record{Spec: spec}, 1, testStart)
}
