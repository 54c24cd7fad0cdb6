package shard

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"vetchstream/internal/wire"
)

// Outcome says what a holder does with a report.
type Outcome uint8

const (
	// NotHeld means that the machine is not in the share; the leader knows who has it.
	NotHeld Outcome = iota
	// GrantExpired means that it is in the share, but the grant has ended. Never answered with 200: the leader may
	// have given the machine to another.
	GrantExpired
	// Answered means that the orders are the answer.
	Answered
	// ReportChanged means that the report says something new. The orders are the answer if none comes
	// from the leader in time; until then the worker waits.
	ReportChanged
	// LeaderRequired means that the report shows a task of which the leader has not been told. It
	// may be of a cancelled job, and only the leader's answer halts it: there is no other.
	LeaderRequired
)

// drift is what a grant loses for the clocks of the two sides: they may differ by
// 0.1 %, and timers fire late.
func drift(d time.Duration) time.Duration { return d/500 + 20*time.Millisecond }

// placement names a task of a machine.
type placement struct {
	task    string
	attempt uint64
}

// heldMachine is a machine of the share.
type heldMachine struct {
	// dropped: taken away; kept until what it reported before has been told.
	dropped       bool
	session, seq  uint64
	digest        uint64
	known         bool // the digest is that of a report
	reportedExits []placement
	settledExits  []placement
	// tasks are those that the last report in full shows and that have not exited,
	// acknowledged those of the last one that the leader has been told of.
	tasks             []placement
	acknowledgedTasks []placement
	// lastReport counts what has come, told those that the leader has. full is the last
	// report that differs from the one before, while fullAt is above told.
	lastReport, acknowledgedReport uint64
	fullReport                     []byte
	fullReportAt                   uint64
	reportedAt                     time.Time // of the last report
}

// Holder deals with a share under the grant of the leader. Its owner guards it.
type Holder struct {
	member, zone        string
	incarnation, seq    uint64
	term, lastReply     uint64
	grantUntil          time.Time
	machines            map[string]*heldMachine
	previousHosts       []string
	callResults         []CallResult
	reportsInFlight     map[string]uint64 // reports of the request under way, by machine
	callResultsInFlight int
}

// NewHolder makes a holder without a grant. Life must be higher than that of the
// member's process before.
func NewHolder(member, zone string, life uint64) *Holder {
	return &Holder{member: member, zone: zone, incarnation: life, machines: map[string]*heldMachine{}}
}

// GrantValid reports whether the grant of the term holds. It is asked at each sending.
func (h *Holder) GrantValid(term uint64, now time.Time) bool {
	return term != 0 && term == h.term && now.Before(h.grantUntil)
}

// Term is the term of the last grant; 0: none.
func (h *Holder) Term() uint64 { return h.term }

// digest sums up what of a report the leader acts on. The number of the report is
// left out: two that differ in it alone say the same.
func digest(m *wire.Report) uint64 {
	d := xxhash.New()
	num := func(n uint64) {
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = d.Write(b[:]) // never fails
	}
	text := func(s string) {
		num(uint64(len(s)))
		_, _ = d.WriteString(s) // never fails
	}
	num(m.Session)
	num(m.Token)
	text(m.Addr)
	for i := range m.Tasks {
		t := &m.Tasks[i]
		text(t.Task)
		num(t.Attempt)
		text(t.Phase)
		text(t.Cause)
		text(t.Health)
		if t.Saved {
			num(1)
		}
	}
	return d.Sum64()
}

// Report takes in a report of a worker. The orders of an answer are exits that the
// worker may forget; the leader's own go by its answer to a report that says
// something new, or by direct commands.
func (h *Holder) Report(m *wire.Report, body []byte, now time.Time) ([]wire.Order, Outcome) {
	k := h.machines[m.Host]
	if k == nil || k.dropped {
		return nil, NotHeld
	}
	if !now.Before(h.grantUntil) || m.Token > h.term {
		return nil, GrantExpired
	}
	if m.Session < k.session || (m.Session == k.session && m.Seq <= k.seq) {
		// Held back on its way. An answer would renew nothing that a newer one has not.
		return nil, GrantExpired
	}
	k.session, k.seq, k.reportedAt = m.Session, m.Seq, now
	k.lastReport++
	outcome := Answered
	d := digest(m)
	if !k.known || d != k.digest || m.Notice != nil {
		outcome = ReportChanged
		k.recordTasks(m)
	}
	if k.hasUnacknowledgedTask() {
		outcome = LeaderRequired
	}
	if outcome != Answered {
		k.digest, k.known = d, true
		k.fullReport, k.fullReportAt = slices.Clone(body), k.lastReport
	}
	orders := []wire.Order{}
	k.settledExits = slices.DeleteFunc(k.settledExits, func(e placement) bool { return !slices.Contains(k.reportedExits, e) })
	for _, e := range k.settledExits {
		orders = append(orders, wire.Order{Op: wire.Clear, Task: e.task, Attempt: e.attempt})
	}
	return orders, outcome
}

// recordTasks notes what a report shows.
func (k *heldMachine) recordTasks(m *wire.Report) {
	k.reportedExits, k.tasks = k.reportedExits[:0], k.tasks[:0]
	for i := range m.Tasks {
		t := &m.Tasks[i]
		if t.Phase == wire.Exited {
			k.reportedExits = append(k.reportedExits, placement{t.Task, t.Attempt})
		} else {
			k.tasks = append(k.tasks, placement{t.Task, t.Attempt})
		}
	}
}

// hasUnacknowledgedTask reports whether the last report shows a task of which the leader has not been told.
func (k *heldMachine) hasUnacknowledgedTask() bool {
	return slices.ContainsFunc(k.tasks, func(t placement) bool { return !slices.Contains(k.acknowledgedTasks, t) })
}

// acknowledge notes that the leader has been told of the reports up to that number.
func (k *heldMachine) acknowledge(report uint64) {
	k.acknowledgedReport = max(k.acknowledgedReport, report)
	if k.acknowledgedReport >= k.fullReportAt {
		k.acknowledgedTasks = append(k.acknowledgedTasks[:0], k.tasks...)
	}
}

// maxReportBytes bounds the reports in a request, and doneBytes those in the ends of
// commands: one more may come on top. The leader refuses larger messages, and a
// request that it refuses would be made again for ever.
const (
	maxReportBytes     = 128 << 10
	maxCallResultBytes = 64 << 10
)

// Request makes the next request. Until Granted or Missed no other is made.
func (h *Holder) Request(room, calls int, behind bool, now time.Time) *Request {
	h.seq++
	r := &Request{Member: h.member, Zone: h.zone, Incarnation: h.incarnation, Seq: h.seq, Term: h.term, Number: h.lastReply,
		Capacity: room, Calls: calls, Overloaded: behind, PreviousHosts: h.previousHosts}
	h.reportsInFlight, h.callResultsInFlight = map[string]uint64{}, 0
	size := 0
	for i := range h.callResults {
		if size > maxCallResultBytes {
			break
		}
		size += 64 + len(h.callResults[i].Report)
		r.CallResults = append(r.CallResults, h.callResults[i])
		h.callResultsInFlight++
	}
	for name, k := range h.machines {
		if k.lastReport == k.acknowledgedReport {
			continue
		}
		if size > maxReportBytes {
			r.More = true
			break
		}
		e := HostReport{Host: name, Session: k.session, Seq: k.seq, AgeMs: now.Sub(k.reportedAt).Milliseconds()}
		if k.fullReportAt > k.acknowledgedReport {
			e.Report = k.fullReport
		}
		size += 64 + len(e.Report)
		h.reportsInFlight[name] = k.lastReport
		r.Reports = append(r.Reports, e)
	}
	return r
}

// RequestFailed notes that a request had no answer: the next one says all again.
func (h *Holder) RequestFailed() { h.reportsInFlight, h.callResultsInFlight = nil, 0 }

// HandleReply takes in the reply to the request that was sent at the time given, and
// returns the commands to be sent.
func (h *Holder) HandleReply(r *Reply, sent time.Time) []Call {
	if r.Term == 0 || r.Term < h.term {
		h.RequestFailed()
		return nil
	}
	if r.Term > h.term || r.Reset {
		h.reset()
	} else {
		for name, n := range h.reportsInFlight {
			if k := h.machines[name]; k != nil {
				k.acknowledge(n)
			}
		}
		h.callResults = slices.Delete(h.callResults, 0, h.callResultsInFlight)
	}
	h.RequestFailed()
	h.term, h.lastReply, h.previousHosts = r.Term, r.Number, nil
	if r.ForMs > 0 {
		d := time.Duration(r.ForMs) * time.Millisecond
		h.grantUntil = sent.Add(d - drift(d))
	} else {
		h.grantUntil = time.Time{}
	}
	for _, name := range r.Drop {
		if k := h.machines[name]; k != nil {
			k.dropped, k.settledExits = true, nil
		}
	}
	for _, name := range r.Add {
		if k := h.machines[name]; k == nil {
			h.machines[name] = &heldMachine{}
		} else if k.dropped {
			// The leader has answered it meanwhile: its next report is told in full.
			k.dropped, k.known = false, false
		}
	}
	for name, k := range h.machines {
		if k.dropped && k.acknowledgedReport == k.lastReport {
			delete(h.machines, name)
		}
	}
	for i := range r.Clearances {
		h.settle(&r.Clearances[i])
	}
	return r.Calls
}

// settle notes exits that may be cleared. One that the last report does not show is
// dropped: the word is late, the exit has been cleared, and the same attempt of a
// gang may have come back since.
func (h *Holder) settle(s *ExitClearance) {
	k := h.machines[s.Host]
	if k == nil || k.dropped {
		return
	}
	for _, o := range s.Clears {
		if e := (placement{o.Task, o.Attempt}); slices.Contains(k.reportedExits, e) && !slices.Contains(k.settledExits, e) {
			k.settledExits = append(k.settledExits, e)
		}
	}
}

// reset forgets what was held in an earlier term, or by the leader's word.
func (h *Holder) reset() {
	clear(h.machines)
	h.callResults, h.grantUntil = nil, time.Time{}
}

// BecomeLeader forgets the share: the member leads itself.
func (h *Holder) BecomeLeader() {
	h.reset()
	h.previousHosts = nil
}

// EndTerm ends the grant of an earlier term. The leader of the new one is told what
// there was.
func (h *Holder) EndTerm() {
	h.grantUntil, h.previousHosts = time.Time{}, nil
	for name, k := range h.machines {
		if !k.dropped && k.known {
			h.previousHosts = append(h.previousHosts, name)
		}
	}
	slices.Sort(h.previousHosts)
}

// RecordCallResult notes what became of a command.
func (h *Holder) RecordCallResult(d CallResult) { h.callResults = append(h.callResults, d) }
