package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/wire"
)

// commands sends direct commands to workers, with a bounded number in flight.
type commands struct {
	*core
	taskTracker *taskTracker
	takeover    *takeover
	shards      *shards

	callsInFlight  int
	maxCalls       int
	nextUrgentScan time.Time
}

// newCommands creates the commands part of a term.
func newCommands(co *core, maxSockets int) *commands {
	return &commands{core: co, maxCalls: MaxDirectCalls(maxSockets)}
}

const (
	// urgentScanInterval is the minimum interval between scans of the machines awaiting a
	// command. In a large fleet there are hundreds of them, and a scan after each message
	// took a fifth of the leader's processor time.
	urgentScanInterval = 20 * time.Millisecond

	// maxCallBackoff bounds the backoff between calls to an unresponsive machine.
	maxCallBackoff = 4 * time.Second

	// maxBackoffDoublings prevents an overflow of the exponential backoff.
	maxBackoffDoublings = 8

	// wrongMachineBackoff is the delay after a different machine has answered at the
	// machine's address.
	wrongMachineBackoff = 10 * time.Second
)

// sendUrgent sends the commands that cannot wait for the machines' next heartbeats.
func (cm *commands) sendUrgent(now time.Time) {
	if now.Before(cm.nextUrgentScan) {
		return
	}
	cm.nextUrgentScan = now.Add(urgentScanInterval)
	for _, machine := range cm.fleet.AwaitingCommand() {
		if cm.mayCall(machine, now) && machine.NeedsDirectCommand(now) {
			cm.send(machine, now)
		}
	}
}

// fenceWorkers calls the workers that have not reported this term's token yet, and those
// that seem unreachable. An answer makes an unreachable machine usable again.
func (cm *commands) fenceWorkers(now time.Time) {
	for _, machine := range cm.fleet.All() {
		if (!machine.Fenced || machine.InboundCut() || machine.CallUnanswered) && cm.mayCall(machine, now) {
			cm.send(machine, now)
		}
	}
}

// mayCall reports whether a direct command to the machine may be sent now.
func (cm *commands) mayCall(machine *fleet.Machine, now time.Time) bool {
	if machine.CallInFlight || machine.Lost || machine.Addr == "" || !machine.Registered || now.Before(machine.NextCallAt) {
		return false
	}
	relayed, ready := cm.shards.relayable(machine)
	return ready && (relayed || cm.callsInFlight < cm.maxCalls)
}

// send sends a machine's commands directly. This fences the worker after a takeover, and
// delivers launches and stops without waiting for the next heartbeat.
func (cm *commands) send(machine *fleet.Machine, now time.Time) {
	session := max(1, machine.Session)
	commands, sent := cm.compose(machine, 0, machine.Usable(), now)
	body, err := wire.Marshal(wire.DirectCommands{Token: machine.Token, Session: session, Commands: commands})
	if err != nil {
		cm.log.Error("cannot encode direct commands; they are not sent", "error", err)
		return
	}
	machine.CallInFlight = true
	if relayed, _ := cm.shards.relayable(machine); relayed {
		cm.shards.relay(machine, body, sent, now)
		return
	}
	cm.callsInFlight++
	addr := machine.Addr
	go func() {
		result, err := SendDirect(cm.ctx, cm.controller.directClient, addr, body, func() bool { return cm.controller.Entitled(cm.term) })
		cm.enqueue(func() {
			cm.callsInFlight--
			cm.finishCall(machine, result, err, sent)
		})
	}()
}

// finishCall handles the outcome of a direct command that the leader or a holder sent.
// sent contains the slots whose launches were part of the command.
func (cm *commands) finishCall(machine *fleet.Machine, result DirectResult, err error, sent []*fleet.Slot) {
	now := time.Now()
	machine.CallInFlight = false
	if cm.fleet.Machines[machine.Name] != machine {
		return
	}
	report := decodeReport(result.Body)
	if result.notExecuted(report) {
		cm.taskTracker.applyEvents(cm.fleet.RemoveUndelivered(sent), now)
	}
	if report == nil {
		cm.log.Debug("direct command failed", "machine", machine.Name, "status", result.Status, "error", err)
		cm.callFailed(machine, now)
		return
	}
	machine.CallFailures = 0
	if report.Machine != "" && report.Machine != machine.Name {
		machine.NextCallAt = now.Add(wrongMachineBackoff)
		return
	}
	cm.taskTracker.observe(machine, report, false, now)
}

// decodeReport decodes the report in a worker's answer; it returns nil if there is none.
func decodeReport(body []byte) *wire.Heartbeat {
	if len(body) == 0 {
		return nil
	}
	report := &wire.Heartbeat{}
	if err := wire.Unmarshal(body, report); err != nil || report.Session == 0 {
		return nil
	}
	return report
}

// callFailed delays the next call to a machine that did not answer, and withdraws its
// unsent launches.
func (cm *commands) callFailed(machine *fleet.Machine, now time.Time) {
	// Unresponsive machines must not occupy the limited number of calls in flight.
	machine.NextCallAt = now.Add(min(maxCallBackoff, time.Second<<min(machine.CallFailures, maxBackoffDoublings)))
	machine.CallFailures++
	// A hanging or unreachable machine has much free capacity, so placement would choose it
	// repeatedly.
	machine.CallUnanswered = true
	cm.taskTracker.applyEvents(cm.fleet.RemoveUnsent(machine), now)
}
