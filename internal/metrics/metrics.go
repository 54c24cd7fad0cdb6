// Package metrics counts and times what a controller does, for operators: a page in the
// format of Prometheus, on an address of its own. It is off by default; a nil Meter
// records nothing and costs nothing.
package metrics

// Metric is a counter, a gauge or a histogram on the metrics page.
type Metric struct {
	name  string // on the page; dashboards depend on it
	help  string
	label string // name of the metric's label; empty: it has none
}

// Counters.
var (
	UserResponses    = Metric{"vetchstream_answers_total", "Answers to users, by kind of request and status.", "request"}
	TaskLaunches     = Metric{"vetchstream_launches_total", "Launches sent to workers.", ""}
	JobsEnded        = Metric{"vetchstream_jobs_ended_total", "Jobs that are over, by their final phase.", "phase"}
	ReservationSlots = Metric{"vetchstream_slots_total", "Occurrences of reservations that are decided, by outcome.", "outcome"}
	MaintenanceMoves = Metric{"vetchstream_maintenance_moves_total", "Tasks moved or stopped for maintenance.", ""}
	ShardReturns     = Metric{"vetchstream_share_moves_total", "Machines that a holder has given back or lost, by the reason.", "why"}
	ConfigChanges    = Metric{"vetchstream_config_changes_total", "Changes of the configuration, by what became of them.", "result"}
	SessionsExpired  = Metric{"vetchstream_sessions_ended_total", "Machines whose reports went unanswered, so that a launch of a cancelled job cannot be carried out.", ""}
	JobsAccepted     = Metric{"vetchstream_jobs_accepted_total", "Jobs accepted by this node, by the kind of record.", "record"}
)

// Times, in seconds.
var (
	UserResponseTime = Metric{"vetchstream_answer_seconds", "Time to answer users, by kind of request.", "request"}
	PlanTime         = Metric{"vetchstream_plan_seconds", "Time to make and carry out a plan.", ""}
	StartWait        = Metric{"vetchstream_start_wait_seconds", "Wait of tasks for a machine, by class of their job.", "class"}
	TakeoverTime     = Metric{"vetchstream_takeover_seconds", "Takeovers, by the phase that was reached.", "phase"}
)

// Gauges.
var (
	Machines         = Metric{"vetchstream_machines", "Machines that the leader looks after.", ""}
	Jobs             = Metric{"vetchstream_jobs", "Jobs that the leader looks after.", ""}
	ReservedMachines = Metric{"vetchstream_machines_held", "Machines held for reservations.", ""}
	ShardMachines    = Metric{"vetchstream_share_machines", "Machines that each controller deals with, at the leader.", "member"}
	ConfigRevision   = Metric{"vetchstream_config_revision", "Highest revision of the configuration of which anything is in force here.", ""}
	Leading          = Metric{"vetchstream_leading", "1 while this node leads.", ""}
)
