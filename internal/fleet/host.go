package fleet

import (
	"time"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// Host is a machine.
type Host struct {
	// Index is dense: it is used again once the machine and its record are gone.
	Index int
	// Name is the machine's name, Addr the address of its worker for direct commands.
	Name string
	Addr string
	// Type and Zone are indices of the machine type and zone; -1 until Known.
	Type int
	Zone int
	// Spot: a spot (preemptible) instance.
	Spot    bool
	Known   bool // type and zone are known
	Durable bool // in the registry
	// Inherited: registered by an earlier leader and not settled since.
	Inherited bool
	// InheritedJobs are the jobs that the registry named when this term began; they hold
	// until the machine is settled.
	InheritedJobs []InheritedJob
	// AddedAt is the time that was passed to Add or AddAt when the machine entered the
	// ledger.
	AddedAt time.Time
	Booting bool // never heard of

	// Session is the worker's newest session (agent incarnation) that was heard of.
	Session uint64
	seq     uint64
	// reportSeq is the newest report of the session; seq may be that of a direct answer.
	reportSeq uint64
	// InboundCutAt is since when the worker has shown that it takes in nothing that is sent
	// to it; zero: it has not. Its reports may come all the while.
	InboundCutAt time.Time
	// CallUnanswered: a direct command had no answer, and nothing was heard since.
	CallUnanswered bool
	// OutboundCutAt is since when the worker is known to live and to reach no controller: its
	// answer to a direct command tells of a new session, and no report has come since.
	// Whatever is launched there dies with its lease. Zero: it is not.
	OutboundCutAt time.Time
	// RenewalStopped: the worker's reports go unanswered until its session has ended (renewal.go).
	RenewalStopped bool
	// Fenced: the worker has sent a message with our own term.
	Fenced bool
	// renewedAt is the last moment from which an answer of ours, of a holder of ours or of
	// an earlier leader, may have renewed the worker's lease.
	renewedAt time.Time
	// directLaunchAt is when a launch was last sent directly. A worker that has begun anew, and
	// whose messages count as old, may have it for a lease from then.
	directLaunchAt time.Time
	// holder is the controller that answers the machine's reports; nil: the leader.
	holder *Holder
	// Lost: the lease has run out without a message; nothing is on the machine.
	Lost bool
	// LostAt is when the machine was found Lost.
	LostAt time.Time
	// RecallAt is when the machine is taken back, as a notice in the worker's report
	// said; zero: no notice.
	RecallAt time.Time

	// Slots are the placements that may be on the machine.
	Slots map[Key]*Slot
	// CallInFlight: a direct command is under way.
	CallInFlight bool
	// NextCallAt holds back direct commands after failures, Failures in a row.
	NextCallAt time.Time
	Failures   int
	Releasing  bool
	Draining   bool // no more launches, ever
	IdleFrom   time.Time

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
	// ReportedExits counts the exits that the worker still reports.
	ReportedExits int
	// CancelledInFlight counts the launches of cancelled jobs that may still be on their way.
	CancelledInFlight int

	messages        uint64
	awaitingCommand bool
}

// OutboundCut reports whether the worker is known to live and to reach no controller.
func (h *Host) OutboundCut() bool { return !h.OutboundCutAt.IsZero() }

// InboundCut reports whether the worker is known not to take in what is sent to it.
func (h *Host) InboundCut() bool { return !h.InboundCutAt.IsZero() }

// InheritedJob is a job that an earlier leader may have launched on a machine. The team
// is kept for a job that is over, and is -1 where it is not known.
type InheritedJob struct {
	ID   string
	Team int
}

// Image is a cached image.
type Image struct {
	// Index is the image's index, GB its size in gigabytes.
	Index int
	GB    float64
}

// HasImage reports whether the image is thought to be cached.
func (h *Host) HasImage(image int) bool {
	for _, i := range h.Images {
		if i.Index == image {
			return true
		}
	}
	return false
}

// UseImage notes the use of an image; cacheGB bounds the cache.
func (h *Host) UseImage(image int, gb, cacheGB float64) {
	for i, im := range h.Images {
		if im.Index == image {
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

// Recount sums up what the placements take.
func (h *Host) Recount() {
	h.CPUs, h.GPUs, h.MemGB, h.Queue, h.Jobs, h.ReportedExits, h.CancelledInFlight = 0, 0, 0, 0, 0, 0, 0
	for _, s := range h.Slots {
		if !s.Active() {
			h.ReportedExits++
			continue
		}
		h.CPUs += s.Job.CPUs
		h.GPUs += s.Job.GPUs
		h.MemGB += s.Job.MemGB
		h.Jobs++
		if s.Phase != wire.Running && s.Phase != wire.Saving {
			h.Queue++
		}
		if s.cancelPending() && s.inFlight() {
			h.CancelledInFlight++
		}
	}
}

// SilentFor is how long no report has come from the machine.
func (h *Host) SilentFor(now time.Time) time.Duration { return now.Sub(h.renewedAt) }

// Busy reports whether anything may be on the machine.
func (h *Host) Busy() bool { return h.Jobs > 0 }

// Usable reports whether the machine may get launches. Where one of a cancelled job may
// still be on its way the session may have to end, and with it whatever runs by then.
func (h *Host) Usable() bool {
	return h.Known && h.Durable && h.Fenced && !h.Lost && !h.Releasing && !h.Draining && h.RecallAt.IsZero() &&
		!h.InboundCut() && !h.CallUnanswered && !h.OutboundCut() && !h.RenewalStopped && h.CancelledInFlight == 0
}
