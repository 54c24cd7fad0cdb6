package control

import (
	"errors"
	"math"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// jobTable holds the jobs that the leader looks after, under a dense index each.
type jobTable struct {
	*core
	nameIndex       *nameIndex
	registry        *registry
	planner         *planner
	taskTracker     *taskTracker
	admissionGroups *admissionGroups

	jobs   map[string]*job.Job
	ids    map[*job.Job]int
	byID   map[int]*job.Job
	nextID int
	// strangers are jobs that a report named and no record was loaded for: what
	// they take of a machine is not known until their record is read.
	strangers map[*job.Job]bool
}

func newJobTable(co *core) *jobTable {
	bk := &jobTable{core: co, strangers: map[*job.Job]bool{}}
	bk.reset()
	return bk
}

// reset forgets the jobs of a load that failed half-way.
func (bk *jobTable) reset() {
	bk.jobs, bk.ids, bk.byID = map[string]*job.Job{}, map[*job.Job]int{}, map[int]*job.Job{}
}

// get returns the job of that id, a stranger too; nil: there is none.
func (bk *jobTable) get(id string) *job.Job { return bk.jobs[id] }

// sound returns the job of that id if its record is known.
func (bk *jobTable) sound(id string) *job.Job {
	if j := bk.jobs[id]; j != nil && !bk.strangers[j] {
		return j
	}
	return nil
}

// all are the jobs by their ids.
func (bk *jobTable) all() map[string]*job.Job { return bk.jobs }

// index is a job's dense index, from 1; 0: it is not in the job table.
func (bk *jobTable) index(j *job.Job) int { return bk.ids[j] }

// at is the job of an index.
func (bk *jobTable) at(index int) *job.Job { return bk.byID[index] }

// stranger reports whether a job's record is not known yet.
func (bk *jobTable) stranger(j *job.Job) bool { return bk.strangers[j] }

// strange are the jobs whose records are not known yet.
func (bk *jobTable) strange() map[*job.Job]bool { return bk.strangers }

// rebind maps names anew, after a price list.
func (bk *jobTable) rebind() {
	for _, j := range bk.jobs {
		bk.bind(j)
	}
	for _, h := range bk.fleet.All() {
		if bk.nameIndex.machineType(h) != nil {
			h.Known = true
		}
	}
}

func (bk *jobTable) add(rec *job.Record, version uint64, submitted time.Time) *job.Job {
	j := job.New(rec, submitted)
	j.Version = version
	bk.jobs[j.ID] = j
	bk.nextID++
	bk.ids[j], bk.byID[bk.nextID] = bk.nextID, j
	bk.bind(j)
	bk.registry.adopt(j)
	bk.changed()
	bk.log.Info("job is taken in", "job", j.ID, "class", j.Class, "team", j.Team, "tasks", j.Tasks, "cpus", j.CPUs, "estimate", j.EstimateS)
	return j
}

// bind maps a job's names to indices.
func (bk *jobTable) bind(j *job.Job) {
	if t := bk.nameIndex.teamIndex(j.Team); t >= 0 {
		j.TeamIdx = t
	}
	j.ImageIdx = bk.nameIndex.imageIndex(j.Image)
	if j.Zone != "" {
		j.ZoneIdx = bk.nameIndex.zoneIndex(j.Zone)
	}
	j.TypeOK = nil
	if j.Types != nil {
		j.TypeOK = bk.nameIndex.allowedTypes(j.Types)
	}
}

// find returns the job of a task that a report names.
func (bk *jobTable) find(id string) *job.Job {
	if j := bk.jobs[id]; j != nil {
		return j
	}
	// Over, or unknown: its record is read, because what its tasks take still
	// counts against its team. Nothing of it may go on.
	if rec := bk.admissionGroups.find(id); rec != nil {
		return bk.add(rec, 0, time.Now())
	}
	rec := &job.Record{Spec: job.Spec{ID: id, Tasks: job.MaxTasks, ShapeName: "array", RankName: "idle"}, Phase: wire.JobAborted}
	j := bk.add(rec, 0, time.Now())
	bk.strangers[j] = true
	go bk.identify(j, id)
	return j
}

func (bk *jobTable) identify(j *job.Job, id string) {
	for bk.ctx.Err() == nil {
		rec, version, err := lookup(bk.ctx, bk.c.State, id)
		if errors.Is(err, errUnreadable) {
			// What its tasks take of a team's limit will not be known: nothing is placed
			// until they are gone.
			bk.log.Error("a machine runs a task of a job whose record cannot be read", "job", id, "error", err)
			return
		}
		if err != nil {
			bk.pause(300 * time.Millisecond)
			continue
		}
		bk.post(func() {
			delete(bk.strangers, j)
			if rec == nil {
				bk.log.Error("a machine runs a task of a job without a record", "job", id)
				return
			}
			j.Become(rec, time.Now())
			j.Version = version
			bk.bind(j)
			for _, h := range bk.fleet.All() {
				h.Recount()
			}
			bk.changed()
		})
		return
	}
}

// latestStart is when a job has to start to meet its aims, in seconds from the
// start of the term.
func (bk *jobTable) latestStart(j *job.Job) float64 {
	at := j.Submitted.Sub(bk.since).Seconds()
	best := math.Inf(1)
	if j.DeadlineS != nil {
		best = min(best, at+*j.DeadlineS-estimate(j))
	}
	for _, o := range bk.c.Settings.Facts.Objectives {
		if o.Class != j.Class || o.WithinS <= 0 {
			continue
		}
		switch o.Kind {
		case "wait":
			best = min(best, at+o.WithinS)
		case "finished":
			// An aim that the job's own run time rules out gives no reason to hurry.
			if o.WithinS > estimate(j) {
				best = min(best, at+o.WithinS-estimate(j))
			}
		}
	}
	if math.IsInf(best, 1) {
		return at + 60
	}
	return best
}

func (bk *jobTable) running(j *job.Job) (n int) {
	for s := range bk.fleet.On(j) {
		if s.Phase == wire.Running || s.Phase == wire.Saving {
			n++
		}
	}
	if j.Handle {
		for _, v := range j.Versions {
			n += bk.running(v)
		}
	}
	return n
}

// sweep drops jobs that are over once nothing of them is on any machine.
func (bk *jobTable) sweep() {
	for id, j := range bk.jobs {
		if (j.Phase != "" || bk.strangers[j]) && len(bk.fleet.On(j)) == 0 {
			bk.registry.orphan(id)
			bk.planner.forgetJob(j)
			delete(bk.jobs, id)
			delete(bk.byID, bk.ids[j])
			delete(bk.ids, j)
			delete(bk.strangers, j)
		}
	}
}

// estimate is the expected run time of a task.
func estimate(j *job.Job) float64 {
	if j.EstimateS <= 0 {
		return 60
	}
	return j.EstimateS
}
