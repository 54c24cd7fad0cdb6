// Package fleet keeps the workers' sessions, the order of their messages, and
// the one ledger of what may be on each machine. It does no I/O and has no
// goroutine: the leader's actor owns it and passes the time in.
package fleet

import (
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Key names one placement.
type Key struct {
	Job     *job.Job
	Task    int32
	Attempt uint64
}

// Slot is a placement that may be on a machine.
type Slot struct {
	Key
	Host *Host
	// Phase is the worker's word, or empty before the first one.
	Phase string
	Cause string
	Saved bool
	// Health is the worker's word on a running replica, Checked what the last check
	// of it said (the same words; empty: nothing).
	Health, Checked string
	// BadAt is since when either has said that it is bad; zero: neither does.
	BadAt time.Time
	// Sent: the launch has left, or may have. Before that the slot only holds
	// its room.
	Sent bool
	// Seen: a message of this session has shown the slot.
	Seen bool
	// Direct: launched by a direct command; such a launch is not settled by a
	// report that lacks it, because it can arrive minutes later.
	Direct bool
	// viaSeq is the report whose answer carried the launch.
	viaSeq uint64
	// again is when a direct launch without a clear answer was last sent once more.
	// A copy of such a launch may still arrive: the exit is not cleared while it can.
	again time.Time
	At    time.Time
	RunAt time.Time
	// Adopted: met in a report, so its begin is not known.
	Adopted bool
	// Stopping: the placement has to go; Grace is the time to save, Halted when
	// the last halt was sent.
	Stopping bool
	Grace    float64
	Halted   time.Time
	// Settled: the exit has been dealt with, durably where it matters, so the
	// worker may forget it.
	Settled bool
	// shown is the last message of the worker that has the slot, by Host.messages.
	shown uint64
}

// Judge notes since when the slot has been bad, after a word on its health.
func (s *Slot) Judge(now time.Time) {
	switch bad := s.Health == wire.HealthBad || s.Checked == wire.HealthBad; {
	case !bad:
		s.BadAt = time.Time{}
	case s.BadAt.IsZero():
		s.BadAt = now
	}
}

// On reports whether the task may take room on its machine.
func (s *Slot) On() bool { return s.Phase != wire.Exited }

// EventKind says what became of a slot.
type EventKind uint8

const (
	// Started means that the slot was first seen running.
	Started EventKind = iota
	// Ended means that the worker reports the exit; the slot stays until it is cleared.
	Ended
	// Gone means that the slot has certainly left without a word about its result.
	Gone
	// Never means that the launch was certainly not executed.
	Never
	// Sickened means that the worker says that a replica that was good is bad.
	Sickened
)

// Event tells the leader about a slot.
type Event struct {
	Kind EventKind
	Slot *Slot
}

// Host is a machine.
type Host struct {
	// Idx is dense: it is used again once the machine and its record are gone.
	Idx     int
	Name    string
	Addr    string
	Type    int
	Zone    int
	Spot    bool
	Known   bool // type and zone are known
	Durable bool // in the registry
	// Inherited: registered by an earlier leader and not settled since.
	Inherited bool
	// Old are the jobs that the registry named when this term began; they hold
	// until the machine is settled.
	Old     []Past
	Born    time.Time
	Booting bool // never heard of

	Session uint64
	seq     uint64
	// reported is the newest report of the session; seq may be that of a direct answer.
	reported uint64
	// DeafAt is since when the worker has shown that it takes in nothing that is sent
	// to it; zero: it has not. Its reports may come all the while.
	DeafAt time.Time
	// Unheard: a direct command had no answer, and nothing was heard since.
	Unheard bool
	// MuteAt is since when the worker is known to live and to reach no controller: its
	// answer to a direct command tells of a new session, and no report has come since.
	// Whatever is launched there dies with its lease. Zero: it is not.
	MuteAt time.Time
	// Fenced: the worker has sent a message with our own term.
	Fenced bool
	// heard is the last moment from which an answer of ours, of a holder of ours or of
	// an earlier leader, may have renewed the worker's lease.
	heard time.Time
	// directAt is when a launch was last sent directly. A worker that has begun anew, and
	// whose messages count as old, may have it for a lease from then.
	directAt time.Time
	// holder is the controller that answers the machine's reports; nil: the leader.
	holder *Holder
	// Lost: the lease has run out without a message; nothing is on the machine.
	Lost     bool
	LostAt   time.Time
	RecallAt time.Time // zero: no notice

	Slots map[Key]*Slot
	// Calling: a direct command is under way.
	Calling bool
	// NextCall holds back direct commands after failures, Failures in a row.
	NextCall  time.Time
	Failures  int
	Releasing bool
	Draining  bool // no more launches, ever
	IdleFrom  time.Time

	// Errors counts unexplained failures in a row; ErrorJobs their jobs.
	Errors    int
	ErrorJobs map[*job.Job]bool
	// Slow counts tasks in a row that ran far longer than elsewhere.
	Slow int
	// Images is the cache as far as it can be told, most recent last.
	Images []Image

	// What the placements take, kept by recount.
	CPUs, GPUs, MemGB float64
	Queue, Jobs       int
	// Exits counts the exits that the worker still reports.
	Exits int

	messages uint64
	awake    bool
}

// Holder is a controller that answers the reports of machines in the leader's
// place (package share).
type Holder struct {
	Name string
	// Told is up to when all that it has answered is known. A machine that it deals
	// with can only be judged as of then: a later answer may have renewed its lease.
	Told time.Time
}

// Holder is who answers the machine's reports; nil: the leader.
func (h *Host) Holder() *Holder { return h.holder }

// Hold notes that a holder may answer the machine's reports from now on.
func (h *Host) Hold(by *Holder) { h.holder = by }

// Unhold notes that the holder does not any more; it may have until the moment
// given.
func (h *Host) Unhold(until time.Time) {
	if h.holder == nil {
		return
	}
	h.holder = nil
	if !h.Lost && until.After(h.heard) {
		h.heard = until
	}
}

// asOf is the time up to which all answers to the machine's reports are known.
func (h *Host) asOf(now time.Time) time.Time {
	if h.holder != nil && h.holder.Told.Before(now) {
		return h.holder.Told
	}
	return now
}

// Stale reports whether a report is older than another that was taken in: a copy, or
// one that was held back. The worker does not wait for its answer any more, so that
// renews nothing, and what is sent in it arrives nowhere.
func (h *Host) Stale(session, seq uint64) bool {
	return session < h.Session || (session == h.Session && seq <= h.reported)
}

// Renew takes in that the holder has answered a report which said the same as the
// one before. A launch in an answer to an earlier report did not arrive, or the
// report would have shown it.
func (f *Fleet) Renew(h *Host, session, seq uint64, at time.Time) (ev []Event) {
	if session != h.Session || h.Lost || h.Stale(session, seq) {
		return nil
	}
	h.reported = seq
	if at.After(h.heard) {
		h.heard = at
	}
	if seq <= h.seq {
		return nil
	}
	h.seq, h.Unheard, h.MuteAt = seq, false, time.Time{}
	for _, s := range h.Slots {
		if s.Sent && !s.Seen && !s.Direct && seq > s.viaSeq {
			ev = append(ev, f.remove(h, s, Never)...)
		}
	}
	if ev != nil {
		ev = append(ev, f.Deafen(h, at)...)
		h.Recount()
	}
	return ev
}

// Deafen notes that the worker has not taken in what was sent to it. It gets no
// launches, and what waits to be sent goes elsewhere, until a message shows that it
// hears again. What has been sent stays possible: it may have arrived after the
// worker's last word.
func (f *Fleet) Deafen(h *Host, now time.Time) []Event {
	if h.DeafAt.IsZero() {
		h.DeafAt = now
	}
	return f.Withdraw(h)
}

// Withdraw takes back what waits to be sent to a machine.
func (f *Fleet) Withdraw(h *Host) (ev []Event) {
	for _, s := range h.Slots {
		if !s.Sent {
			ev = append(ev, f.remove(h, s, Never)...)
		}
	}
	h.Recount()
	return ev
}

// Mute reports whether the worker is known to live and to reach no controller.
func (h *Host) Mute() bool { return !h.MuteAt.IsZero() }

// Deaf reports whether the worker is known not to take in what is sent to it.
func (h *Host) Deaf() bool { return !h.DeafAt.IsZero() }

// Past is a job that an earlier leader may have launched on a machine. The team
// is kept for a job that is over, and is -1 where it is not known.
type Past struct {
	ID   string
	Team int
}

// Image is a cached image.
type Image struct {
	Idx int
	GB  float64
}

// Has reports whether the image is thought to be cached.
func (h *Host) Has(image int) bool {
	for _, i := range h.Images {
		if i.Idx == image {
			return true
		}
	}
	return false
}

// Touch notes the use of an image; cacheGB bounds the cache.
func (h *Host) Touch(image int, gb, cacheGB float64) {
	for i, im := range h.Images {
		if im.Idx == image {
			h.Images = append(append(h.Images[:i:i], h.Images[i+1:]...), im)
			return
		}
	}
	h.Images = append(h.Images, Image{image, gb})
	sum := 0.0
	for _, im := range h.Images {
		sum += im.GB
	}
	for len(h.Images) > 1 && sum > cacheGB {
		sum -= h.Images[0].GB
		h.Images = h.Images[1:]
	}
}

// Fleet is the set of machines and the ledger.
type Fleet struct {
	Term  uint64
	Lease time.Duration // including the margin
	Hosts map[string]*Host
	order []*Host
	next  int
	spare []int // indices below next that are free
	jobs  map[*job.Job]map[*Slot]struct{}
	awake []*Host
}

// New makes an empty fleet for a term. The lease is lengthened by the drift of
// the worker's clock and a margin for the granularity of its timers.
func New(term uint64, lease time.Duration) *Fleet {
	return &Fleet{Term: term, Lease: lease + lease/1000 + 500*time.Millisecond, Hosts: map[string]*Host{},
		jobs: map[*job.Job]map[*Slot]struct{}{}}
}

// All returns the machines in the order in which they were met.
func (f *Fleet) All() []*Host { return f.order }

// Add returns the machine of that name, making it if need be. A machine that is
// already registered may have been renewed by an earlier leader as late as
// since, the start of this term.
func (f *Fleet) Add(name string, since time.Time) *Host {
	if h := f.Hosts[name]; h != nil {
		return h
	}
	idx := f.next
	if n := len(f.spare); n > 0 {
		idx, f.spare = f.spare[n-1], f.spare[:n-1]
	} else {
		f.next++
	}
	return f.insert(name, idx, since)
}

// AddAt is Add for a machine whose index the registry names. All of these come
// before the first Add, and no index twice.
func (f *Fleet) AddAt(name string, idx int, since time.Time) *Host {
	for ; f.next < idx; f.next++ {
		f.spare = append(f.spare, f.next)
	}
	f.next = max(f.next, idx+1)
	f.spare = slices.DeleteFunc(f.spare, func(i int) bool { return i == idx })
	return f.insert(name, idx, since)
}

func (f *Fleet) insert(name string, idx int, since time.Time) *Host {
	h := &Host{Idx: idx, Name: name, Type: -1, Zone: -1, Born: since, Booting: true, heard: since, IdleFrom: since,
		Slots: map[Key]*Slot{}, ErrorJobs: map[*job.Job]bool{}}
	f.Hosts[name] = h
	f.order = append(f.order, h)
	return h
}

// Free gives the index of a machine that is gone back. The registry must not
// name the machine any more: two machines of one index would be one to it.
func (f *Fleet) Free(idx int) { f.spare = append(f.spare, idx) }

// On returns the slots of a job, exits that are still reported included.
func (f *Fleet) On(j *job.Job) map[*Slot]struct{} { return f.jobs[j] }

func (f *Fleet) link(h *Host, s *Slot) {
	h.Slots[s.Key] = s
	of := f.jobs[s.Job]
	if of == nil {
		of = map[*Slot]struct{}{}
		f.jobs[s.Job] = of
	}
	of[s] = struct{}{}
	s.Job.AddLive(s.Task, 1)
}

// wake puts a machine on the list of those that wait for a command.
func (f *Fleet) wake(h *Host) {
	if !h.awake {
		h.awake = true
		f.awake = append(f.awake, h)
	}
}

// Awake returns the machines that have a launch or a halt to come. It is kept as
// a list because a look at every slot of a large fleet after each message would
// take most of the processor.
func (f *Fleet) Awake() []*Host {
	f.awake = slices.DeleteFunc(f.awake, func(h *Host) bool {
		for _, s := range h.Slots {
			if !s.Sent || (s.Stopping && s.On()) || (h.holder != nil && s.Direct && !s.Seen) {
				return false
			}
		}
		h.awake = false
		return true
	})
	return f.awake
}

// Waits reports whether any machine is on that list.
func (f *Fleet) Waits() bool { return len(f.awake) > 0 }

// Remove forgets a machine whose release was answered: everything on it is gone.
func (f *Fleet) Remove(h *Host) []Event {
	ev := f.drop(h)
	delete(f.Hosts, h.Name)
	for i, o := range f.order {
		if o == h {
			f.order = append(f.order[:i:i], f.order[i+1:]...)
			break
		}
	}
	return ev
}

func (f *Fleet) drop(h *Host) []Event {
	var ev []Event
	for _, s := range h.Slots {
		ev = append(ev, f.remove(h, s, Gone)...)
	}
	h.Recount()
	return ev
}

func (f *Fleet) remove(h *Host, s *Slot, kind EventKind) []Event {
	delete(h.Slots, s.Key)
	if of := f.jobs[s.Job]; of != nil {
		delete(of, s)
		if len(of) == 0 {
			delete(f.jobs, s.Job)
		}
	}
	if !s.On() {
		return nil
	}
	s.Job.AddLive(s.Task, -1)
	s.Phase = wire.Exited
	return []Event{{kind, s}}
}

// Recount sums up what the placements take.
func (h *Host) Recount() {
	h.CPUs, h.GPUs, h.MemGB, h.Queue, h.Jobs, h.Exits = 0, 0, 0, 0, 0, 0
	for _, s := range h.Slots {
		if !s.On() {
			h.Exits++
			continue
		}
		h.CPUs += s.Job.CPUs
		h.GPUs += s.Job.GPUs
		h.MemGB += s.Job.MemGB
		h.Jobs++
		if s.Phase != wire.Running && s.Phase != wire.Saving {
			h.Queue++
		}
	}
}

// Silent is how long no report has come from the machine.
func (h *Host) Silent(now time.Time) time.Duration { return now.Sub(h.heard) }

// Busy reports whether anything may be on the machine.
func (h *Host) Busy() bool { return h.Jobs > 0 }

// Usable reports whether the machine may get launches.
func (h *Host) Usable() bool {
	return h.Known && h.Durable && h.Fenced && !h.Lost && !h.Releasing && !h.Draining && h.RecallAt.IsZero() && !h.Deaf() && !h.Unheard && !h.Mute()
}

// Assign puts a placement into the ledger; its launch is sent by the next answer
// or direct command.
func (f *Fleet) Assign(h *Host, k Key, now time.Time) *Slot {
	s := &Slot{Key: k, Host: h, At: now}
	f.link(h, s)
	h.Recount()
	f.wake(h)
	return s
}

// Stop marks a placement to be stopped. A placement that was never sent goes at
// once; a second call can only shorten the grace.
func (f *Fleet) Stop(s *Slot, grace float64) []Event {
	if !s.On() {
		return nil
	}
	if !s.Sent {
		ev := f.remove(s.Host, s, Never)
		s.Host.Recount()
		return ev
	}
	if !s.Stopping || grace < s.Grace {
		s.Stopping, s.Grace, s.Halted = true, grace, time.Time{}
		f.wake(s.Host)
	}
	return nil
}

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
			deaf = isReport && !h.Lost
			r.Events = append(r.Events, f.drop(h)...)
			h.Images = nil
		}
		h.Session, h.Fenced, h.reported = m.Session, false, 0
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

func grace(g float64) *float64 { return &g }

// Compose makes the orders for a machine and marks the launches as sent. seq is
// the report that is answered; 0: a direct command, which carries no clear.
// Launches are left out for a stale report and while a direct command is under
// way, whose order against this answer is not known.
func (f *Fleet) Compose(h *Host, seq uint64, launches bool, now time.Time, limit int) (orders []wire.Order, sent []*Slot, ev []Event) {
	orders = []wire.Order{}
	for _, s := range h.Slots {
		if len(orders) >= limit {
			break
		}
		name := func() string { return job.TaskName(s.Job.ID, s.Task) }
		switch {
		case !s.Sent:
			if s.Job.Closing != "" || s.Job.Phase != "" {
				// The abort's commit may have been sent after the placement.
				ev = append(ev, f.remove(h, s, Never)...)
				continue
			}
			if !launches || !h.Fenced || !h.Durable || h.Lost || !s.Job.Noted.Has(h.Idx) {
				continue
			}
			s.Sent, s.Direct, s.viaSeq, s.At = true, seq == 0, seq, now
			if seq == 0 {
				h.directAt = now
			}
			sent = append(sent, s)
			orders = append(orders, wire.Order{Op: wire.Launch, Task: name(), Attempt: s.Attempt})
		case (seq != 0 || h.holder != nil) && launches && h.Fenced && s.doubtful(now):
			// The worker has it once, whichever copy comes first, as long as its exit is
			// not cleared. One that has to go is launched to be stopped: an exit settles it.
			s.again = now
			orders = append(orders, wire.Order{Op: wire.Launch, Task: name(), Attempt: s.Attempt})
			if s.Stopping {
				s.Halted = now
				orders = append(orders, wire.Order{Op: wire.Halt, Task: name(), Attempt: s.Attempt, Grace: grace(s.Grace)})
			}
		case s.haltDue(now):
			s.Halted = now
			orders = append(orders, wire.Order{Op: wire.Halt, Task: name(), Attempt: s.Attempt, Grace: grace(s.Grace)})
		case seq != 0 && !s.On() && s.Settled && s.again.IsZero():
			orders = append(orders, wire.Order{Op: wire.Clear, Task: name(), Attempt: s.Attempt})
		}
	}
	h.Recount()
	return orders, sent, ev
}

// Clears are the exits that the worker may forget, for the next answer of the
// holder.
func (h *Host) Clears(limit int) (orders []wire.Order) {
	if h.Exits == 0 {
		return nil
	}
	for _, s := range h.Slots {
		if !s.On() && s.Settled && s.again.IsZero() && len(orders) < limit {
			orders = append(orders, wire.Order{Op: wire.Clear, Task: job.TaskName(s.Job.ID, s.Task), Attempt: s.Attempt})
		}
	}
	return orders
}

// Urgent reports whether something waits that is worth a direct command.
func (h *Host) Urgent(now time.Time) bool {
	for _, s := range h.Slots {
		if !s.Sent && h.Usable() && s.Job.Noted.Has(h.Idx) {
			return true
		}
		if h.holder != nil && s.doubtful(now) {
			return true // its reports are answered without us
		}
		if s.haltDue(now) {
			return true
		}
	}
	return false
}

// Unsent settles launches of a direct command that was certainly not executed.
func (f *Fleet) Unsent(slots []*Slot) []Event {
	var ev []Event
	for _, s := range slots {
		if s.Host.Slots[s.Key] == s && s.Direct && !s.Seen && s.again.IsZero() {
			ev = append(ev, f.remove(s.Host, s, Never)...)
			s.Host.Recount()
		}
	}
	return ev
}

// Expire settles what is on machines whose lease has certainly ended, and counts
// these machines.
func (f *Fleet) Expire(now time.Time) (ev []Event, lost int) {
	for _, h := range f.order {
		if h.Lost || h.asOf(now).Sub(h.heard) < f.Lease || now.Sub(h.directAt) < f.Lease {
			continue
		}
		h.Lost, h.LostAt, h.Fenced = true, now, false
		ev = append(ev, f.drop(h)...)
		if !h.Booting && !h.Releasing {
			lost++
		}
	}
	return ev, lost
}

// Settle notes which machines have been met, or have lost their lease, since the
// takeover, and returns those that may still run what an earlier leader launched.
func (f *Fleet) Settle() (open []*Host) {
	for _, h := range f.order {
		if h.Inherited && (h.Fenced || h.Lost) {
			h.Inherited, h.Old = false, nil
		}
		if h.Inherited {
			open = append(open, h)
		}
	}
	return open
}
