package fleet

import (
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Machine is a rented machine, its worker's session and the placements that may be on it.
type Machine struct {
	// Index identifies the machine in sets. Indexes are dense: an index is reused once its
	// machine and the machine's stored record are removed.
	Index int
	Name  string
	// Addr is the address at which the worker accepts direct commands.
	Addr string
	// Type and Zone are indexes of the machine type and the zone, or -1 until Described.
	Type int
	Zone int
	// Spot reports whether the machine is a spot instance, which the cloud may reclaim.
	Spot       bool
	Described  bool // Type and Zone are known
	Registered bool // the stored registry contains the machine
	// Inherited reports whether an earlier leader registered the machine and this leader has
	// not settled it yet (see SettleInherited).
	Inherited bool
	// InheritedJobs lists the jobs that the registry contained for the machine at the start
	// of this term. It is nil once the machine is settled.
	InheritedJobs []InheritedJob
	// AddedAt is the time passed to Add or AddWithIndex when the machine was added.
	AddedAt time.Time
	Booting bool // no message of the worker has been observed yet

	// Token is the fencing token of the next message to the worker. It only rises, within the
	// tokens of the leader's term.
	Token uint64
	// lastToken is the highest token of the leader's term.
	lastToken uint64
	// Session is the newest session of the worker, a number that increases with each session.
	Session uint64
	// lastSeq is the sequence number of the newest message of the session, lastReportSeq that
	// of its newest report.
	lastSeq       uint64
	lastReportSeq uint64
	// overtaken reports whether a report was accepted since the newest message that is older
	// than that message.
	overtaken bool
	// listsReport reports whether the ledger's tasks of the machine are those that its newest
	// report lists. They are not if a later answer to a direct command has changed them, or
	// if the report is older than such an answer and was not applied.
	listsReport bool
	// TasksUnknown reports whether the ledger's tasks of the machine are outdated: its holder
	// has reported that the worker's tasks are those of an earlier report, which the ledger
	// does not contain.
	TasksUnknown bool
	// InboundCutSince is the time since which the worker is known not to receive messages,
	// although its reports may still arrive (see partition.go). It is zero if the worker
	// receives messages.
	InboundCutSince time.Time
	// CallUnanswered reports whether a direct command was not answered and no message has
	// been observed since.
	CallUnanswered bool
	// OutboundCutSince is the time since which the worker is known to be alive but unable to
	// reach a controller: its answer to a direct command showed a new session, and no report
	// has arrived since. A task launched there would end when the lease expires. The time is
	// zero if the worker reaches the controllers.
	OutboundCutSince time.Time
	// RenewalStopped reports whether the controllers leave the worker's reports unanswered
	// until its session has ended (see renewal.go).
	RenewalStopped bool
	// Fenced reports whether the worker has sent a message with a token of this term, and thus
	// refuses commands of earlier leaders.
	Fenced bool
	// leaseRenewedAt is the latest time at which an answer of this leader, one of its holders
	// or an earlier leader may have renewed the worker's lease.
	leaseRenewedAt time.Time
	// directLaunchAt is when a direct launch was last sent. A worker that has restarted, and
	// whose messages count as stale, may run the launched task for one lease from then on.
	directLaunchAt time.Time
	// holder is the controller that answers the machine's reports, or nil for the leader.
	holder *Holder
	// Lost reports whether the lease has certainly expired, so that no task is left on the
	// machine. LostAt is when the leader found that out.
	Lost   bool
	LostAt time.Time
	// ReclaimAt is when the cloud will reclaim the machine, according to the notice in the
	// worker's last message. It is zero without a notice.
	ReclaimAt time.Time

	// Slots holds the placements that may be on the machine.
	Slots        map[PlacementKey]*Slot
	CallInFlight bool // a direct command has been sent and its call has not returned
	// NextCallAt is the earliest time for the next direct command. CallFailures counts the
	// consecutive direct commands that failed.
	NextCallAt   time.Time
	CallFailures int
	Releasing    bool      // the leader has decided to return it to the cloud
	Quarantined  bool      // considered faulty; it gets no launches again
	IdleSince    time.Time // when the machine became idle

	// TaskFailures counts consecutive task failures without a known cause. FailedJobs is the
	// set of jobs of these tasks.
	TaskFailures int
	FailedJobs   map[*job.Job]bool
	// SlowTasks counts consecutive tasks that ran much longer here than on other machines.
	SlowTasks int
	// Images is the estimated content of the image cache, ordered by last use, the most
	// recently used image last.
	Images []CachedImage

	// Recount updates the following totals over the placements.

	// UsedCPUs, UsedGPUs and UsedMemGB are the resources reserved by active placements.
	UsedCPUs, UsedGPUs, UsedMemGB float64
	// ActiveTasks counts the active placements, WaitingTasks those among them whose task does
	// not run yet.
	WaitingTasks, ActiveTasks int
	// ReportedExits counts the exits that the worker still reports.
	ReportedExits int
	// CancelledInFlight counts the direct launches of cancelled jobs that may still be on
	// their way.
	CancelledInFlight int

	messageCount    uint64 // number of fresh messages observed
	awaitingCommand bool   // Fleet.awaitingCommand contains the machine
}

// InheritedJob is a job that an earlier leader may have launched on a machine.
type InheritedJob struct {
	ID   string
	Team int // index of the team, or -1 if unknown
}

// CachedImage is an image in a machine's cache.
type CachedImage struct {
	Index  int
	SizeGB float64
}

// HasImage reports whether the image is probably cached on the machine.
func (m *Machine) HasImage(image int) bool {
	for _, cached := range m.Images {
		if cached.Index == image {
			return true
		}
	}
	return false
}

// UseImage records the use of an image. It evicts the least recently used other images
// until the rest fits into cacheGB.
func (m *Machine) UseImage(image int, sizeGB, cacheGB float64) {
	for i, cached := range m.Images {
		if cached.Index == image {
			m.Images = append(append(m.Images[:i:i], m.Images[i+1:]...), cached)
			return
		}
	}
	m.Images = append(m.Images, CachedImage{Index: image, SizeGB: sizeGB})
	totalGB := 0.0
	for _, cached := range m.Images {
		totalGB += cached.SizeGB
	}
	for len(m.Images) > 1 && totalGB > cacheGB {
		totalGB -= m.Images[0].SizeGB
		m.Images = m.Images[1:]
	}
}

// Recount recomputes the totals over the placements.
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

// TokensUsedUp reports whether Token is the last one of the leader's term. The machine then gets
// launches in answers to reports only.
func (m *Machine) TokensUsedUp() bool { return m.Token >= m.lastToken }

// SinceLastReport returns the time since the machine's last report, as far as the leader
// knows it from the renewals of the lease.
func (m *Machine) SinceLastReport(now time.Time) time.Duration { return now.Sub(m.leaseRenewedAt) }

// Busy reports whether any task may be on the machine.
func (m *Machine) Busy() bool { return m.ActiveTasks > 0 }

// Usable reports whether the machine may get launches. A machine with a launch of a
// cancelled job in flight may not: the controllers may have to let its session end, which
// ends every task that runs there.
func (m *Machine) Usable() bool {
	return m.Described && m.Registered && m.Fenced && !m.Lost && !m.Releasing && !m.Quarantined && m.ReclaimAt.IsZero() &&
		!m.InboundCut() && !m.CallUnanswered && !m.OutboundCut() && !m.RenewalStopped && m.CancelledInFlight == 0
}
