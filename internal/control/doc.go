// Package control is the leader: the actor that owns jobs, machines, placement and
// scaling for the length of one leader term. A node that does not lead uses it to answer
// from the key-value store alone.
//
// Controller is the way in. While its node leads, it runs a leaderTerm: one goroutine that
// owns all state of the term, takes messages from two inboxes and composes parts, each of
// which owns the state of one duty. A part calls another through its methods and never
// touches its fields (TestPartFieldAccess). I/O runs in goroutines of its own, which enqueue their
// results. Nothing in memory outlives the term: the next leader reads the stored records
// and reconciles them with the workers' heartbeats.
//
// The files are named by duty:
//
//	control*      requests from the node's listeners, and whether a job can ever run
//	leader_term*  the actor: its core, its parts and how they are connected, its loop
//	admission*    submissions: refusals, storing in batches, jobs admitted by other nodes
//	job_table*    the active jobs and their deadlines
//	completions*  ends and cancellations of jobs, and answers about jobs that are over
//	planner*      placement: the input for package place, and carrying out its plan
//	tasks*        heartbeats, and what becomes of tasks
//	commands*     direct commands to workers
//	machine*      the machines: price list, scale-out, scale-in, spot notices, quarantine
//	takeover*     loading the stored records and reconciling them with the machines
//	records*      stored records of machines, of the jobs that may run on them, of results
//	quotas*       the teams' quotas, in this region and at the home region
//	shards*       the controllers that answer heartbeats for the leader
//	rollout*      roll-outs of services to new versions
//	calendar*     reservations and maintenance windows
//	name_index    dense indices for the names of machine types, zones, teams and images
package control
