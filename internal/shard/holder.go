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

// held is a machine of the share.
type held struct {
	// dropped: taken away; kept until what it reported before has been told.
	dropped      bool
	session, seq uint64
	digest       uint64
	known        bool // the digest is that of a report
	exits        []placement
	settled      []placement
	// tasks are those that the last report in full shows and that have not exited,
	// acknowledged those of the last one that the leader has been told of.
	tasks        []placement
	acknowledged []placement
	// reports counts what has come, told those that the leader has. full is the last
	// report that differs from the one before, while fullAt is above told.
	reports, told uint64
	full          []byte
	fullAt        uint64
	at            time.Time // of the last report
}

// Holder deals with a share under the grant of the leader. Its owner guards it.
type Holder struct {
	member, zone string
	life, seq    uint64
	term, number uint64
	until        time.Time
	machines     map[string]*held
	have         []string
	done         []CallResult
	flight       map[string]uint64 // reports of the request under way, by machine
	sentDone     int
}

// NewHolder makes a holder without a grant. Life must be higher than that of the
// member's process before.
func NewHolder(member, zone string, life uint64) *Holder {
	return &Holder{member: member, zone: zone, life: life, machines: map[string]*held{}}
}

// GrantValid reports whether the grant of the term holds. It is asked at each sending.
func (h *Holder) GrantValid(term uint64, now time.Time) bool {
	return term != 0 && term == h.term && now.Before(h.until)
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
	if !now.Before(h.until) || m.Token > h.term {
		return nil, GrantExpired
	}
	if m.Session < k.session || (m.Session == k.session && m.Seq <= k.seq) {
		// Held back on its way. An answer would renew nothing that a newer one has not.
		return nil, GrantExpired
	}
	k.session, k.seq, k.at = m.Session, m.Seq, now
	k.reports++
	outcome := Answered
	d := digest(m)
	if !k.known || d != k.digest || m.Notice != nil {
		outcome = ReportChanged
		k.list(m)
	}
	if k.untold() {
		outcome = LeaderRequired
	}
	if outcome != Answered {
		k.digest, k.known = d, true
		k.full, k.fullAt = slices.Clone(body), k.reports
	}
	orders := []wire.Order{}
	k.settled = slices.DeleteFunc(k.settled, func(e placement) bool { return !slices.Contains(k.exits, e) })
	for _, e := range k.settled {
		orders = append(orders, wire.Order{Op: wire.Clear, Task: e.task, Attempt: e.attempt})
	}
	return orders, outcome
}

// list notes what a report shows.
func (k *held) list(m *wire.Report) {
	k.exits, k.tasks = k.exits[:0], k.tasks[:0]
	for i := range m.Tasks {
		t := &m.Tasks[i]
		if t.Phase == wire.Exited {
			k.exits = append(k.exits, placement{t.Task, t.Attempt})
		} else {
			k.tasks = append(k.tasks, placement{t.Task, t.Attempt})
		}
	}
}

// untold reports whether the last report shows a task of which the leader has not been told.
func (k *held) untold() bool {
	return slices.ContainsFunc(k.tasks, func(t placement) bool { return !slices.Contains(k.acknowledged, t) })
}

// acknowledge notes that the leader has been told of the reports up to that number.
func (k *held) acknowledge(report uint64) {
	k.told = max(k.told, report)
	if k.told >= k.fullAt {
		k.acknowledged = append(k.acknowledged[:0], k.tasks...)
	}
}

// requestBytes bounds the reports in a request, and doneBytes those in the ends of
// commands: one more may come on top. The leader refuses larger messages, and a
// request that it refuses would be made again for ever.
const (
	requestBytes = 128 << 10
	doneBytes    = 64 << 10
)

// Request makes the next request. Until Granted or Missed no other is made.
func (h *Holder) Request(room, calls int, behind bool, now time.Time) *Request {
	h.seq++
	r := &Request{Member: h.member, Zone: h.zone, Incarnation: h.life, Seq: h.seq, Term: h.term, Number: h.number,
		Capacity: room, Calls: calls, Overloaded: behind, PreviousHosts: h.have}
	h.flight, h.sentDone = map[string]uint64{}, 0
	size := 0
	for i := range h.done {
		if size > doneBytes {
			break
		}
		size += 64 + len(h.done[i].Report)
		r.CallResults = append(r.CallResults, h.done[i])
		h.sentDone++
	}
	for name, k := range h.machines {
		if k.reports == k.told {
			continue
		}
		if size > requestBytes {
			r.More = true
			break
		}
		e := HostReport{Host: name, Session: k.session, Seq: k.seq, AgeMs: now.Sub(k.at).Milliseconds()}
		if k.fullAt > k.told {
			e.Report = k.full
		}
		size += 64 + len(e.Report)
		h.flight[name] = k.reports
		r.Reports = append(r.Reports, e)
	}
	return r
}

// RequestFailed notes that a request had no answer: the next one says all again.
func (h *Holder) RequestFailed() { h.flight, h.sentDone = nil, 0 }

// HandleReply takes in the reply to the request that was sent at the time given, and
// returns the commands to be sent.
func (h *Holder) HandleReply(r *Reply, sent time.Time) []Call {
	if r.Term == 0 || r.Term < h.term {
		h.RequestFailed()
		return nil
	}
	if r.Term > h.term || r.Reset {
		h.forget()
	} else {
		for name, n := range h.flight {
			if k := h.machines[name]; k != nil {
				k.acknowledge(n)
			}
		}
		h.done = slices.Delete(h.done, 0, h.sentDone)
	}
	h.RequestFailed()
	h.term, h.number, h.have = r.Term, r.Number, nil
	if r.ForMs > 0 {
		d := time.Duration(r.ForMs) * time.Millisecond
		h.until = sent.Add(d - drift(d))
	} else {
		h.until = time.Time{}
	}
	for _, name := range r.Drop {
		if k := h.machines[name]; k != nil {
			k.dropped, k.settled = true, nil
		}
	}
	for _, name := range r.Add {
		if k := h.machines[name]; k == nil {
			h.machines[name] = &held{}
		} else if k.dropped {
			// The leader has answered it meanwhile: its next report is told in full.
			k.dropped, k.known = false, false
		}
	}
	for name, k := range h.machines {
		if k.dropped && k.told == k.reports {
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
		if e := (placement{o.Task, o.Attempt}); slices.Contains(k.exits, e) && !slices.Contains(k.settled, e) {
			k.settled = append(k.settled, e)
		}
	}
}

// forget forgets what was held in an earlier term, or by the leader's word.
func (h *Holder) forget() {
	clear(h.machines)
	h.done, h.until = nil, time.Time{}
}

// BecomeLeader forgets the share: the member leads itself.
func (h *Holder) BecomeLeader() {
	h.forget()
	h.have = nil
}

// EndTerm ends the grant of an earlier term. The leader of the new one is told what
// there was.
func (h *Holder) EndTerm() {
	h.until, h.have = time.Time{}, nil
	for name, k := range h.machines {
		if !k.dropped && k.known {
			h.have = append(h.have, name)
		}
	}
	slices.Sort(h.have)
}

// RecordCallResult notes what became of a command.
func (h *Holder) RecordCallResult(d CallResult) { h.done = append(h.done, d) }
