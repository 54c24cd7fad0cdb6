// Package control implements the leader: an actor that manages jobs, machines, placement
// and scaling during one leader term. Followers use the package to answer requests from
// the key-value store alone.
//
// Controller is the entry point. While its node leads, it runs a leaderTerm: a single
// goroutine that owns all state of the term, receives messages from two inboxes and
// composes several parts. Each part owns the state of one responsibility; parts call each
// other's methods and never access each other's fields (checked by TestPartFieldAccess). I/O runs in
// separate goroutines, which enqueue their results on the actor. No in-memory state
// outlives the term: the next leader reads the stored records and reconciles them with the
// workers' heartbeats.
//
// File names begin with the responsibility:
//
//	control*      requests from the node's listeners; feasibility checks of jobs
//	leader_term*  the actor: its core, the wiring of its parts, its event loop
//	admission*    submissions: validation, batched writes, jobs admitted by other nodes
//	job_table*    the active jobs and their deadlines
//	job_progress  the jobs that make no progress, and why
//	completions*  completion and cancellation of jobs; status replies for finished jobs
//	planner*      placement: builds the input of package place and executes its plan
//	tasks*        heartbeats and the state transitions of tasks
//	commands*     direct commands to workers
//	machine*      machines: price list, scale-out, scale-in, spot notices, quarantine
//	takeover*     loading the stored records and reconciling them with the machines
//	records*      stored records of machines, of the jobs assigned to them and of results
//	quotas*       team quotas, in this region and in the home region
//	shards*       controllers that answer heartbeats on behalf of the leader
//	rollout*      roll-outs of new service versions
//	calendar*     reservations and maintenance windows
//	name_index    dense indices for the names of machine types, zones, teams and images
package control
