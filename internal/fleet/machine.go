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
	// seq is the number of the newest message of the session, reportSeq that of the
	// newest report.
	seq       uint64
	reportSeq uint64
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
	// renewedAt is the latest time at which an answer of this leader, of one of its
	// holders or of an earlier leader may have renewed the worker's lease.
	renewedAt time.Time
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

	messages        uint64 // counts the fresh messages of the worker
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
func (h *Machine) HasImage(image int) bool {
	for _, i := range h.Images {
		if i.Index == image {
			return true
		}
	}
	return false
}

// UseImage notes the use of an image of gb gigabytes; cacheGB bounds the cache.
func (h *Machine) UseImage(image int, gb, cacheGB float64) {
	for i, im := range h.Images {
		if im.Index == image {
			h.Images = append(append(h.Images[:i:i], h.Images[i+1:]...), im)
			return
		}
	}
	h.Images = append(h.Images, CachedImage{Index: image, SizeGB: gb})
	sum := 0.0
	for _, im := range h.Images {
		sum += im.SizeGB
	}
	for len(h.Images) > 1 && sum > cacheGB {
		sum -= h.Images[0].SizeGB
		h.Images = h.Images[1:]
	}
}

// Recount recomputes the sums over the placements.
func (h *Machine) Recount() {
	h.UsedCPUs = 0
	h.UsedGPUs = 0
	h.UsedMemGB = 0
	h.WaitingTasks = 0
	h.ActiveTasks = 0
	h.ReportedExits = 0
	h.CancelledInFlight = 0
	for _, s := range h.Slots {
		if !s.Active() {
			h.ReportedExits++
			continue
		}
		h.UsedCPUs += s.Job.CPUs
		h.UsedGPUs += s.Job.GPUs
		h.UsedMemGB += s.Job.MemGB
		h.ActiveTasks++
		if s.Phase != wire.TaskRunning && s.Phase != wire.TaskCheckpointing {
			h.WaitingTasks++
		}
		if s.cancelPending() && s.inFlight() {
			h.CancelledInFlight++
		}
	}
}

// SinceLastReport is how long no report has come from the machine.
func (h *Machine) SinceLastReport(now time.Time) time.Duration { return now.Sub(h.renewedAt) }

// Busy reports whether anything may be on the machine.
func (h *Machine) Busy() bool { return h.ActiveTasks > 0 }

// Usable reports whether the machine may get launches. It may not while a launch of a
// cancelled job may not have arrived yet: the worker's session may have to end for that,
// and with it every task that runs there.
func (h *Machine) Usable() bool {
	return h.Described && h.Registered && h.Fenced && !h.Lost && !h.Releasing && !h.Quarantined && h.ReclaimAt.IsZero() &&
		!h.InboundCut() && !h.CallUnanswered && !h.OutboundCut() && !h.RenewalStopped && h.CancelledInFlight == 0
}
