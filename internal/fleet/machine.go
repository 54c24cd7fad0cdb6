package fleet

import (
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Machine is a machine.
type Machine struct {
	// Index identifies the machine in sets. Indexes are dense: one is used again once its
	// machine and the record of it are gone.
	Index int
	// Name is the machine's name, Addr the address of its worker for direct commands.
	Name string
	Addr string
	// Type and Zone are indices of the machine type and zone; -1 until Described.
	Type int
	Zone int
	// Spot: a spot (preemptible) instance.
	Spot       bool
	Described  bool // type and zone are known
	Registered bool // in the registry
	// Inherited: registered by an earlier leader and not settled since.
	Inherited bool
	// InheritedJobs are the jobs that the registry named for the machine when this term
	// began, until the machine is settled.
	InheritedJobs []InheritedJob
	// AddedAt is the time that was passed to Add or AddWithIndex when the machine entered the
	// ledger.
	AddedAt time.Time
	Booting bool // no message has come yet

	// Session is the newest session of the worker, a number that rises with each start.
	Session uint64
	// lastSeq is the number of the newest message of the session, reportSeq that of the
	// newest report.
	lastSeq       uint64
	lastReportSeq uint64
	// InboundCutSince is since when the worker is known not to receive what is sent to it;
	// zero: it is not. Its reports may still come (partition.go).
	InboundCutSince time.Time
	// CallUnanswered: a direct command had no answer, and no message has come since.
	CallUnanswered bool
	// OutboundCutSince is since when the worker is known to be alive and to reach no
	// controller: its answer to a direct command has shown a new session, and no report
	// has come since. A task that is launched there ends with its lease. Zero: it is not.
	OutboundCutSince time.Time
	// RenewalStopped: the worker's reports go unanswered until its session has ended
	// (renewal.go).
	RenewalStopped bool
	// Fenced: the worker has sent a message with this leader's term.
	Fenced bool
	// leaseRenewedAt is the latest time at which an answer of this leader, of one of its
	// holders or of an earlier leader may have renewed the worker's lease.
	leaseRenewedAt time.Time
	// directLaunchAt is when a launch was last sent by direct command. A worker that was
	// restarted, and whose messages count as stale, may run the task for a lease from
	// then.
	directLaunchAt time.Time
	// holder is the controller that answers the machine's reports; nil: the leader.
	holder *Holder
	// Lost: the lease has expired without a message; nothing is on the machine.
	Lost bool
	// LostAt is when the machine was found Lost.
	LostAt time.Time
	// ReclaimAt is when the cloud reclaims the machine, according to the notice in the
	// worker's last message; zero: no notice.
	ReclaimAt time.Time

	// Slots are the placements that may be on the machine.
	Slots map[PlacementKey]*Slot
	// CallInFlight: a direct command is under way.
	CallInFlight bool
	// NextCallAt is when the next direct command may be sent, after a number of
	// consecutive CallFailures.
	NextCallAt   time.Time
	CallFailures int
	Releasing    bool      // its release from the cloud is decided
	Quarantined  bool      // faulty: no more launches, ever
	IdleSince    time.Time // when the machine became idle

	// TaskFailures counts consecutive unexplained failures of tasks; FailedJobs are their jobs.
	TaskFailures int
	FailedJobs   map[*job.Job]bool
	// SlowTasks counts consecutive tasks that ran far longer than elsewhere.
	SlowTasks int
	// Images is the estimated content of the image cache, most recently used last.
	Images []CachedImage

	// The sums over the placements, updated by Recount.

	// UsedCPUs, UsedGPUs and UsedMemGB are the resources that the placements take.
	UsedCPUs, UsedGPUs, UsedMemGB float64
	// ActiveTasks counts the active placements, WaitingTasks those of them that do not run yet.
	WaitingTasks, ActiveTasks int
	// ReportedExits counts the exits that the worker still reports.
	ReportedExits int
	// CancelledInFlight counts the launches of cancelled jobs that may not have arrived
	// yet.
	CancelledInFlight int

	messageCount    uint64 // counts the fresh messages of the worker
	awaitingCommand bool   // in Fleet.awaitingCommand
}

// InheritedJob is a job that an earlier leader may have launched on a machine.
type InheritedJob struct {
	ID   string
	Team int // index of the team; -1: not known
}

// CachedImage is a cached image.
type CachedImage struct {
	// Index is the image's index, SizeGB its size in gigabytes.
	Index  int
	SizeGB float64
}

// HasImage reports whether the image is thought to be cached.
func (m *Machine) HasImage(image int) bool {
	for _, i := range m.Images {
		if i.Index == image {
			return true
		}
	}
	return false
}

// UseImage notes the use of an image of gb gigabytes; cacheGB bounds the cache.
func (m *Machine) UseImage(image int, gb, cacheGB float64) {
	for i, im := range m.Images {
		if im.Index == image {
			m.Images = append(append(m.Images[:i:i], m.Images[i+1:]...), im)
			return
		}
	}
	m.Images = append(m.Images, CachedImage{Index: image, SizeGB: gb})
	sum := 0.0
	for _, im := range m.Images {
		sum += im.SizeGB
	}
	for len(m.Images) > 1 && sum > cacheGB {
		sum -= m.Images[0].SizeGB
		m.Images = m.Images[1:]
	}
}

// Recount recomputes the sums over the placements.
func (m *Machine) Recount() {
	m.UsedCPUs = 0
	m.UsedGPUs = 0
	m.UsedMemGB = 0
	m.WaitingTasks = 0
	m.ActiveTasks = 0
	m.ReportedExits = 0
	m.CancelledInFlight = 0
	for _, s := range m.Slots {
		if !s.Active() {
			m.ReportedExits++
			continue
		}
		m.UsedCPUs += s.Job.CPUs
		m.UsedGPUs += s.Job.GPUs
		m.UsedMemGB += s.Job.MemGB
		m.ActiveTasks++
		if s.Phase != wire.TaskRunning && s.Phase != wire.TaskCheckpointing {
			m.WaitingTasks++
		}
		if s.cancelPending() && s.launchInFlight() {
			m.CancelledInFlight++
		}
	}
}

// SinceLastReport is how long no report has come from the machine.
func (m *Machine) SinceLastReport(now time.Time) time.Duration { return now.Sub(m.leaseRenewedAt) }

// Busy reports whether anything may be on the machine.
func (m *Machine) Busy() bool { return m.ActiveTasks > 0 }

// Usable reports whether the machine may get launches. It may not while a launch of a
// cancelled job may not have arrived yet: the worker's session may have to end for that,
// and with it every task that runs there.
func (m *Machine) Usable() bool {
	return m.Described && m.Registered && m.Fenced && !m.Lost && !m.Releasing && !m.Quarantined && m.ReclaimAt.IsZero() &&
		!m.InboundCut() && !m.CallUnanswered && !m.OutboundCut() && !m.RenewalStopped && m.CancelledInFlight == 0
}
