package shard

import (
	"cmp"
	"slices"
	"time"
)

// Holder handles a shard of the machines under the grants of the leader. It is not safe for
// concurrent use.
type Holder struct {
	member      string
	zone        string
	incarnation uint64
	seq         uint64 // number of the last request

	term       uint64    // term of the last grant; 0 if there was none
	firstToken uint64    // lowest fencing token of answers under the last grant
	lastReply  uint64    // number of the last reply handled
	grantUntil time.Time // when the grant ends

	machines map[string]*heldMachine
	// previousMachines names the machines that the member held in an earlier term.
	previousMachines []string
	// callResults are the results of direct commands that the leader has not acknowledged
	// yet.
	callResults []CallResult
	// reportsInFlight holds, by machine, the number of the last heartbeat that the request in
	// flight reports. callResultsInFlight is the number of call results in that request,
	// which are the first of callResults.
	reportsInFlight     map[string]uint64
	callResultsInFlight int
}

// NewHolder returns a holder without a grant. incarnation must be higher than the
// incarnation of any earlier process of the member.
func NewHolder(member, zone string, incarnation uint64) *Holder {
	return &Holder{
		member:      member,
		zone:        zone,
		incarnation: incarnation,
		machines:    map[string]*heldMachine{},
	}
}

// clockMargin returns the safety margin of a grant with the given duration: the holder ends
// the grant earlier by the margin, and the leader waits longer by it. The clock rates of two
// machines may differ by 0.1 %, and timers may fire late.
func clockMargin(grant time.Duration) time.Duration { return grant/500 + 20*time.Millisecond }

// GrantValid reports whether the holder has a valid grant of the term. Callers check it
// immediately before they send anything under the grant.
func (h *Holder) GrantValid(term uint64, now time.Time) bool {
	return term != 0 && term == h.term && now.Before(h.grantUntil)
}

// Term returns the term of the last grant; 0 if there was none.
func (h *Holder) Term() uint64 { return h.term }

// Size limits of a request. maxReportBytes limits its machine reports and call results
// together, maxCallResultBytes its call results. The last item may exceed a limit. The
// leader refuses messages that are too large, and a refused request would be repeated
// without end.
const (
	maxReportBytes     = 128 << 10
	maxCallResultBytes = 64 << 10
	// itemOverheadBytes is the estimated encoded size of an item without its heartbeat.
	itemOverheadBytes = 64
)

// Request returns the next request. The caller must end it with HandleReply or
// RequestFailed before it calls Request again.
func (h *Holder) Request(capacity, calls int, overloaded bool, now time.Time) *Request {
	h.seq++
	request := &Request{
		Member:           h.member,
		Zone:             h.zone,
		Incarnation:      h.incarnation,
		Seq:              h.seq,
		Term:             h.term,
		LastReply:        h.lastReply,
		Capacity:         capacity,
		MaxCalls:         calls,
		MachineTokens:    true,
		Overloaded:       overloaded,
		PreviousMachines: h.previousMachines,
	}
	size := h.addCallResults(request)
	h.addReports(request, size, now)
	return request
}

// addCallResults adds to a request the call results that the leader has not acknowledged,
// and returns their estimated size in bytes.
func (h *Holder) addCallResults(request *Request) (size int) {
	h.callResultsInFlight = 0
	for i := range h.callResults {
		if size > maxCallResultBytes {
			break
		}
		size += itemOverheadBytes + len(h.callResults[i].Heartbeat)
		request.CallResults = append(request.CallResults, h.callResults[i])
		h.callResultsInFlight++
	}
	return size
}

// addReports adds to a request of the given size the reports that the leader has not
// acknowledged.
func (h *Holder) addReports(request *Request, size int, now time.Time) {
	h.reportsInFlight = map[string]uint64{}
	for name, machine := range h.machines {
		if machine.lastHeartbeat == machine.acknowledgedHeartbeat {
			continue
		}
		if size > maxReportBytes {
			request.Truncated = true
			break
		}
		report := MachineReport{
			Machine: name,
			Session: machine.session,
			Seq:     machine.seq,
			AgeMs:   now.Sub(machine.heartbeatAt).Milliseconds(),
		}
		if machine.fullHeartbeatNumber > machine.acknowledgedHeartbeat {
			report.Heartbeat = machine.fullHeartbeat
		}
		size += itemOverheadBytes + len(report.Heartbeat)
		h.reportsInFlight[name] = machine.lastHeartbeat
		request.Reports = append(request.Reports, report)
	}
}

// RequestFailed records that the request in flight got no reply. The next request repeats
// its content.
func (h *Holder) RequestFailed() { h.endRequest() }

// endRequest records that no request is in flight.
func (h *Holder) endRequest() {
	h.reportsInFlight = nil
	h.callResultsInFlight = 0
}

// HandleReply handles the reply to the request that was sent at the given time. It returns
// the direct commands that the leader orders the holder to send.
func (h *Holder) HandleReply(reply *Reply, sent time.Time) []Call {
	if reply.Term == 0 || reply.Term < h.term {
		h.endRequest()
		return nil
	}
	if reply.Term > h.term || reply.Reset {
		h.reset()
	} else {
		h.acknowledgeRequest()
	}
	h.endRequest()
	h.term = reply.Term
	h.firstToken = cmp.Or(reply.FirstToken, reply.Term)
	h.lastReply = reply.Number
	h.previousMachines = nil
	h.setGrant(time.Duration(reply.GrantMs)*time.Millisecond, sent)
	h.updateMachines(reply)
	for i := range reply.Clearances {
		clearance := &reply.Clearances[i]
		if machine := h.machines[clearance.Machine]; machine != nil && !machine.dropped {
			machine.recordSettledExits(clearance.Commands)
			machine.token = max(machine.token, clearance.Token)
		}
	}
	return reply.Calls
}

// acknowledgeRequest records that the leader has handled the request in flight.
func (h *Holder) acknowledgeRequest() {
	for name, number := range h.reportsInFlight {
		if machine := h.machines[name]; machine != nil {
			machine.acknowledge(number)
		}
	}
	h.callResults = slices.Delete(h.callResults, 0, h.callResultsInFlight)
}

// setGrant sets the end of a grant with the given duration, which is 0 if the reply has no
// grant. sent is when the request was sent.
func (h *Holder) setGrant(duration time.Duration, sent time.Time) {
	h.grantUntil = time.Time{}
	if duration > 0 {
		h.grantUntil = sent.Add(duration - clockMargin(duration))
	}
}

// updateMachines applies the changes of the shard in a reply.
func (h *Holder) updateMachines(reply *Reply) {
	for _, name := range reply.Drop {
		if machine := h.machines[name]; machine != nil {
			machine.dropped = true
			machine.settledExits = nil
		}
	}
	for _, name := range reply.Add {
		if machine := h.machines[name]; machine == nil {
			h.machines[name] = &heldMachine{}
		} else if machine.dropped {
			// Another controller may have answered heartbeats in the meantime: the next one is
			// sent to the leader in full.
			machine.dropped = false
			machine.hasDigest = false
		}
	}
	for name, machine := range h.machines {
		if machine.dropped && machine.acknowledgedHeartbeat == machine.lastHeartbeat {
			delete(h.machines, name)
		}
	}
}

// reset discards the machines, the call results and the grant of an earlier term, or those
// from before a reply with a reset.
func (h *Holder) reset() {
	clear(h.machines)
	h.callResults = nil
	h.grantUntil = time.Time{}
}

// BecomeLeader discards the shard, because the member itself leads now.
func (h *Holder) BecomeLeader() {
	h.reset()
	h.previousMachines = nil
}

// EndTerm ends the grant of a term that has ended. The next request names the machines that
// the member held, for the new leader.
func (h *Holder) EndTerm() {
	h.grantUntil = time.Time{}
	h.previousMachines = nil
	for name, machine := range h.machines {
		if !machine.dropped && machine.hasDigest {
			h.previousMachines = append(h.previousMachines, name)
		}
	}
	slices.Sort(h.previousMachines)
}

// RecordCallResult adds the result of a direct command, which is sent with the next
// request.
func (h *Holder) RecordCallResult(result CallResult) {
	h.callResults = append(h.callResults, result)
}
