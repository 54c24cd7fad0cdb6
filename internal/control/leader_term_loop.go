package control

import (
	"net/http"
	"time"

	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/wire"
)

const (
	// tickInterval is the longest time between two steps of the actor.
	tickInterval = 100 * time.Millisecond

	// scanInterval is the shortest time between two scans of all machines and jobs.
	// In a large fleet, a scan after each message would take most of the CPU time.
	scanInterval = 100 * time.Millisecond

	// maxBurst is the most messages that the actor handles between two steps.
	maxBurst = 64

	// maxCommands is the most commands in one response, well below the limit on the
	// size of a body.
	maxCommands = 400
)

// run is the actor's loop. It loads the records that earlier leaders have stored,
// then handles messages until the term ends.
func (lt *leaderTerm) run() {
	if !lt.takeover.load() {
		return
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	urgentTimer := time.NewTimer(tickInterval)
	defer urgentTimer.Stop()
	for {
		select {
		case <-lt.ctx.Done():
			return
		case f := <-lt.userInbox:
			f()
		case f := <-lt.inbox:
			f()
		case <-ticker.C:
		case <-urgentTimer.C:
		}
		lt.drainInboxes()
		lt.step(time.Now())
		if lt.fleet.AnyAwaitingCommand() {
			urgentTimer.Reset(urgentScanInterval)
		}
	}
}

// drainInboxes handles the messages that are already queued, so that a burst causes
// one plan only.
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

// serveUsers handles the queued requests that users wait for, and stores submitted
// jobs.
func (lt *leaderTerm) serveUsers() {
	for n := len(lt.userInbox); n > 0; n-- {
		f := <-lt.userInbox
		f()
	}
	lt.admission.storeQueued(time.Now())
}

// handleHeartbeat handles a worker's heartbeat and responds with commands. forwarder is
// the controller node that forwarded it.
func (lt *leaderTerm) handleHeartbeat(heartbeat *wire.Heartbeat, forwarder string, respond func(*rpc.Reply)) {
	now := time.Now()
	if lt.machinePool.wasReleased(heartbeat.Machine) {
		// A delayed message of a released machine must not add it again.
		respond(Unavailable("the machine was released"))
		return
	}
	if machine := lt.fleet.Machines[heartbeat.Machine]; machine != nil && machine.Stale(heartbeat.Session, heartbeat.Seq) {
		// The heartbeat is a duplicate or was delayed. Commands in a response to it
		// would count as sent but reach no worker, and a shard holder would give up
		// the machine as if its worker had moved to another node. It is refused
		// with an error, because a worker that has restarted, and numbers its
		// heartbeats from the start, would accept a response and keep a lease that
		// the ledger does not contain.
		respond(Unavailable("a newer heartbeat was answered"))
		return
	}
	if !lt.shards.routeHeartbeat(heartbeat, func() { lt.handleHeartbeat(heartbeat, forwarder, respond) }, respond) {
		return
	}
	machine := lt.fleet.Machines[heartbeat.Machine]
	if machine == nil {
		machine = lt.machinePool.adopt(heartbeat, now)
	}
	fresh, ok := lt.taskTracker.observe(machine, heartbeat, true, now)
	if !ok {
		respond(Unavailable("the worker has seen a later term"))
		return
	}
	if !lt.machinePool.mayRenewLease(machine, now) {
		respond(Unavailable("a launch command of a cancelled job may still be in flight to the machine"))
		return
	}
	lt.planner.place(now)
	commands, _ := lt.commands.compose(machine, heartbeat.Seq, fresh, now)
	response := reply(http.StatusOK, wire.HeartbeatResponse{Token: machine.Token, Commands: commands})
	response.HasTasks = machine.Busy()
	respond(response)
	lt.shards.recordAnswered(machine, forwarder, now)
}

// step runs the duties of all parts after a batch of messages. Duties that scan all
// machines or jobs run at most once per scanInterval.
func (lt *leaderTerm) step(now time.Time) {
	scanDue := now.Sub(lt.lastScan) >= scanInterval
	if scanDue {
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
	lt.shards.step(now, scanDue)
	lt.homeQuotas.step(now)
	if scanDue {
		lt.stepScan(now)
	}
}

// expireLeases applies the expiry of machines' leases.
func (lt *leaderTerm) expireLeases(now time.Time) {
	events, lost := lt.fleet.ExpireLeases(now)
	if lost > 0 {
		lt.log.Info("machine leases expired", "machines", lost, "tasks", len(events))
	}
	lt.taskTracker.applyEvents(events, now)
}

// stepScan runs the duties that scan all machines or all jobs.
func (lt *leaderTerm) stepScan(now time.Time) {
	lt.rollouts.step(now)
	lt.calendarStore.step(now)
	lt.planner.expireReservations(now)
	lt.controller.Meter.Set(metrics.Machines, len(lt.fleet.Machines))
	lt.controller.Meter.Set(metrics.Jobs, len(lt.jobTable.all()))
	lt.commands.fenceWorkers(now)
	lt.jobTable.removeFinished()
	lt.registry.removeFinishedJobs()
	lt.progressMonitor.check(now)
}
