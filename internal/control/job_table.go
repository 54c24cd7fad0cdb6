package control

import (
	"errors"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// jobTable holds the leader's jobs: the active ones, and those whose tasks may still
// be on machines. Each has a dense index.
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
	// unidentified are jobs that a report named and no record was loaded for: what
	// they take of a machine is not known until their record is read.
	unidentified map[*job.Job]bool
}

func newJobTable(co *core) *jobTable {
	jt := &jobTable{core: co, unidentified: map[*job.Job]bool{}}
	jt.reset()
	return jt
}

// reset discards the jobs of a load that failed half-way.
func (jt *jobTable) reset() {
	jt.jobs = map[string]*job.Job{}
	jt.indexes = map[*job.Job]int{}
	jt.jobsByIndex = map[int]*job.Job{}
}

// get returns the job of that id, also an unidentified one; nil: there is none.
func (jt *jobTable) get(id string) *job.Job { return jt.jobs[id] }

// identified returns the job of that id if its record is known; nil: it is not.
func (jt *jobTable) identified(id string) *job.Job {
	if j := jt.jobs[id]; j != nil && !jt.unidentified[j] {
		return j
	}
	return nil
}

// all are the jobs by their ids.
func (jt *jobTable) all() map[string]*job.Job { return jt.jobs }

// index is a job's dense index, from 1; 0: it is not in the table.
func (jt *jobTable) index(j *job.Job) int { return jt.indexes[j] }

// byIndex is the job of an index.
func (jt *jobTable) byIndex(index int) *job.Job { return jt.jobsByIndex[index] }

// isUnidentified reports whether a job's record is not known yet.
func (jt *jobTable) isUnidentified(j *job.Job) bool { return jt.unidentified[j] }

// unidentifiedJobs are the jobs whose records are not known yet.
func (jt *jobTable) unidentifiedJobs() map[*job.Job]bool { return jt.unidentified }

// rebindNames maps the names of all jobs to indices anew, after a price list.
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

// bindNames maps a job's names to indices.
func (jt *jobTable) bindNames(j *job.Job) {
	if t := jt.nameIndex.teamIndex(j.Team); t >= 0 {
		j.TeamIdx = t
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

// add takes in the job of a record; version is that of the record's key, 0 if the
// record is part of another.
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

// findOrAdd returns the job of a task that a report names. One that is not in the
// table is over, or unknown: its record is read, because what its tasks take still
// counts against its team. None of its tasks may go on.
func (jt *jobTable) findOrAdd(id string) *job.Job {
	if j := jt.jobs[id]; j != nil {
		return j
	}
	if rec := jt.admissionGroups.find(id); rec != nil {
		return jt.add(rec, 0, time.Now())
	}
	j := jt.add(job.UnknownRecord(id), 0, time.Now())
	jt.unidentified[j] = true
	go jt.identify(j, id)
	return j
}

// identifyRetryPause is the pause after a failed read of an unknown job's record.
const identifyRetryPause = 300 * time.Millisecond

// identify reads the record of an unknown job, and retries until that succeeds or
// the term ends.
func (jt *jobTable) identify(j *job.Job, id string) {
	for jt.ctx.Err() == nil {
		rec, version, err := readJobRecord(jt.ctx, jt.controller.State, id)
		if errors.Is(err, errUnreadable) {
			// What its tasks take of a team's limit will not be known: nothing is placed
			// until they are gone.
			jt.log.Error("a machine runs a task of a job whose record cannot be read", "job", id, "error", err)
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

// setRecord replaces the placeholder of an unknown job by its record; nil: there is
// none.
func (jt *jobTable) setRecord(j *job.Job, id string, rec *job.Record, version uint64) {
	delete(jt.unidentified, j)
	if rec == nil {
		jt.log.Error("a machine runs a task of a job without a record", "job", id)
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

// runningTasks counts the tasks of a job that run, those of all versions if it is a
// service that is rolled out.
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

// removeFinished removes the jobs that are over once none of their tasks is on any
// machine.
func (jt *jobTable) removeFinished() {
	for id, j := range jt.jobs {
		if (j.Phase != "" || jt.unidentified[j]) && len(jt.fleet.SlotsOf(j)) == 0 {
			jt.registry.detachJob(id)
			jt.planner.forgetJob(j)
			delete(jt.jobs, id)
			delete(jt.jobsByIndex, jt.indexes[j])
			delete(jt.indexes, j)
			delete(jt.unidentified, j)
		}
	}
}
