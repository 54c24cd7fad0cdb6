// Package metrics records a controller's counters, gauges and times, and serves them to operators
// as a page in the Prometheus text format on a separate address. Metrics are off by default: a nil
// Meter records nothing.
package metrics

// Metric identifies a counter, a gauge or a distribution of times on the metrics page.
type Metric struct {
	name  string // on the page; operators' dashboards depend on it
	help  string
	label string // name of the metric's label; empty: the metric has none
}

// Counters.
var (
	UserResponses    = Metric{"vetchstream_answers_total", "Responses to users, by kind of request and status.", "request"}
	TaskLaunches     = Metric{"vetchstream_launches_total", "Task launches sent to workers.", ""}
	CommandsSent     = Metric{"vetchstream_commands_total", "Commands sent to workers, by verb and path.", "command"}
	TasksRestarted   = Metric{"vetchstream_tasks_restarted_total", "Tasks that a worker ran again after their attempt had ended.", ""}
	JobsEnded        = Metric{"vetchstream_jobs_ended_total", "Jobs that have ended, by their final phase.", "phase"}
	ReservationSlots = Metric{"vetchstream_slots_total", "Occurrences of reservations whose outcome is decided, by outcome.", "outcome"}
	MaintenanceMoves = Metric{"vetchstream_maintenance_moves_total", "Tasks moved or stopped for maintenance.", ""}
	ShardReturns     = Metric{"vetchstream_share_moves_total", "Machines that a holder has returned or lost, by reason.", "why"}
	ConfigChanges    = Metric{"vetchstream_config_changes_total", "Changes of the configuration, by result.", "result"}
	SessionsExpired  = Metric{"vetchstream_sessions_ended_total", "Machines whose leases are no longer renewed, because a launch of a cancelled job may be in flight.", ""}
	JobsAccepted     = Metric{"vetchstream_jobs_accepted_total", "Jobs accepted by this node, by the kind of record.", "record"}
)

// Distributions of times, in seconds.
var (
	UserResponseTime = Metric{"vetchstream_answer_seconds", "Time to respond to users, by kind of request.", "request"}
	PlanTime         = Metric{"vetchstream_plan_seconds", "Time to compute and execute a plan.", ""}
	StartWait        = Metric{"vetchstream_start_wait_seconds", "Time that tasks wait for a machine, by class of their job.", "class"}
	TakeoverTime     = Metric{"vetchstream_takeover_seconds", "Time from the start of a term until the takeover reaches a phase, by phase.", "phase"}
)

// Gauges.
var (
	Machines         = Metric{"vetchstream_machines", "Machines that the leader manages.", ""}
	Jobs             = Metric{"vetchstream_jobs", "Jobs that the leader manages.", ""}
	StalledJobs      = Metric{"vetchstream_jobs_stalled", "Jobs that make no progress, by reason.", "reason"}
	ReservedMachines = Metric{"vetchstream_machines_held", "Machines held for reservations.", ""}
	ShardMachines    = Metric{"vetchstream_share_machines", "Machines assigned to each controller, as the leader records them.", "member"}
	ConfigRevision   = Metric{"vetchstream_config_revision", "Highest revision of the configuration of which any part is in force on this node.", ""}
	Leading          = Metric{"vetchstream_leading", "1 while this node is the leader, otherwise 0.", ""}
)
