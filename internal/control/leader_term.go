package control

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/election"
)

// leaderTerm is the actor of one leader term. It is composed of parts, each of
// which owns the state of one duty. Only the actor's goroutine accesses this state;
// I/O runs in separate goroutines, which enqueue their results. A part calls
// another through its methods and never accesses its fields (TestPartFieldAccess).
type leaderTerm struct {
	*core
	nameIndex         *nameIndex
	jobTable          *jobTable
	admission         *admission
	completions       *completions
	results           *results
	registry          *registry
	machinePool       *machinePool
	takeover          *takeover
	commands          *commands
	planner           *planner
	taskTracker       *taskTracker
	recordWriter      *recordWriter
	admissionGroups   *admissionGroups
	rollouts          *rollouts
	calendarStore     *calendarStore
	reservationHolds  *reservationHolds
	maintenanceDrains *maintenanceDrains
	shards            *shards
	teamQuotas        *teamQuotas
	homeQuotas        *homeQuotas
	progressMonitor   *progressMonitor

	lastScan time.Time // last run of the duties that examine every machine or every job
}

// newLeaderTerm makes the parts of a term and connects them. run starts it.
func newLeaderTerm(ctx context.Context, c *Controller, term election.Term) *leaderTerm {
	facts := &c.Settings.Facts
	co := newCore(ctx, c, term)
	completionLimit := newWriteLimiter(c, completionWriteShare)
	lt := &leaderTerm{
		core:              co,
		nameIndex:         newNameIndex(facts.Zones, facts.Teams),
		jobTable:          newJobTable(co),
		admission:         newAdmission(co, newWriteLimiter(c, admissionWriteShare), facts.State.TxnOps, facts.State.ValueKB, facts.Resources.MaxSockets),
		completions:       newCompletions(co, completionLimit),
		results:           newResults(co),
		registry:          newRegistry(co, facts.State.ValueKB),
		machinePool:       newMachinePool(co),
		takeover:          &takeover{core: co},
		commands:          newCommands(co, facts.Resources.MaxSockets),
		planner:           newPlanner(co),
		taskTracker:       &taskTracker{core: co},
		recordWriter:      &recordWriter{core: co, maxBatch: facts.State.TxnOps},
		admissionGroups:   newAdmissionGroups(co, completionLimit),
		rollouts:          newRollouts(co),
		calendarStore:     newCalendarStore(co),
		reservationHolds:  newReservationHolds(co),
		maintenanceDrains: newMaintenanceDrains(co),
		shards:            newShards(co),
		teamQuotas:        newTeamQuotas(co, term.StoreRolledBack),
		homeQuotas:        newHomeQuotas(co),
		progressMonitor:   newProgressMonitor(co),
	}
	lt.connect()
	lt.calendarStore.reset()
	return lt
}

// newWriteLimiter makes a limiter for a share of the leader's write budget.
func newWriteLimiter(c *Controller, share float64) *rate.Limiter {
	writesPerS := share * StateBudget(c.Settings, true).WriteRPS
	return rate.NewLimiter(rate.Limit(writesPerS), max(2, int(writesPerS)))
}
