package control

import (
	"fmt"
	"time"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// load reads the registry, the jobs and their results. Nothing is answered
// before: an answer about a job must come from all of them.
func (tk *takeover) load() bool {
	for tk.ctx.Err() == nil {
		if err := tk.tryLoad(); err != nil {
			tk.log.Info("loading failed, trying again", "error", err)
			tk.pause(200 * time.Millisecond)
			continue
		}
		tk.shards.begin(time.Now())
		tk.read.Store(true)
		tk.phases.load, tk.phases.machines, tk.phases.jobs = time.Now(), len(tk.fleet.Hosts), len(tk.jobTable.all())
		for _, j := range tk.jobTable.all() {
			tk.phases.tasks += j.Tasks - j.DoneCount
		}
		tk.log.Info("loaded", "jobs", len(tk.jobTable.all()), "hosts", len(tk.fleet.Hosts))
		return true
	}
	return false
}

// stored is what earlier leaders have left in the state service.
type stored struct {
	hosts, notes, groups, jobs, results []state.Entry
	rollouts, bookings, windows         []state.Entry
	teams, homeTeams, homeHistory       []state.Entry
	homeHead                            state.Entry
	types                               []wire.MachineType
	epoch                               uint64 // of the listing of jobs
}

// readStored reads all of it.
func (tk *takeover) readStored() (st *stored, err error) {
	st = &stored{}
	for _, l := range []struct {
		prefix string
		into   *[]state.Entry
	}{{hostPrefix, &st.hosts}, {notePrefix, &st.notes}, {job.GroupPrefix, &st.groups}, {job.ActivePrefix, &st.jobs}, {job.DonePrefix, &st.results}} {
		var epoch uint64
		if *l.into, epoch, err = tk.c.State.List(tk.ctx, l.prefix); err != nil {
			return nil, err
		}
		if l.prefix == job.ActivePrefix {
			st.epoch = epoch
		}
	}
	if st.types, err = tk.c.knownTypes(tk.ctx); err != nil {
		return nil, err
	}
	if st.rollouts, err = tk.rollouts.readRecords(); err != nil {
		return nil, err
	}
	if st.bookings, st.windows, err = tk.calendarStore.readRecords(); err != nil {
		return nil, err
	}
	if st.teams, err = tk.teamQuotas.list(); err != nil {
		return nil, err
	}
	st.homeHead, st.homeTeams, st.homeHistory, err = tk.homeQuotas.list()
	return st, err
}

// reset forgets what a try that failed half-way has taken in.
func (tk *takeover) reset() {
	tk.fleet = newFleet(tk.term, tk.c.Settings)
	tk.registry.reset()
	tk.jobTable.reset()
	tk.results.reset()
	tk.completions.reset()
	tk.admissionGroups.reset()
	tk.reservationHolds.reset()
	tk.maintenanceDrains.reset()
}

func (tk *takeover) tryLoad() error {
	st, err := tk.readStored()
	if err != nil {
		return err
	}
	tk.reset()
	tk.nameIndex.learn(st.types)
	tk.teamQuotas.load(st.teams)
	tk.homeQuotas.load(st.homeHead, st.homeTeams, st.homeHistory)
	if err := tk.registry.load(st.hosts, st.notes); err != nil {
		return err
	}
	now := time.Now()
	submitted := func(rec *job.Record) time.Time {
		return now.Add(-time.Duration(max(0, now.UnixMilli()-rec.At)) * time.Millisecond)
	}
	tk.admissionGroups.load(st.groups, func(rec *job.Record) {
		if rec.Phase != "" {
			tk.completions.remember(rec)
			return
		}
		tk.jobTable.add(rec, 0, submitted(rec))
	})
	unreadable := tk.loadJobs(st.jobs, submitted)
	if err := tk.loadResults(st.results, unreadable); err != nil {
		return err
	}
	if err := tk.rollouts.load(st.rollouts); err != nil {
		return err
	}
	tk.calendarStore.load(st.bookings, st.windows)
	for _, j := range tk.jobTable.all() {
		if j.Over() {
			tk.completions.finish(j, wire.JobDone)
		}
	}
	go tk.admission.follow(st.epoch)
	go tk.teamQuotas.follow()
	return nil
}

// loadJobs takes in the records of single jobs, and returns the ids of those that cannot be
// read.
func (tk *takeover) loadJobs(entries []state.Entry, submitted func(*job.Record) time.Time) (unreadable map[string]bool) {
	unreadable = map[string]bool{}
	for _, e := range entries {
		var rec job.Record
		if err := wire.Unmarshal(e.Value, &rec); err != nil {
			tk.log.Error("a job's record cannot be read, it is kept and the job waits", "key", e.Key, "error", err)
			unreadable[e.Key[len(job.ActivePrefix):]] = true
			continue
		}
		if tk.admissionGroups.has(rec.Spec.ID) {
			// Another node has admitted the job once more: one record is enough.
			tk.results.drop(e.Key)
			continue
		}
		if rec.Phase != "" {
			tk.completions.inherit(&rec, e.Version)
			continue
		}
		if tk.jobTable.get(rec.Spec.ID) == nil {
			tk.jobTable.add(&rec, e.Version, submitted(&rec))
		}
	}
	return unreadable
}

// loadResults takes in the results of jobs that are not over, in chunks.
func (tk *takeover) loadResults(entries []state.Entry, unreadable map[string]bool) error {
	for _, e := range entries {
		var id string
		var c int
		name := e.Key[len(job.DonePrefix):]
		for i := range name {
			if name[i] == '/' {
				id = name[:i]
				if _, err := fmt.Sscanf(name[i+1:], "%d", &c); err != nil {
					return fmt.Errorf("key %s: %w", e.Key, err)
				}
			}
		}
		j := tk.jobTable.get(id)
		if unreadable[id] || (j == nil && tk.admissionGroups.doubtful()) {
			continue
		}
		if j == nil {
			tk.results.drop(e.Key)
			continue
		}
		var ch job.Chunk
		if err := wire.Unmarshal(e.Value, &ch); err != nil {
			return fmt.Errorf("key %s: %w", e.Key, err)
		}
		if err := j.LoadChunk(c, ch, e.Version); err != nil {
			return err
		}
	}
	return nil
}
