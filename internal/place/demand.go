package place

import "vetchstream/internal/job"

// Demand is a job with tasks that have to be placed.
type Demand struct {
	// ID identifies the demand. It is positive.
	ID       int
	Shape    job.Shape
	Priority job.Priority
	// Team is an index into Input.Teams, or -1 for none.
	Team int
	// Need is the resources of each task.
	Need Resources
	// AllowedTypes reports, by Machine.Type, which machine types are allowed. Nil allows all.
	AllowedTypes []bool
	// Zone is the only allowed zone, or -1 for any.
	Zone int
	// OneZone requires all tasks to be in the same zone.
	OneZone bool
	// Spread allows at most half of the tasks, rounded up, in one zone.
	Spread bool
	// Spot allows spot machines.
	Spot bool
	// Image is the index of the image that the tasks need, ImageGB its size.
	Image   int
	ImageGB float64
	// LastMachine is the Machine.ID of the job's last placement, or -1 for none.
	LastMachine int
	// Total is the number of all tasks of the job.
	Total int
	// Pending lists the tasks that this plan may place.
	Pending []int32
	// Waiting is the number of all tasks without a machine, which may be more than Pending.
	Waiting int
	// TasksByZone is the number of tasks of the job that may be running, by zone.
	TasksByZone []int
	// LatestStart is the latest time at which the job may start to meet its deadline, in
	// seconds since an origin that all demands share. It orders demands of equal priority.
	LatestStart float64
	// MayPreempt allows the plan to preempt tasks of other jobs for the demand.
	MayPreempt bool
	// WaitedS is the time in seconds since the demand began to wait.
	WaitedS float64
	// Overdue reports whether the job has waited for its first task for so long that it
	// precedes all other demands, regardless of priority.
	Overdue bool
	// EndsInS is the time in seconds within which a task that starts now has certainly ended.
	// It matters on machines that the calendar holds or on which maintenance is due.
	EndsInS float64
	// Movable reports whether a task can be stopped and continued on another machine.
	Movable bool
	// FetchTooSlow reports whether the job would be late if it had to fetch its image. Such a
	// job rather preempts tasks on machines that have the image than use free ones without it.
	FetchTooSlow bool
	// CanDelay reports whether the job has time for delay scheduling, that is, for leaving
	// machines without its image to demands whose image they have.
	CanDelay bool
	// OnlyHeldMachines restricts the demand to the machines that the calendar holds for it,
	// because these suffice.
	OnlyHeldMachines bool
}
