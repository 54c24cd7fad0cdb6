// Package fleet keeps the leader's ledger of the machines: which tasks may be on each
// machine, and the session, the lease and the message order of its worker. The package
// does no I/O and starts no goroutines. The leader's actor owns the ledger and passes the
// current time to it.
package fleet

import (
	"slices"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Fleet is the set of machines with the placements that may be on them.
type Fleet struct {
	// Term is the leader's term. A message from a worker that has seen a later term
	// deposes the leader.
	Term uint64
	// Lease is the time after which a worker whose reports go unanswered has certainly
	// ended its tasks. It includes the margin for clock drift and timer granularity that
	// New adds.
	Lease time.Duration
	// CancelTimeout bounds the time from the cancellation of a job, as confirmed to its
	// user, until none of its tasks is on a machine.
	CancelTimeout time.Duration
	// Machines holds the machines by name.
	Machines        map[string]*Machine
	order           []*Machine // the machines in the order in which they were added
	nextIndex       int
	freeIndexes     []int // indexes below nextIndex that no machine has
	slotsByJob      map[*job.Job]map[*Slot]struct{}
	awaitingCommand []*Machine // see AwaitingCommand
}

const (
	// maxClockDriftDivisor bounds the drift of a worker's clock: the clock may lose at most
	// 1/maxClockDriftDivisor of the elapsed time.
	maxClockDriftDivisor = 1000
	// timerMargin allows for the granularity of a worker's timers.
	timerMargin = 500 * time.Millisecond
)

// New returns an empty fleet for a term. It adds a margin for the drift of the worker's
// clock and the granularity of its timers to the lease.
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

// Add returns the machine with the given name and adds it if there is none. since is the
// latest time at which an earlier leader may have renewed the machine's lease, that is,
// the start of this term.
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

// AddWithIndex adds a machine whose index was read from the registry. All calls must
// precede the first call of Add, each with a different index.
func (f *Fleet) AddWithIndex(name string, idx int, since time.Time) *Machine {
	for ; f.nextIndex < idx; f.nextIndex++ {
		f.freeIndexes = append(f.freeIndexes, f.nextIndex)
	}
	f.nextIndex = max(f.nextIndex, idx+1)
	f.freeIndexes = slices.DeleteFunc(f.freeIndexes, func(i int) bool { return i == idx })
	return f.insert(name, idx, since)
}

// insert adds a machine with an unused index.
func (f *Fleet) insert(name string, idx int, since time.Time) *Machine {
	m := &Machine{
		Index:          idx,
		Name:           name,
		Token:          wire.FirstToken(f.Term),
		lastToken:      f.Term,
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

// ReleaseIndex makes the index of a removed machine available to other machines. The
// stored registry identifies machines by index, so it must no longer contain the machine.
func (f *Fleet) ReleaseIndex(idx int) { f.freeIndexes = append(f.freeIndexes, idx) }

// SlotsOf returns the slots of a job, including those of exited tasks that the worker
// still reports.
func (f *Fleet) SlotsOf(j *job.Job) map[*Slot]struct{} { return f.slotsByJob[j] }

// addSlot adds a slot to the index by machine and the index by job.
func (f *Fleet) addSlot(m *Machine, s *Slot) {
	m.Slots[s.PlacementKey] = s
	slots := f.slotsByJob[s.Job]
	if slots == nil {
		slots = map[*Slot]struct{}{}
		f.slotsByJob[s.Job] = slots
	}
	slots[s] = struct{}{}
	s.Job.AdjustLive(s.Task, 1)
}

// markAwaitingCommand adds a machine to the list behind AwaitingCommand.
func (f *Fleet) markAwaitingCommand(m *Machine) {
	if !m.awaitingCommand {
		m.awaitingCommand = true
		f.awaitingCommand = append(f.awaitingCommand, m)
	}
}

// AwaitingCommand returns the machines to which a launch or a halt has to be sent. The
// fleet keeps a list of them, because searching all slots of a large fleet after each
// message would take most of the leader's CPU time.
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

// awaitsCommand reports whether a launch or a halt has to be sent for the slot.
func (s *Slot) awaitsCommand() bool {
	return !s.LaunchSent || (s.Stopping && s.Active()) || (s.Machine.holder != nil && s.launchInFlight())
}

// AnyAwaitingCommand reports whether AwaitingCommand may return any machine.
func (f *Fleet) AnyAwaitingCommand() bool { return len(f.awaitingCommand) > 0 }

// Remove removes a machine that was returned to the cloud, with all its slots.
func (f *Fleet) Remove(m *Machine) []Event {
	events := f.removeSlots(m)
	delete(f.Machines, m.Name)
	for i, other := range f.order {
		if other == m {
			f.order = append(f.order[:i:i], f.order[i+1:]...)
			break
		}
	}
	return events
}

// removeSlots removes all slots of a machine that certainly runs no task any more.
func (f *Fleet) removeSlots(m *Machine) []Event {
	var events []Event
	for _, s := range m.Slots {
		events = append(events, f.removeSlot(m, s, Lost)...)
	}
	m.Recount()
	return events
}

// removeSlot removes a slot and returns an event of the given kind, or none if the exit
// of the task was already reported.
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
	s.Job.AdjustLive(s.Task, -1)
	s.Phase = wire.TaskExited
	return []Event{{Kind: kind, Slot: s}}
}

// Assign adds a placement to the ledger. The next answer or direct command to the machine
// carries its launch.
func (f *Fleet) Assign(m *Machine, k PlacementKey, now time.Time) *Slot {
	s := &Slot{PlacementKey: k, Machine: m, PlacedAt: now}
	f.addSlot(m, s)
	m.Recount()
	f.markAwaitingCommand(m)
	return s
}

// Stop requests that a task be stopped, with graceS seconds to save its progress. If its
// launch was not sent yet, the slot is removed at once. A second call can only shorten
// the grace period.
func (f *Fleet) Stop(s *Slot, graceS float64) []Event {
	if !s.Active() {
		return nil
	}
	if !s.LaunchSent {
		events := f.removeSlot(s.Machine, s, NeverStarted)
		s.Machine.Recount()
		return events
	}
	if !s.Stopping || graceS < s.GraceS {
		s.Stopping = true
		s.GraceS = graceS
		s.HaltSentAt = time.Time{}
		f.markAwaitingCommand(s.Machine)
	}
	s.Machine.Recount()
	return nil
}

// ExpireLeases removes the slots of all machines whose lease has certainly expired. lost
// is the number of these machines, not counting those that are booting or being returned
// to the cloud.
func (f *Fleet) ExpireLeases(now time.Time) (events []Event, lost int) {
	for _, m := range f.order {
		if m.Lost || m.answersKnownUntil(now).Sub(m.leaseRenewedAt) < f.Lease || now.Sub(m.directLaunchAt) < f.Lease {
			continue
		}
		m.Lost = true
		m.LostAt = now
		m.Fenced = false
		m.RenewalStopped = false
		events = append(events, f.removeSlots(m)...)
		if !m.Booting && !m.Releasing {
			lost++
		}
	}
	return events, lost
}

// SettleInherited settles the inherited machines whose worker has sent a message with
// this term or whose lease has expired. It returns the unsettled ones, which may still
// run tasks that an earlier leader launched.
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
