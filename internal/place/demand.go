package place

import "vetchstream/internal/job"

// Demand is a job with tasks that wait for machines.
type Demand struct {
	// ID identifies the demand; it is above 0.
	ID       int
	Shape    job.Shape
	Priority job.Priority
	// Team indexes Input.Teams; -1 means none.
	Team int
	// Need is what each task takes.
	Need Resources
	// AllowedTypes tells, by Machine.Type, which machine types are allowed; nil means all.
	AllowedTypes []bool
	// Zone is the only allowed zone; -1 means any.
	Zone int
	// OneZone: all tasks must be in the same zone.
	OneZone bool
	// Spread: at most half of the tasks, rounded up, may be in one zone.
	Spread bool
	// Spot: spot machines are allowed.
	Spot bool
	// Image is the image that the tasks need, ImageGB its size.
	Image   int
	ImageGB float64
	// LastMachine is the Machine.ID of the job's last placement; -1 means none.
	LastMachine int
	// Total counts all tasks of the job.
	Total int
	// Pending are the tasks that this plan may place.
	Pending []int32
	// Waiting counts all tasks that wait for a machine; Pending may be a part of them.
	Waiting int
	// TasksByZone counts, per zone, the tasks of the job that may be running.
	TasksByZone []int
	// LatestStart is when the job has to start to be in time, in seconds since an origin that
	// all demands share. It orders demands of the same priority.
	LatestStart float64
	// MayPreempt: the demand may stop others' tasks in this plan.
	MayPreempt bool
	// WaitedS is for how long the demand has waited, in seconds.
	WaitedS float64
	// Overdue: nothing of the job has started for so long that it goes first, whatever its
	// priority.
	Overdue bool
	// EndsInS is in how many seconds a task that starts now is sure to have ended. It matters on
	// machines that the calendar holds and on those with maintenance due.
	EndsInS float64
	// Movable: a task can be stopped and go on elsewhere.
	Movable bool
	// FetchTooSlow: the job would be late if it had to fetch its image, so that preempting
	// tasks where the image is cached is better than a free machine without it.
	FetchTooSlow bool
	// CanDelay: the job has time for delay scheduling, leaving machines without its image to
	// demands that find theirs there.
	CanDelay bool
	// OnlyHeldMachines: the machines that the calendar holds for the demand are enough for it,
	// and it uses no others.
	OnlyHeldMachines bool
}
