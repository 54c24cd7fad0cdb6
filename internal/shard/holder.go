package shard

import (
	"slices"
	"time"
)

// Holder deals with a shard of the machines under the grants of the leader. It is not
// safe for concurrent use.
type Holder struct {
	member      string
	zone        string
	incarnation uint64
	seq         uint64 // of the last request

	term       uint64    // of the last grant; 0: none
	lastReply  uint64    // number of the last reply handled
	grantUntil time.Time // when the grant ends

	machines map[string]*heldMachine
	// previousMachines are the machines that were held in an earlier term.
	previousMachines []string
	// callResults are the results of direct commands that the leader has not acknowledged.
	callResults []CallResult
	// reportsInFlight are the numbers of the reports in the request in flight, by machine;
	// callResultsInFlight is how many of callResults it has.
	reportsInFlight     map[string]uint64
	callResultsInFlight int
}

// NewHolder makes a holder without a grant. incarnation must be higher than that of any
// earlier process of the member.
func NewHolder(member, zone string, incarnation uint64) *Holder {
	return &Holder{
		member:      member,
		zone:        zone,
		incarnation: incarnation,
		machines:    map[string]*heldMachine{},
	}
}

// clockMargin is by how much a grant is shortened because of the two clocks: they may differ
// by 0.1 %, and timers fire late.
func clockMargin(d time.Duration) time.Duration { return d/500 + 20*time.Millisecond }

// GrantValid reports whether the grant of the term is valid. Callers ask just before
// they send anything under it.
func (h *Holder) GrantValid(term uint64, now time.Time) bool {
	return term != 0 && term == h.term && now.Before(h.grantUntil)
}

// Term is the term of the last grant; 0: there was none.
func (h *Holder) Term() uint64 { return h.term }

// The limits of a request: of its reports together with the call results, and of the
// call results alone. One more item may exceed them. The leader refuses larger
// messages, and a request that it refuses would be made again forever.
const (
	maxReportBytes     = 128 << 10
	maxCallResultBytes = 64 << 10
	// itemOverheadBytes estimates the encoded size of an item besides its report.
	itemOverheadBytes = 64
)

// Request makes the next request. No other may be made until HandleReply or
// RequestFailed.
func (h *Holder) Request(capacity, calls int, overloaded bool, now time.Time) *Request {
	h.seq++
	r := &Request{
		Member:           h.member,
		Zone:             h.zone,
		Incarnation:      h.incarnation,
		Seq:              h.seq,
		Term:             h.term,
		LastReply:        h.lastReply,
		Capacity:         capacity,
		MaxCalls:         calls,
		Overloaded:       overloaded,
		PreviousMachines: h.previousMachines,
	}
	size := h.addCallResults(r)
	h.addReports(r, size, now)
	return r
}

// addCallResults adds the call results that are not acknowledged, and returns their
// estimated size in bytes.
func (h *Holder) addCallResults(r *Request) (size int) {
	h.callResultsInFlight = 0
	for i := range h.callResults {
		if size > maxCallResultBytes {
			break
		}
		size += itemOverheadBytes + len(h.callResults[i].Heartbeat)
		r.CallResults = append(r.CallResults, h.callResults[i])
		h.callResultsInFlight++
	}
	return size
}

// addReports adds the reports that are not acknowledged to a request of that size.
func (h *Holder) addReports(r *Request, size int, now time.Time) {
	h.reportsInFlight = map[string]uint64{}
	for name, hm := range h.machines {
		if hm.lastHeartbeat == hm.acknowledgedHeartbeat {
			continue
		}
		if size > maxReportBytes {
			r.Truncated = true
			break
		}
		report := MachineReport{
			Machine: name,
			Session: hm.session,
			Seq:     hm.seq,
			AgeMs:   now.Sub(hm.heartbeatAt).Milliseconds(),
		}
		if hm.fullHeartbeatNumber > hm.acknowledgedHeartbeat {
			report.Heartbeat = hm.fullHeartbeat
		}
		size += itemOverheadBytes + len(report.Heartbeat)
		h.reportsInFlight[name] = hm.lastHeartbeat
		r.Reports = append(r.Reports, report)
	}
}

// RequestFailed notes that a request had no reply: the next one has its content again.
func (h *Holder) RequestFailed() { h.endRequest() }

// endRequest notes that no request is in flight.
func (h *Holder) endRequest() {
	h.reportsInFlight = nil
	h.callResultsInFlight = 0
}

// HandleReply handles the reply to the request that was sent at the given time, and
// returns the direct commands to be sent.
func (h *Holder) HandleReply(r *Reply, sent time.Time) []Call {
	if r.Term == 0 || r.Term < h.term {
		h.endRequest()
		return nil
	}
	if r.Term > h.term || r.Reset {
		h.reset()
	} else {
		h.acknowledgeRequest()
	}
	h.endRequest()
	h.term = r.Term
	h.lastReply = r.Number
	h.previousMachines = nil
	h.setGrant(time.Duration(r.GrantMs)*time.Millisecond, sent)
	h.updateMachines(r)
	for i := range r.Clearances {
		clearance := &r.Clearances[i]
		if hm := h.machines[clearance.Machine]; hm != nil && !hm.dropped {
			hm.recordSettledExits(clearance.Commands)
		}
	}
	return r.Calls
}

// acknowledgeRequest notes that the leader has handled the request in flight.
func (h *Holder) acknowledgeRequest() {
	for name, report := range h.reportsInFlight {
		if hm := h.machines[name]; hm != nil {
			hm.acknowledge(report)
		}
	}
	h.callResults = slices.Delete(h.callResults, 0, h.callResultsInFlight)
}

// setGrant sets the end of the grant that a reply to a request sent at the given time
// has brought; d is its length, 0: there is none.
func (h *Holder) setGrant(d time.Duration, sent time.Time) {
	h.grantUntil = time.Time{}
	if d > 0 {
		h.grantUntil = sent.Add(d - clockMargin(d))
	}
}

// updateMachines applies the changes of the shard in a reply.
func (h *Holder) updateMachines(r *Reply) {
	for _, name := range r.Drop {
		if hm := h.machines[name]; hm != nil {
			hm.dropped = true
			hm.settledExits = nil
		}
	}
	for _, name := range r.Add {
		if hm := h.machines[name]; hm == nil {
			h.machines[name] = &heldMachine{}
		} else if hm.dropped {
			// The leader has answered its reports meanwhile: the next one is sent in full.
			hm.dropped = false
			hm.hasDigest = false
		}
	}
	for name, hm := range h.machines {
		if hm.dropped && hm.acknowledgedHeartbeat == hm.lastHeartbeat {
			delete(h.machines, name)
		}
	}
}

// reset forgets what was held in an earlier term, or before the leader asked for a
// reset.
func (h *Holder) reset() {
	clear(h.machines)
	h.callResults = nil
	h.grantUntil = time.Time{}
}

// BecomeLeader forgets the shard, because the member leads itself.
func (h *Holder) BecomeLeader() {
	h.reset()
	h.previousMachines = nil
}

// EndTerm ends the grant of a term that is over. The next request tells the new leader
// which machines the member has held.
func (h *Holder) EndTerm() {
	h.grantUntil = time.Time{}
	h.previousMachines = nil
	for name, hm := range h.machines {
		if !hm.dropped && hm.hasDigest {
			h.previousMachines = append(h.previousMachines, name)
		}
	}
	slices.Sort(h.previousMachines)
}

// RecordCallResult adds the result of a direct command, to be sent with the next
// request.
func (h *Holder) RecordCallResult(result CallResult) {
	h.callResults = append(h.callResults, result)
}
