package control

import (
	"net/http"
	"time"

	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

const (
	// tickInterval is how often the actor takes a step without a message.
	tickInterval = 100 * time.Millisecond

	// scanInterval spaces the scans of every machine and every job: in a large
	// fleet a scan after each message would take most of the processor.
	scanInterval = 100 * time.Millisecond

	// maxBurst bounds the messages that the actor takes between two steps.
	maxBurst = 64

	// maxCommands bounds the commands in one response, well below the limit for
	// bodies.
	maxCommands = 400
)

// run is the actor's loop: it loads what earlier leaders have stored and handles
// messages until the term ends.
func (lt *leaderTerm) run() {
	if !lt.takeover.load() {
		return
	}
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	urgent := time.NewTimer(tickInterval)
	defer urgent.Stop()
	for {
		select {
		case <-lt.ctx.Done():
			return
		case f := <-lt.userInbox:
			f()
		case f := <-lt.inbox:
			f()
		case <-tick.C:
		case <-urgent.C:
		}
		lt.drainInboxes()
		lt.step(time.Now())
		if lt.fleet.AnyAwaitingCommand() {
			urgent.Reset(urgentScanInterval)
		}
	}
}

// drainInboxes handles what else has arrived, so that a burst costs one plan.
func (lt *leaderTerm) drainInboxes() {
	for range maxBurst {
		lt.serveUsers()
		select {
		case f := <-lt.inbox:
			f()
		default:
			return
		}
	}
}

// serveUsers handles the requests that users wait for, and stores submitted jobs.
func (lt *leaderTerm) serveUsers() {
	for n := len(lt.userInbox); n > 0; n-- {
		f := <-lt.userInbox
		f()
	}
	lt.admission.storeQueued(time.Now())
}

// heartbeat takes in a worker's heartbeat and answers it with commands; via is the
// controller node that forwarded it.
func (lt *leaderTerm) heartbeat(m *wire.Heartbeat, via string, back func(*rpc.Reply)) {
	now := time.Now()
	if lt.machinePool.wasReleased(m.Host) {
		// A late message of a machine that is gone must not bring it back.
		back(Unavailable("machine was returned"))
		return
	}
	if h := lt.fleet.Machines[m.Host]; h != nil && h.Stale(m.Session, m.Seq) {
		// A copy, or one that was held back. Commands in its answer would count as sent and
		// arrive nowhere, and a shard holder would lose the machine as if its worker had
		// moved to another node. It is refused: a worker that has restarted and counts from
		// the start would take an answer, and keep a lease that the ledger does not know of.
		back(Unavailable("a newer report was answered"))
		return
	}
	if !lt.shards.routeHeartbeat(m, func() { lt.heartbeat(m, via, back) }, back) {
		return
	}
	h := lt.fleet.Machines[m.Host]
	if h == nil {
		h = lt.machinePool.adopt(m, now)
	}
	fresh, ok := lt.taskTracker.observe(h, m, true, now)
	if !ok {
		back(Unavailable("a later term is known"))
		return
	}
	if !lt.machinePool.mayRenewLease(h, now) {
		back(Unavailable("a launch of a cancelled job may be on its way to the machine"))
		return
	}
	lt.planner.place(now)
	orders, sent, events := lt.fleet.ComposeOrders(h, m.Seq, fresh, now, maxCommands)
	lt.takeover.recordLaunches(len(sent), now)
	lt.taskTracker.applyEvents(events, now)
	p := reply(http.StatusOK, wire.HeartbeatResponse{Token: lt.term, Commands: orders})
	p.HasTasks = h.Busy()
	back(p)
	lt.shards.recordAnswered(h, via, now)
}

// step runs every part's duties after a batch of messages; the slower ones only
// once per scanInterval.
func (lt *leaderTerm) step(now time.Time) {
	scan := now.Sub(lt.lastScan) >= scanInterval
	if scan {
		lt.lastScan = now
		lt.expireLeases(now)
	}
	if !lt.controller.Entitled(lt.term) {
		lt.admission.refuseQueued()
		return
	}
	lt.admission.storeQueued(now)
	lt.admissionGroups.storeAndCompact(now)
	lt.results.storeCompleted(now)
	lt.results.deleteObsolete()
	lt.completions.moveFinalRecords()
	lt.machinePool.reconcile(now)
	lt.planner.place(now)
	lt.registry.storePages(now)
	lt.shards.answerHeartbeats(now)
	lt.commands.sendUrgent(now)
	lt.shards.step(now, scan)
	lt.homeQuotas.step(now)
	if scan {
		lt.stepScan(now)
	}
}

// expireLeases takes in the expiry of machines' leases.
func (lt *leaderTerm) expireLeases(now time.Time) {
	events, lost := lt.fleet.ExpireLeases(now)
	if lost > 0 {
		lt.log.Info("machine leases expired", "machines", lost, "tasks", len(events))
	}
	lt.taskTracker.applyEvents(events, now)
}

// stepScan runs the duties that look at every machine or every job.
func (lt *leaderTerm) stepScan(now time.Time) {
	lt.rollouts.step(now)
	lt.calendarStore.step(now)
	lt.planner.expireReservations(now)
	lt.controller.Meter.Set(metrics.Machines, len(lt.fleet.Machines))
	lt.controller.Meter.Set(metrics.Jobs, len(lt.jobTable.all()))
	lt.commands.fenceWorkers(now)
	lt.jobTable.removeFinished()
	lt.registry.removeFinishedJobs()
}
