package control

import (
	"errors"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// jobTable contains the active jobs and the jobs whose tasks may still be on machines.
// Each job has an index, which is never reused within a term.
type jobTable struct {
	*core
	nameIndex       *nameIndex
	registry        *registry
	planner         *planner
	taskTracker     *taskTracker
	admissionGroups *admissionGroups

	jobs        map[string]*job.Job
	indexes     map[*job.Job]int
	jobsByIndex map[int]*job.Job
	lastIndex   int
	// unidentified contains the jobs that a report named but for which no record was
	// loaded. The resources of their tasks are unknown until the record is read.
	unidentified map[*job.Job]bool
}

func newJobTable(co *core) *jobTable {
	jt := &jobTable{core: co, unidentified: map[*job.Job]bool{}}
	jt.reset()
	return jt
}

// reset discards the jobs of an incomplete load.
func (jt *jobTable) reset() {
	jt.jobs = map[string]*job.Job{}
	jt.indexes = map[*job.Job]int{}
	jt.jobsByIndex = map[int]*job.Job{}
}

// get returns the job with the ID, even if it is unidentified, or nil if there is none.
func (jt *jobTable) get(id string) *job.Job { return jt.jobs[id] }

// identified returns the job with the ID if its record is known, otherwise nil.
func (jt *jobTable) identified(id string) *job.Job {
	if j := jt.jobs[id]; j != nil && !jt.unidentified[j] {
		return j
	}
	return nil
}

// all returns all jobs by ID.
func (jt *jobTable) all() map[string]*job.Job { return jt.jobs }

// index returns a job's index, starting at 1, or 0 if the job is not in the table.
func (jt *jobTable) index(j *job.Job) int { return jt.indexes[j] }

// byIndex returns the job with the index, or nil if there is none.
func (jt *jobTable) byIndex(index int) *job.Job { return jt.jobsByIndex[index] }

// isUnidentified reports whether the job's record is not known yet.
func (jt *jobTable) isUnidentified(j *job.Job) bool { return jt.unidentified[j] }

// unidentifiedJobs returns the jobs whose records are not known yet.
func (jt *jobTable) unidentifiedJobs() map[*job.Job]bool { return jt.unidentified }

// rebindNames updates the name indices of all jobs after a change of the price list.
func (jt *jobTable) rebindNames() {
	for _, j := range jt.jobs {
		jt.bindNames(j)
	}
	for _, machine := range jt.fleet.All() {
		if jt.nameIndex.machineType(machine) != nil {
			machine.Described = true
		}
	}
}

// bindNames sets a job's indices for its team, image, zone and machine types.
func (jt *jobTable) bindNames(j *job.Job) {
	if teamIdx := jt.nameIndex.teamIndex(j.Team); teamIdx >= 0 {
		j.TeamIdx = teamIdx
	}
	j.ImageIdx = jt.nameIndex.imageIndex(j.Image)
	if j.Zone != "" {
		j.ZoneIdx = jt.nameIndex.zoneIndex(j.Zone)
	}
	j.TypeAllowed = nil
	if j.Types != nil {
		j.TypeAllowed = jt.nameIndex.allowedTypes(j.Types)
	}
}

// add adds the job that a record describes. version is the version of the record's key,
// or 0 if the record is part of a group record.
func (jt *jobTable) add(rec *job.Record, version uint64, submitted time.Time) *job.Job {
	j := job.New(rec, submitted)
	j.Version = version
	jt.jobs[j.ID] = j
	jt.lastIndex++
	jt.indexes[j] = jt.lastIndex
	jt.jobsByIndex[jt.lastIndex] = j
	jt.bindNames(j)
	jt.registry.attachJob(j)
	jt.requestPlan()
	jt.log.Info("job added", "job", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks, "cpus", j.CPUs, "estimate_s", j.EstimateS)
	return j
}

// findOrAdd returns the job of a task that a report names. A job that is not in the table
// is finished or unknown. Its tasks have to be stopped, but their resources count against
// the team's limit until then, so the job is added and its record is read.
func (jt *jobTable) findOrAdd(id string) *job.Job {
	if j := jt.jobs[id]; j != nil {
		return j
	}
	if rec := jt.admissionGroups.find(id); rec != nil {
		return jt.add(rec, 0, time.Now())
	}
	j := jt.add(job.UnknownJobRecord(id), 0, time.Now())
	jt.unidentified[j] = true
	go jt.identify(j, id)
	return j
}

// identifyRetryPause is the delay after a failed read of an unidentified job's record.
const identifyRetryPause = 300 * time.Millisecond

// identify reads the record of an unidentified job, and retries until the read succeeds
// or the term ends.
func (jt *jobTable) identify(j *job.Job, id string) {
	for jt.ctx.Err() == nil {
		rec, version, err := readJobRecord(jt.ctx, jt.controller.State, id)
		if errors.Is(err, errUnreadable) {
			// The tasks' share of a team's limit stays unknown, so no task is placed until
			// these tasks are off their machines.
			jt.log.Error("a machine runs a task of a job whose record cannot be decoded", "job", id, "error", err)
			return
		}
		if err != nil {
			jt.sleep(identifyRetryPause)
			continue
		}
		jt.enqueue(func() { jt.setRecord(j, id, rec, version) })
		return
	}
}

// setRecord replaces the placeholder of an unidentified job by its record; rec is nil if
// the job has none.
func (jt *jobTable) setRecord(j *job.Job, id string, rec *job.Record, version uint64) {
	delete(jt.unidentified, j)
	if rec == nil {
		jt.log.Error("a machine runs a task of a job that has no record", "job", id)
		return
	}
	j.ReplaceRecord(rec, time.Now())
	j.Version = version
	jt.bindNames(j)
	for _, machine := range jt.fleet.All() {
		machine.Recount()
	}
	jt.requestPlan()
}

// runningTasks returns the number of running tasks of a job. For a service during a
// roll-out, it includes the tasks of all versions.
func (jt *jobTable) runningTasks(j *job.Job) int {
	count := 0
	for slot := range jt.fleet.SlotsOf(j) {
		if slot.Phase == wire.TaskRunning || slot.Phase == wire.TaskCheckpointing {
			count++
		}
	}
	if j.IsVersionGroup {
		for _, version := range j.Versions {
			count += jt.runningTasks(version)
		}
	}
	return count
}

// removeFinished removes finished and unidentified jobs that have no tasks left on any
// machine.
func (jt *jobTable) removeFinished() {
	for id, j := range jt.jobs {
		if (j.Phase != "" || jt.unidentified[j]) && len(jt.fleet.SlotsOf(j)) == 0 {
			jt.registry.detachJob(id)
			jt.planner.removeJob(j)
			delete(jt.jobs, id)
			delete(jt.jobsByIndex, jt.indexes[j])
			delete(jt.indexes, j)
			delete(jt.unidentified, j)
		}
	}
}
