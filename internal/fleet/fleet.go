// Package fleet holds the ledger of which task placements may be on each machine,
// with the workers' sessions, leases and message order. It does no I/O and has no
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
	// CancelTimeout is how long a task of a cancelled job may still be on a machine after its
	// user was told.
	CancelTimeout time.Duration
	// Machines are the machines by name.
	Machines        map[string]*Machine
	order           []*Machine // in the order in which they were added
	nextIndex       int
	freeIndexes     []int // those below nextIndex that no machine has
	slotsByJob      map[*job.Job]map[*Slot]struct{}
	awaitingCommand []*Machine // see AwaitingCommand
}

const (
	// maxClockDriftDivisor is how slow a worker's clock may be: one part in that many.
	maxClockDriftDivisor = 1000
	// timerMargin is for the granularity of a worker's timers.
	timerMargin = 500 * time.Millisecond
)

// New makes an empty fleet for a term. The lease is extended by the drift of the
// worker's clock and the granularity of its timers.
func New(term uint64, lease, cancelTime time.Duration) *Fleet {
	return &Fleet{
		Term:          term,
		Lease:         lease + lease/maxClockDriftDivisor + timerMargin,
		CancelTimeout: cancelTime,
		Machines:      map[string]*Machine{},
		slotsByJob:    map[*job.Job]map[*Slot]struct{}{},
	}
}

// All returns the machines in the order in which they were added.
func (f *Fleet) All() []*Machine { return f.order }

// Add returns the machine of that name, and adds it if there is none. An earlier leader
// may have renewed its lease as late as since, the start of this term.
func (f *Fleet) Add(name string, since time.Time) *Machine {
	if m := f.Machines[name]; m != nil {
		return m
	}
	idx := f.nextIndex
	if n := len(f.freeIndexes); n > 0 {
		idx, f.freeIndexes = f.freeIndexes[n-1], f.freeIndexes[:n-1]
	} else {
		f.nextIndex++
	}
	return f.insert(name, idx, since)
}

// AddWithIndex is Add for a machine whose index is known from the registry. All calls come
// before the first Add, and no index comes twice.
func (f *Fleet) AddWithIndex(name string, idx int, since time.Time) *Machine {
	for ; f.nextIndex < idx; f.nextIndex++ {
		f.freeIndexes = append(f.freeIndexes, f.nextIndex)
	}
	f.nextIndex = max(f.nextIndex, idx+1)
	f.freeIndexes = slices.DeleteFunc(f.freeIndexes, func(i int) bool { return i == idx })
	return f.insert(name, idx, since)
}

// insert adds a machine under an index that is free.
func (f *Fleet) insert(name string, idx int, since time.Time) *Machine {
	m := &Machine{
		Index:          idx,
		Name:           name,
		Type:           -1,
		Zone:           -1,
		AddedAt:        since,
		Booting:        true,
		leaseRenewedAt: since,
		IdleSince:      since,
		Slots:          map[PlacementKey]*Slot{},
		FailedJobs:     map[*job.Job]bool{},
	}
	f.Machines[name] = m
	f.order = append(f.order, m)
	return m
}

// ReleaseIndex returns the index of a machine that is gone, to be used again. The stored
// registry must no longer name the machine: it tells machines apart by their index.
func (f *Fleet) ReleaseIndex(idx int) { f.freeIndexes = append(f.freeIndexes, idx) }

// SlotsOf returns the slots of a job, including exits that are still reported.
func (f *Fleet) SlotsOf(j *job.Job) map[*Slot]struct{} { return f.slotsByJob[j] }

// addSlot adds a slot to its machine and its job.
func (f *Fleet) addSlot(m *Machine, s *Slot) {
	m.Slots[s.PlacementKey] = s
	slots := f.slotsByJob[s.Job]
	if slots == nil {
		slots = map[*Slot]struct{}{}
		f.slotsByJob[s.Job] = slots
	}
	slots[s] = struct{}{}
	s.Job.AddLive(s.Task, 1)
}

// markAwaitingCommand adds a machine to the list that AwaitingCommand returns.
func (f *Fleet) markAwaitingCommand(m *Machine) {
	if !m.awaitingCommand {
		m.awaitingCommand = true
		f.awaitingCommand = append(f.awaitingCommand, m)
	}
}

// AwaitingCommand returns the machines to which a launch or a halt is to be sent. The
// fleet has a list of them, because a search of all slots of a large fleet after each
// message would take most of the processor time.
func (f *Fleet) AwaitingCommand() []*Machine {
	f.awaitingCommand = slices.DeleteFunc(f.awaitingCommand, func(m *Machine) bool {
		for _, s := range m.Slots {
			if s.awaitsCommand() {
				return false
			}
		}
		m.awaitingCommand = false
		return true
	})
	return f.awaitingCommand
}

// awaitsCommand reports whether a launch or a halt of the slot is to be sent.
func (s *Slot) awaitsCommand() bool {
	return !s.LaunchSent || (s.Stopping && s.Active()) || (s.Machine.holder != nil && s.launchInFlight())
}

// AnyAwaitingCommand reports whether AwaitingCommand may return any machine.
func (f *Fleet) AnyAwaitingCommand() bool { return len(f.awaitingCommand) > 0 }

// Remove removes a machine that was returned to the cloud: everything on it is gone.
func (f *Fleet) Remove(m *Machine) []Event {
	ev := f.removeSlots(m)
	delete(f.Machines, m.Name)
	for i, o := range f.order {
		if o == m {
			f.order = append(f.order[:i:i], f.order[i+1:]...)
			break
		}
	}
	return ev
}

// removeSlots removes all slots of a machine on which nothing is left.
func (f *Fleet) removeSlots(m *Machine) []Event {
	var ev []Event
	for _, s := range m.Slots {
		ev = append(ev, f.removeSlot(m, s, Lost)...)
	}
	m.Recount()
	return ev
}

// removeSlot removes a slot; kind says what has become of its task. There is an event
// unless the exit was reported before.
func (f *Fleet) removeSlot(m *Machine, s *Slot, kind EventKind) []Event {
	delete(m.Slots, s.PlacementKey)
	if slots := f.slotsByJob[s.Job]; slots != nil {
		delete(slots, s)
		if len(slots) == 0 {
			delete(f.slotsByJob, s.Job)
		}
	}
	if !s.Active() {
		return nil
	}
	s.Job.AddLive(s.Task, -1)
	s.Phase = wire.TaskExited
	return []Event{{Kind: kind, Slot: s}}
}

// Assign adds a placement to the ledger; the next answer or direct command carries its
// launch.
func (f *Fleet) Assign(m *Machine, k PlacementKey, now time.Time) *Slot {
	s := &Slot{PlacementKey: k, Machine: m, PlacedAt: now}
	f.addSlot(m, s)
	m.Recount()
	f.markAwaitingCommand(m)
	return s
}

// Stop has a placement stopped, with grace seconds to save its progress. A placement
// that was not sent is removed at once. A second call can only shorten the grace.
func (f *Fleet) Stop(s *Slot, grace float64) []Event {
	if !s.Active() {
		return nil
	}
	if !s.LaunchSent {
		ev := f.removeSlot(s.Machine, s, NeverStarted)
		s.Machine.Recount()
		return ev
	}
	if !s.Stopping || grace < s.GraceS {
		s.Stopping = true
		s.GraceS = grace
		s.HaltSentAt = time.Time{}
		f.markAwaitingCommand(s.Machine)
	}
	s.Machine.Recount()
	return nil
}

// ExpireLeases removes what is on machines whose lease has certainly expired. lost counts
// these machines, except those that are booting or being returned.
func (f *Fleet) ExpireLeases(now time.Time) (ev []Event, lost int) {
	for _, m := range f.order {
		if m.Lost || m.answersKnownUntil(now).Sub(m.leaseRenewedAt) < f.Lease || now.Sub(m.directLaunchAt) < f.Lease {
			continue
		}
		m.Lost = true
		m.LostAt = now
		m.Fenced = false
		m.RenewalStopped = false
		ev = append(ev, f.removeSlots(m)...)
		if !m.Booting && !m.Releasing {
			lost++
		}
	}
	return ev, lost
}

// SettleInherited settles the inherited machines whose worker has sent a message with
// this term, or whose lease has expired, and returns those that may still run tasks
// which an earlier leader launched.
func (f *Fleet) SettleInherited() (unsettled []*Machine) {
	for _, m := range f.order {
		if m.Inherited && (m.Fenced || m.Lost) {
			m.Inherited = false
			m.InheritedJobs = nil
		}
		if m.Inherited {
			unsettled = append(unsettled, m)
		}
	}
	return unsettled
}
