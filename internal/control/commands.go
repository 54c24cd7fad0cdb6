package control

import (
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/wire"
)

// commands sends direct commands to workers, a bounded number at a time.
type commands struct {
	*core
	taskTracker *taskTracker
	takeover    *takeover
	shards      *shards

	callsInFlight  int
	maxCalls       int
	nextUrgentScan time.Time
}

// newCommands makes the sender of a term.
func newCommands(co *core, maxSockets int) *commands {
	return &commands{core: co, maxCalls: MaxDirectCalls(maxSockets)}
}

const (
	// urgentScanInterval spaces the scans of the machines that wait for a command:
	// in a large fleet they are hundreds, and a scan after each message took a fifth
	// of the leader's time.
	urgentScanInterval = 20 * time.Millisecond

	// maxCallBackoff is the longest pause between the calls of a machine that does
	// not answer.
	maxCallBackoff = 4 * time.Second

	// maxBackoffDoublings prevents an overflow of the doubled backoff.
	maxBackoffDoublings = 8

	// wrongMachineBackoff is the pause after another machine has answered at an address.
	wrongMachineBackoff = 10 * time.Second
)

// sendUrgent sends the commands that cannot wait for the next heartbeats.
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

// fenceWorkers calls the workers that have not shown this term's token yet, and
// those that seem unreachable: an answer brings them back into use.
func (cm *commands) fenceWorkers(now time.Time) {
	for _, machine := range cm.fleet.All() {
		if (!machine.Fenced || machine.InboundCut() || machine.CallUnanswered) && cm.mayCall(machine, now) {
			cm.send(machine, now)
		}
	}
}

// mayCall reports whether a direct command may be sent to a machine now.
func (cm *commands) mayCall(machine *fleet.Machine, now time.Time) bool {
	if machine.CallInFlight || machine.Lost || machine.Addr == "" || !machine.Registered || now.Before(machine.NextCallAt) {
		return false
	}
	relayed, may := cm.shards.relayable(machine)
	return may && (relayed || cm.callsInFlight < cm.maxCalls)
}

// send sends a machine's commands directly: this fences a worker after a takeover,
// and brings launches and halts without waiting for the next heartbeat.
func (cm *commands) send(machine *fleet.Machine, now time.Time) {
	session := max(1, machine.Session)
	orders, sent, events := cm.fleet.ComposeOrders(machine, 0, machine.Usable(), now, maxOrders)
	cm.takeover.recordLaunches(len(sent), now)
	cm.taskTracker.applyEvents(events, now)
	body, err := wire.Marshal(wire.DirectCommands{Token: cm.term, Session: session, Commands: orders})
	if err != nil {
		cm.log.Error("commands cannot be encoded", "error", err)
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
// sent are the placements that it launched.
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
	if report.Host != "" && report.Host != machine.Name {
		machine.NextCallAt = now.Add(wrongMachineBackoff)
		return
	}
	cm.taskTracker.observe(machine, report, false, now)
}

// decodeReport reads the report in a worker's answer; nil: there is none.
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

// callFailed backs off from a machine that did not answer.
func (cm *commands) callFailed(machine *fleet.Machine, now time.Time) {
	// Silent machines must not take up the few calls that may be in flight.
	machine.NextCallAt = now.Add(min(maxCallBackoff, time.Second<<min(machine.CallFailures, maxBackoffDoublings)))
	machine.CallFailures++
	// A machine that hangs, or that nothing reaches, has much capacity and would be
	// chosen again and again.
	machine.CallUnanswered = true
	cm.taskTracker.applyEvents(cm.fleet.RemoveUnsent(machine), now)
}
