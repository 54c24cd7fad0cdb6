package control

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"vetchstream/internal/config"
	"vetchstream/internal/election"
	"vetchstream/internal/fleet"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// core is what the parts of a term have in common: who leads, since when, the
// actor's inbox, and the ledger of what may be on each machine (package fleet,
// which guards its own state).
type core struct {
	c     *Controller
	ctx   context.Context
	log   *slog.Logger
	debug bool
	term  uint64
	fence state.Cond
	since time.Time
	alive time.Time // when the leader before was last heard of
	inbox chan func()
	// users is the inbox for what users ask and wait for. It comes first: hundreds
	// of reports can be queued where the processor is short.
	users chan func()
	fleet *fleet.Fleet
	dirty bool // something has changed that a plan may use
}

// post hands a result to the actor.
func (co *core) post(f func()) {
	select {
	case co.inbox <- f:
	case <-co.ctx.Done():
	}
}

// ahead hands the actor a result that users wait for.
func (co *core) ahead(f func()) {
	select {
	case co.users <- f:
	case <-co.ctx.Done():
	}
}

func (co *core) pause(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-co.ctx.Done():
	case <-t.C:
	}
}

// settle runs a transaction under the term until its outcome is clear. Only an entitled
// leader writes the key, so a version of it that has moved on is the work of an unclear try
// of this very transaction. The error is state.ErrRejected, or that the term has ended.
func (co *core) settle(key string, was uint64, conds []state.Cond, writes []state.Write) (version uint64, err error) {
	txn := state.Txn{If: append([]state.Cond{co.fence}, conds...), Writes: writes}
	for co.ctx.Err() == nil {
		version, err = co.c.State.Commit(co.ctx, txn)
		if errors.Is(err, state.ErrConflict) {
			if e, gerr := co.c.State.Get(co.ctx, key); gerr == nil && e.Version != was {
				version, err = e.Version, nil
			}
		}
		if err == nil || errors.Is(err, state.ErrRejected) {
			return version, err
		}
		co.pause(settlePause)
	}
	return 0, co.ctx.Err()
}

// settlePause spaces the tries of a transaction whose outcome is not clear.
const settlePause = 200 * time.Millisecond

// reportTime is the workers' interval of reports.
func (co *core) reportTime() time.Duration {
	return config.Seconds(co.c.Settings.Facts.Workers.ReportS)
}

// changed asks for a plan.
func (co *core) changed() { co.dirty = true }

// leaderTerm is the actor: it composes the parts, each of which owns the state of one
// duty. All of it is touched by the actor's goroutine alone; I/O runs in
// goroutines of its own, which post their results. A part reaches another
// through its methods, never its fields (TestParts).
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

	scanAt time.Time
}

func newLeaderTerm(ctx context.Context, c *Controller, l election.Term) *leaderTerm {
	f := &c.Settings.Facts
	co := &core{c: c, ctx: ctx, log: c.Log.With("term", l.Term), debug: c.Log.Enabled(ctx, slog.LevelDebug),
		term: l.Term, since: l.Since, alive: l.Alive, fence: state.Cond{Key: election.KeyTerm, Version: l.TermVersion},
		inbox: make(chan func(), 256), users: make(chan func(), 256), fleet: newFleet(l.Term, c.Settings)}
	budget := StateBudget(c.Settings, true)
	share := func(of float64) *rate.Limiter {
		return rate.NewLimiter(rate.Limit(of*budget.WriteRPS), max(2, int(of*budget.WriteRPS)))
	}
	ends := share(endingShare)
	r := &leaderTerm{core: co, nameIndex: newNameIndex(f.Zones, f.Teams), jobTable: newJobTable(co), admission: newAdmission(co, share(admitShare), f.State.TxnOps, f.State.ValueKB, f.Resources.MaxSockets),
		completions: newCompletions(co, ends), admissionGroups: newAdmissionGroups(co, ends), rollouts: newRollouts(co), calendarStore: newCalendarStore(co), shards: newShards(co), reservationHolds: newReservationHolds(co), maintenanceDrains: newMaintenanceDrains(co), results: newResults(co), registry: newRegistry(co, f.State.ValueKB),
		machinePool: newMachinePool(co), takeover: &takeover{core: co}, commands: &commands{core: co, most: DirectCalls(f.Resources.MaxSockets)},
		teamQuotas: newTeamQuotas(co, l.Restored), homeQuotas: newHomeQuotas(co),
		planner: newPlanner(co), taskTracker: &taskTracker{core: co}, recordWriter: &recordWriter{core: co, batch: f.State.TxnOps}}
	r.wire()
	r.calendarStore.reset()
	return r
}

// newFleet makes the ledger of a term.
func newFleet(term uint64, set *config.Settings) *fleet.Fleet {
	w := &set.Facts.Workers
	return fleet.New(term, config.Seconds(w.LeaseS), config.Seconds(w.CancelS))
}

// wire tells each part whom it may ask.
func (r *leaderTerm) wire() {
	r.jobTable.nameIndex, r.jobTable.registry, r.jobTable.planner, r.jobTable.taskTracker = r.nameIndex, r.registry, r.planner, r.taskTracker
	r.admission.nameIndex, r.admission.jobTable, r.admission.completions, r.admission.recordWriter = r.nameIndex, r.jobTable, r.completions, r.recordWriter
	r.completions.jobTable, r.completions.results, r.completions.taskTracker, r.completions.recordWriter, r.completions.admission = r.jobTable, r.results, r.taskTracker, r.recordWriter, r.admission
	r.results.recordWriter = r.recordWriter
	r.registry.nameIndex, r.registry.jobTable, r.registry.takeover, r.registry.recordWriter = r.nameIndex, r.jobTable, r.takeover, r.recordWriter
	r.machinePool.nameIndex, r.machinePool.jobTable, r.machinePool.registry, r.machinePool.takeover = r.nameIndex, r.jobTable, r.registry, r.takeover
	r.machinePool.planner, r.machinePool.taskTracker, r.machinePool.recordWriter = r.planner, r.taskTracker, r.recordWriter
	r.takeover.nameIndex, r.takeover.jobTable, r.takeover.registry, r.takeover.machinePool = r.nameIndex, r.jobTable, r.registry, r.machinePool
	r.takeover.admission, r.takeover.completions, r.takeover.results = r.admission, r.completions, r.results
	r.commands.taskTracker, r.commands.takeover = r.taskTracker, r.takeover
	r.planner.nameIndex, r.planner.jobTable, r.planner.registry, r.planner.machinePool = r.nameIndex, r.jobTable, r.registry, r.machinePool
	r.planner.takeover, r.planner.taskTracker = r.takeover, r.taskTracker
	r.taskTracker.nameIndex, r.taskTracker.jobTable, r.taskTracker.registry, r.taskTracker.machinePool = r.nameIndex, r.jobTable, r.registry, r.machinePool
	r.taskTracker.completions, r.taskTracker.results = r.completions, r.results
	r.recordWriter.registry = r.registry
	r.shards.nameIndex, r.shards.machinePool, r.shards.takeover, r.shards.taskTracker, r.shards.commands = r.nameIndex, r.machinePool, r.takeover, r.taskTracker, r.commands
	r.commands.shards, r.machinePool.shards, r.takeover.shards = r.shards, r.shards, r.shards
	r.rollouts.nameIndex, r.rollouts.jobTable, r.rollouts.completions, r.rollouts.taskTracker, r.rollouts.takeover = r.nameIndex, r.jobTable, r.completions, r.taskTracker, r.takeover
	r.rollouts.admissionGroups, r.taskTracker.rollouts, r.takeover.rollouts = r.admissionGroups, r.rollouts, r.rollouts
	r.calendarStore.nameIndex, r.calendarStore.jobTable, r.calendarStore.takeover, r.calendarStore.reservationHolds, r.calendarStore.maintenanceDrains = r.nameIndex, r.jobTable, r.takeover, r.reservationHolds, r.maintenanceDrains
	r.reservationHolds.nameIndex, r.reservationHolds.jobTable, r.reservationHolds.calendarStore, r.reservationHolds.maintenanceDrains, r.reservationHolds.machinePool = r.nameIndex, r.jobTable, r.calendarStore, r.maintenanceDrains, r.machinePool
	r.reservationHolds.planner, r.reservationHolds.rollouts = r.planner, r.rollouts
	r.maintenanceDrains.nameIndex, r.maintenanceDrains.jobTable, r.maintenanceDrains.calendarStore, r.maintenanceDrains.reservationHolds, r.maintenanceDrains.taskTracker = r.nameIndex, r.jobTable, r.calendarStore, r.reservationHolds, r.taskTracker
	r.planner.calendarStore, r.planner.reservationHolds, r.planner.maintenanceDrains = r.calendarStore, r.reservationHolds, r.maintenanceDrains
	r.machinePool.reservationHolds, r.machinePool.maintenanceDrains, r.taskTracker.reservationHolds = r.reservationHolds, r.maintenanceDrains, r.reservationHolds
	r.takeover.calendarStore, r.takeover.reservationHolds, r.takeover.maintenanceDrains = r.calendarStore, r.reservationHolds, r.maintenanceDrains
	r.teamQuotas.nameIndex, r.teamQuotas.jobTable, r.teamQuotas.takeover, r.teamQuotas.admission, r.teamQuotas.homeQuotas = r.nameIndex, r.jobTable, r.takeover, r.admission, r.homeQuotas
	r.planner.teamQuotas, r.admission.teamQuotas, r.calendarStore.teamQuotas, r.rollouts.teamQuotas = r.teamQuotas, r.teamQuotas, r.teamQuotas, r.teamQuotas
	r.takeover.teamQuotas, r.takeover.homeQuotas = r.teamQuotas, r.homeQuotas
	r.admissionGroups.recordWriter, r.admissionGroups.results = r.recordWriter, r.results
	r.admission.admissionGroups, r.admission.results, r.completions.admissionGroups, r.jobTable.admissionGroups, r.takeover.admissionGroups = r.admissionGroups, r.results, r.admissionGroups, r.admissionGroups, r.admissionGroups
}

func (r *leaderTerm) run() {
	if !r.takeover.load() {
		return
	}
	tick := time.NewTicker(turnEvery)
	defer tick.Stop()
	soon := time.NewTimer(turnEvery)
	defer soon.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case f := <-r.users:
			f()
		case f := <-r.inbox:
			f()
		case <-tick.C:
		case <-soon.C:
		}
		// Take what else has come, so that a burst costs one plan.
		for range 64 {
			r.serve()
			select {
			case f := <-r.inbox:
				f()
				continue
			default:
			}
			break
		}
		r.turn(time.Now())
		if r.fleet.Waits() {
			soon.Reset(urgentEvery)
		}
	}
}

// turnEvery is how often the actor looks up without a message.
const turnEvery = 100 * time.Millisecond

// serve takes what users ask, and stores what they have submitted.
func (r *leaderTerm) serve() {
	for n := len(r.users); n > 0; n-- {
		f := <-r.users
		f()
	}
	r.admission.flush(time.Now())
}

// maxOrders bounds one answer, well below the limit for bodies.
const maxOrders = 400

// report takes in a worker's check-in and answers it; via is the member that has
// handed it on.
func (r *leaderTerm) report(m *wire.Report, via string, back func(*rpc.Reply)) {
	now := time.Now()
	if r.machinePool.wasReleased(m.Host) {
		// A late message of a machine that is gone must not bring it back.
		back(Later("machine was returned"))
		return
	}
	if h := r.fleet.Hosts[m.Host]; h != nil && h.Stale(m.Session, m.Seq) {
		// A copy, or one that was held back. Orders in its answer would count as sent and
		// arrive nowhere, and a holder would lose the machine as if its worker had strayed.
		// It is refused: a worker that has begun anew and counts from the start would take
		// an answer, and keep a lease that the ledger does not know of.
		back(Later("a newer report was answered"))
		return
	}
	if !r.shards.route(m, func() { r.report(m, via, back) }, back) {
		return
	}
	h := r.fleet.Hosts[m.Host]
	if h == nil {
		h = r.machinePool.adopt(m, now)
	}
	fresh, ok := r.taskTracker.observe(h, m, true, now)
	if !ok {
		back(Later("a later term is known"))
		return
	}
	if !r.machinePool.mayRenewLease(h, now) {
		back(Later("a launch of a cancelled job may be on its way to the machine"))
		return
	}
	r.planner.place(now)
	orders, sent, ev := r.fleet.Compose(h, m.Seq, fresh, now, maxOrders)
	r.takeover.launched(len(sent), now)
	r.taskTracker.handle(ev, now)
	p := reply(http.StatusOK, wire.Answer{Token: r.term, Orders: orders})
	p.Work = h.Busy()
	back(p)
	r.shards.served(h, via, now)
}

// scanEvery spaces the looks at every machine and every job: in a large fleet one
// after each message would take most of the processor.
const scanEvery = 100 * time.Millisecond

// turn is what the actor does after each batch of messages.
func (r *leaderTerm) turn(now time.Time) {
	scan := now.Sub(r.scanAt) >= scanEvery
	if scan {
		r.scanAt = now
		ev, lost := r.fleet.Expire(now)
		if lost > 0 {
			r.log.Info("leases of machines have run out", "machines", lost, "tasks", len(ev))
		}
		r.taskTracker.handle(ev, now)
	}
	if !r.c.Entitled(r.term) {
		r.admission.refuse()
		return
	}
	r.admission.flush(now)
	r.admissionGroups.step(now)
	r.results.flush(now)
	r.results.tidy()
	r.completions.settleFinals()
	r.machinePool.reconcile(now)
	r.planner.place(now)
	r.registry.register(now)
	r.shards.answer(now)
	r.commands.urgent(now)
	r.shards.step(now, scan)
	r.homeQuotas.step(now)
	if !scan {
		return
	}
	r.rollouts.step(now)
	r.calendarStore.step(now)
	r.planner.expireReservations(now)
	r.c.Meter.Set(metrics.Machines, len(r.fleet.Hosts))
	r.c.Meter.Set(metrics.Jobs, len(r.jobTable.all()))
	r.commands.fence(now)
	r.jobTable.sweep()
	r.registry.sweepNotes()
}
