// Package fleet records the workers' sessions, the order of their messages, and
// the one ledger of what may be on each machine. It does no I/O and has no
// goroutine: the leader's actor owns it and passes the time in.
package fleet

import (
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Fleet is the set of machines and the ledger of the placements that may be on
// them.
type Fleet struct {
	// Term is the leader's term; a worker that has seen a later one deposes it.
	Term uint64
	// Lease is how long an answered report holds a worker's placements, with the
	// margin for clock drift and timer granularity that New adds.
	Lease time.Duration
	// CancelTime is how long after its user was told a task of a cancelled job may be on a
	// machine.
	CancelTime time.Duration
	// Hosts are the machines by name.
	Hosts           map[string]*Host
	order           []*Host
	nextIndex       int
	freeIndexes     []int // indices below next that are free
	slotsByJob      map[*job.Job]map[*Slot]struct{}
	awaitingCommand []*Host
}

// New makes an empty fleet for a term. The lease is lengthened by the drift of
// the worker's clock and a margin for the granularity of its timers.
func New(term uint64, lease, cancelTime time.Duration) *Fleet {
	return &Fleet{Term: term, Lease: lease + lease/1000 + 500*time.Millisecond, CancelTime: cancelTime, Hosts: map[string]*Host{},
		slotsByJob: map[*job.Job]map[*Slot]struct{}{}}
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
	idx := f.nextIndex
	if n := len(f.freeIndexes); n > 0 {
		idx, f.freeIndexes = f.freeIndexes[n-1], f.freeIndexes[:n-1]
	} else {
		f.nextIndex++
	}
	return f.insert(name, idx, since)
}

// AddAt is Add for a machine whose index the registry names. All of these come
// before the first Add, and no index twice.
func (f *Fleet) AddAt(name string, idx int, since time.Time) *Host {
	for ; f.nextIndex < idx; f.nextIndex++ {
		f.freeIndexes = append(f.freeIndexes, f.nextIndex)
	}
	f.nextIndex = max(f.nextIndex, idx+1)
	f.freeIndexes = slices.DeleteFunc(f.freeIndexes, func(i int) bool { return i == idx })
	return f.insert(name, idx, since)
}

func (f *Fleet) insert(name string, idx int, since time.Time) *Host {
	h := &Host{Index: idx, Name: name, Type: -1, Zone: -1, AddedAt: since, Booting: true, renewedAt: since, IdleFrom: since,
		Slots: map[Key]*Slot{}, ErrorJobs: map[*job.Job]bool{}}
	f.Hosts[name] = h
	f.order = append(f.order, h)
	return h
}

// FreeIndex gives the index of a machine that is gone back. The registry must not
// name the machine any more: two machines of one index would be one to it.
func (f *Fleet) FreeIndex(idx int) { f.freeIndexes = append(f.freeIndexes, idx) }

// SlotsOf returns the slots of a job, exits that are still reported included.
func (f *Fleet) SlotsOf(j *job.Job) map[*Slot]struct{} { return f.slotsByJob[j] }

func (f *Fleet) addSlot(h *Host, s *Slot) {
	h.Slots[s.Key] = s
	of := f.slotsByJob[s.Job]
	if of == nil {
		of = map[*Slot]struct{}{}
		f.slotsByJob[s.Job] = of
	}
	of[s] = struct{}{}
	s.Job.AddLive(s.Task, 1)
}

// markAwaitingCommand puts a machine on the list of those that wait for a command.
func (f *Fleet) markAwaitingCommand(h *Host) {
	if !h.awaitingCommand {
		h.awaitingCommand = true
		f.awaitingCommand = append(f.awaitingCommand, h)
	}
}

// AwaitingCommand returns the machines that have a launch or a halt to come. It is kept as
// a list because a look at every slot of a large fleet after each message would
// take most of the processor.
func (f *Fleet) AwaitingCommand() []*Host {
	f.awaitingCommand = slices.DeleteFunc(f.awaitingCommand, func(h *Host) bool {
		for _, s := range h.Slots {
			if s.awaitsCommand() {
				return false
			}
		}
		h.awaitingCommand = false
		return true
	})
	return f.awaitingCommand
}

// awaitsCommand reports whether a launch or a halt of the slot is to come.
func (s *Slot) awaitsCommand() bool {
	return !s.Sent || (s.Stopping && s.Active()) || (s.Host.holder != nil && s.inFlight())
}

// AnyAwaitingCommand reports whether any machine is on that list.
func (f *Fleet) AnyAwaitingCommand() bool { return len(f.awaitingCommand) > 0 }

// Remove forgets a machine whose release was answered: everything on it is gone.
func (f *Fleet) Remove(h *Host) []Event {
	ev := f.removeSlots(h)
	delete(f.Hosts, h.Name)
	for i, o := range f.order {
		if o == h {
			f.order = append(f.order[:i:i], f.order[i+1:]...)
			break
		}
	}
	return ev
}

func (f *Fleet) removeSlots(h *Host) []Event {
	var ev []Event
	for _, s := range h.Slots {
		ev = append(ev, f.removeSlot(h, s, Gone)...)
	}
	h.Recount()
	return ev
}

func (f *Fleet) removeSlot(h *Host, s *Slot, kind EventKind) []Event {
	delete(h.Slots, s.Key)
	if of := f.slotsByJob[s.Job]; of != nil {
		delete(of, s)
		if len(of) == 0 {
			delete(f.slotsByJob, s.Job)
		}
	}
	if !s.Active() {
		return nil
	}
	s.Job.AddLive(s.Task, -1)
	s.Phase = wire.Exited
	return []Event{{kind, s}}
}

// Assign puts a placement into the ledger; its launch is sent by the next answer
// or direct command.
func (f *Fleet) Assign(h *Host, k Key, now time.Time) *Slot {
	s := &Slot{Key: k, Host: h, PlacedAt: now}
	f.addSlot(h, s)
	h.Recount()
	f.markAwaitingCommand(h)
	return s
}

// Stop marks a placement to be stopped. A placement that was never sent goes at
// once; a second call can only shorten the grace.
func (f *Fleet) Stop(s *Slot, grace float64) []Event {
	if !s.Active() {
		return nil
	}
	if !s.Sent {
		ev := f.removeSlot(s.Host, s, NeverStarted)
		s.Host.Recount()
		return ev
	}
	if !s.Stopping || grace < s.Grace {
		s.Stopping, s.Grace, s.HaltSentAt = true, grace, time.Time{}
		f.markAwaitingCommand(s.Host)
	}
	s.Host.Recount()
	return nil
}

// Expire settles what is on machines whose lease has certainly ended, and counts
// these machines.
func (f *Fleet) Expire(now time.Time) (ev []Event, lost int) {
	for _, h := range f.order {
		if h.Lost || h.knownUntil(now).Sub(h.renewedAt) < f.Lease || now.Sub(h.directLaunchAt) < f.Lease {
			continue
		}
		h.Lost, h.LostAt, h.Fenced, h.RenewalStopped = true, now, false, false
		ev = append(ev, f.removeSlots(h)...)
		if !h.Booting && !h.Releasing {
			lost++
		}
	}
	return ev, lost
}

// SettleInherited notes which machines have been met, or have lost their lease, since the
// takeover, and returns those that may still run what an earlier leader launched.
func (f *Fleet) SettleInherited() (open []*Host) {
	for _, h := range f.order {
		if h.Inherited && (h.Fenced || h.Lost) {
			h.Inherited, h.InheritedJobs = false, nil
		}
		if h.Inherited {
			open = append(open, h)
		}
	}
	return open
}
