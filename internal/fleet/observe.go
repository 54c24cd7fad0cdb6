package fleet

import (
	"time"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Result says what Observe made of a message.
type Result struct {
	Events []Event
	// Fresh: the message is newer than all others of the worker.
	Fresh bool
	// Deposed: the worker has seen a later term than ours.
	Deposed bool
}

// Observe takes in a message. isReport is true for check-ins, whose answers
// renew the lease, and false for the answers to direct commands.
func (f *Fleet) Observe(h *Host, m *wire.Report, isReport bool, now time.Time, find func(id string) *job.Job) Result {
	if m.Token > f.Term {
		return Result{Deposed: true}
	}
	if isReport && h.Stale(m.Session, m.Seq) {
		return Result{}
	}
	// Even a report that is older than a direct answer may be the one that the worker
	// is waiting for: its answer renews the lease.
	if isReport && (!h.Lost || m.Session > h.Session) {
		if now.After(h.heard) {
			h.heard = now
		}
		if m.Session == h.Session {
			h.reported = m.Seq
		}
	}
	if m.Session < h.Session || (m.Session == h.Session && m.Seq <= h.seq) {
		return Result{}
	}
	// A held-back message of a session whose lease has certainly ended would
	// bring its dead tasks back.
	if h.Lost && m.Session == h.Session {
		return Result{}
	}
	r := Result{Fresh: true}
	deaf, hears := false, !isReport
	if isReport {
		h.MuteAt = time.Time{}
	}
	if m.Session > h.Session {
		if h.Session != 0 {
			if !isReport && !h.Mute() {
				h.MuteAt = now
			}
			// Its lease has run out although its reports were answered.
			deaf = isReport && !h.Lost && !h.Withheld
			r.Events = append(r.Events, f.drop(h)...)
			h.Images = nil
		}
		h.Session, h.Fenced, h.Withheld, h.reported = m.Session, false, false, 0
		if isReport {
			h.reported = m.Seq
		}
		h.Lost = false
		// A new session has its full lease from its own begin, which may be as late
		// as this message, whether or not a report was ever answered in it. Counting
		// from the last report alone would call tasks gone that a direct command has
		// just started.
		h.heard = now
	}
	h.seq, h.Booting, h.Unheard = m.Seq, false, false
	if m.Token == f.Term {
		h.Fenced = true
	}
	if m.Addr != "" {
		h.Addr = m.Addr
	}
	h.RecallAt = time.Time{}
	if m.Notice != nil {
		h.RecallAt = now.Add(time.Duration(max(0.001, *m.Notice) * float64(time.Second)))
	}
	h.messages++
	for i := range m.Tasks {
		t := &m.Tasks[i]
		id, task, ok := job.SplitTask(t.Task)
		if !ok {
			continue
		}
		j := find(id)
		if int(task) >= j.Tasks {
			continue // the job has no such task
		}
		k := Key{j, task, t.Attempt}
		s := h.Slots[k]
		if s == nil {
			s = &Slot{Key: k, Host: h, Adopted: true, At: now}
			if t.Phase == wire.Exited {
				s.Phase = wire.Pulling
			}
			f.link(h, s)
		}
		s.shown = h.messages
		hears = hears || (s.Sent && !s.Seen)
		s.Sent, s.Seen, s.Direct = true, true, false
		was := s.Phase
		if was == wire.Exited {
			continue
		}
		s.Phase, s.Cause, s.Saved = t.Phase, t.Cause, t.Saved
		if s.Health == wire.HealthGood && t.Health == wire.HealthBad {
			r.Events = append(r.Events, Event{Sickened, s})
		}
		s.Health = t.Health
		s.Judge(now)
		switch {
		case t.Phase == wire.Exited:
			j.AddLive(task, -1)
			r.Events = append(r.Events, Event{Ended, s})
		case t.Phase == wire.Running && was != wire.Running:
			s.RunAt = now
			r.Events = append(r.Events, Event{Started, s})
		}
	}
	for _, s := range h.Slots {
		switch {
		case s.shown == h.messages || !s.Sent:
		case s.Seen:
			r.Events = append(r.Events, f.remove(h, s, Gone)...)
		case s.Direct:
			// Settled by its own answer, a new session or the lease, not by this.
		case isReport && m.Seq > s.viaSeq:
			// One report is in flight at a time and late answers are dropped, so the
			// next report settles the launch. The answer to a direct command does
			// not: it can overtake the answer that carries the launch.
			r.Events = append(r.Events, f.remove(h, s, Never)...)
			deaf = true
		}
	}
	switch {
	case hears:
		h.DeafAt = time.Time{}
	case deaf:
		r.Events = append(r.Events, f.Deafen(h, now)...)
	}
	h.Recount()
	return r
}

// haltEvery is how often a halt is repeated while its task is still there.
const haltEvery = 1500 * time.Millisecond

// haltDue reports whether a halt is to be sent, again or for the first time. One that
// is saving is left to it, unless it has no time to save: its job is cancelled, and a
// lost halt would let it save for as long as it likes.
func (s *Slot) haltDue(now time.Time) bool {
	return s.Stopping && s.On() && (s.Halted.IsZero() || now.Sub(s.Halted) >= haltEvery && (s.Phase != wire.Saving || s.Grace == 0))
}

// doubtTime is how old a direct launch must be, that nothing has settled, before
// it is sent once more. A direct command ends sooner.
const doubtTime = 4 * time.Second

// doubtful reports whether a direct launch was perhaps lost: no report has shown
// it, and its call is over. Without a second copy it would hold its room, and its
// task, for as long as the worker goes on reporting.
func (s *Slot) doubtful(now time.Time) bool {
	return s.Sent && s.Direct && !s.Seen && s.On() && !s.Host.Calling && now.Sub(s.At) >= doubtTime &&
		now.Sub(s.again) >= doubtTime && s.Job.Closing+s.Job.Phase == ""
}
