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
	names         *names
	jobTable      *jobTable
	admission     *admission
	endings       *endings
	results       *results
	registry      *registry
	machines      *machines
	takeover      *takeover
	commands      *commands
	planner       *planner
	work          *work
	writer        *writer
	groups        *groups
	rollouts      *rollouts
	calendarStore *calendarStore
	holds         *holds
	drains        *drains
	shares        *shares
	teams         *teams
	homeTeams     *homeTeams

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
	r := &leaderTerm{core: co, names: newNames(f.Zones, f.Teams), jobTable: newJobTable(co), admission: newAdmission(co, share(admitShare), f.State.TxnOps, f.State.ValueKB, f.Resources.MaxSockets),
		endings: newEndings(co, ends), groups: newGroups(co, ends), rollouts: newRollouts(co), calendarStore: newCalendarStore(co), shares: newShares(co), holds: newHolds(co), drains: newDrains(co), results: newResults(co), registry: newRegistry(co, f.State.ValueKB),
		machines: newMachines(co), takeover: &takeover{core: co}, commands: &commands{core: co, most: DirectCalls(f.Resources.MaxSockets)},
		teams: newTeams(co, l.Restored), homeTeams: newHomeTeams(co),
		planner: newPlanner(co), work: &work{core: co}, writer: &writer{core: co, batch: f.State.TxnOps}}
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
	r.jobTable.names, r.jobTable.registry, r.jobTable.planner, r.jobTable.work = r.names, r.registry, r.planner, r.work
	r.admission.names, r.admission.jobTable, r.admission.endings, r.admission.writer = r.names, r.jobTable, r.endings, r.writer
	r.endings.jobTable, r.endings.results, r.endings.work, r.endings.writer, r.endings.admission = r.jobTable, r.results, r.work, r.writer, r.admission
	r.results.writer = r.writer
	r.registry.names, r.registry.jobTable, r.registry.takeover, r.registry.writer = r.names, r.jobTable, r.takeover, r.writer
	r.machines.names, r.machines.jobTable, r.machines.registry, r.machines.takeover = r.names, r.jobTable, r.registry, r.takeover
	r.machines.planner, r.machines.work, r.machines.writer = r.planner, r.work, r.writer
	r.takeover.names, r.takeover.jobTable, r.takeover.registry, r.takeover.machines = r.names, r.jobTable, r.registry, r.machines
	r.takeover.admission, r.takeover.endings, r.takeover.results = r.admission, r.endings, r.results
	r.commands.work, r.commands.takeover = r.work, r.takeover
	r.planner.names, r.planner.jobTable, r.planner.registry, r.planner.machines = r.names, r.jobTable, r.registry, r.machines
	r.planner.takeover, r.planner.work = r.takeover, r.work
	r.work.names, r.work.jobTable, r.work.registry, r.work.machines = r.names, r.jobTable, r.registry, r.machines
	r.work.endings, r.work.results = r.endings, r.results
	r.writer.registry = r.registry
	r.shares.names, r.shares.machines, r.shares.takeover, r.shares.work, r.shares.commands = r.names, r.machines, r.takeover, r.work, r.commands
	r.commands.shares, r.machines.shares, r.takeover.shares = r.shares, r.shares, r.shares
	r.rollouts.names, r.rollouts.jobTable, r.rollouts.endings, r.rollouts.work, r.rollouts.takeover = r.names, r.jobTable, r.endings, r.work, r.takeover
	r.rollouts.groups, r.work.rollouts, r.takeover.rollouts = r.groups, r.rollouts, r.rollouts
	r.calendarStore.names, r.calendarStore.jobTable, r.calendarStore.takeover, r.calendarStore.holds, r.calendarStore.drains = r.names, r.jobTable, r.takeover, r.holds, r.drains
	r.holds.names, r.holds.jobTable, r.holds.calendarStore, r.holds.drains, r.holds.machines = r.names, r.jobTable, r.calendarStore, r.drains, r.machines
	r.holds.planner, r.holds.rollouts = r.planner, r.rollouts
	r.drains.names, r.drains.jobTable, r.drains.calendarStore, r.drains.holds, r.drains.work = r.names, r.jobTable, r.calendarStore, r.holds, r.work
	r.planner.calendarStore, r.planner.holds, r.planner.drains = r.calendarStore, r.holds, r.drains
	r.machines.holds, r.machines.drains, r.work.holds = r.holds, r.drains, r.holds
	r.takeover.calendarStore, r.takeover.holds, r.takeover.drains = r.calendarStore, r.holds, r.drains
	r.teams.names, r.teams.jobTable, r.teams.takeover, r.teams.admission, r.teams.homeTeams = r.names, r.jobTable, r.takeover, r.admission, r.homeTeams
	r.planner.teams, r.admission.teams, r.calendarStore.teams, r.rollouts.teams = r.teams, r.teams, r.teams, r.teams
	r.takeover.teams, r.takeover.homeTeams = r.teams, r.homeTeams
	r.groups.writer, r.groups.results = r.writer, r.results
	r.admission.groups, r.admission.results, r.endings.groups, r.jobTable.groups, r.takeover.groups = r.groups, r.results, r.groups, r.groups, r.groups
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
	if r.machines.gone(m.Host) {
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
	if !r.shares.route(m, func() { r.report(m, via, back) }, back) {
		return
	}
	h := r.fleet.Hosts[m.Host]
	if h == nil {
		h = r.machines.adopt(m, now)
	}
	fresh, ok := r.work.observe(h, m, true, now)
	if !ok {
		back(Later("a later term is known"))
		return
	}
	if !r.machines.renewable(h, now) {
		back(Later("a launch of a cancelled job may be on its way to the machine"))
		return
	}
	r.planner.place(now)
	orders, sent, ev := r.fleet.Compose(h, m.Seq, fresh, now, maxOrders)
	r.takeover.launched(len(sent), now)
	r.work.handle(ev, now)
	p := reply(http.StatusOK, wire.Answer{Token: r.term, Orders: orders})
	p.Work = h.Busy()
	back(p)
	r.shares.served(h, via, now)
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
		r.work.handle(ev, now)
	}
	if !r.c.Entitled(r.term) {
		r.admission.refuse()
		return
	}
	r.admission.flush(now)
	r.groups.step(now)
	r.results.flush(now)
	r.results.tidy()
	r.endings.settleFinals()
	r.machines.cloud(now)
	r.planner.place(now)
	r.registry.register(now)
	r.shares.answer(now)
	r.commands.urgent(now)
	r.shares.step(now, scan)
	r.homeTeams.step(now)
	if !scan {
		return
	}
	r.rollouts.step(now)
	r.calendarStore.step(now)
	r.planner.expire(now)
	r.c.Meter.Set(metrics.Machines, len(r.fleet.Hosts))
	r.c.Meter.Set(metrics.Jobs, len(r.jobTable.all()))
	r.commands.fence(now)
	r.jobTable.sweep()
	r.registry.sweepNotes()
}
