package control

import (
	"fmt"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// loadRetryPause is the pause after a failed load.
const loadRetryPause = 200 * time.Millisecond

// load reads what earlier leaders have stored, and retries until that succeeds;
// false: the term has ended. Nothing is answered before: an answer about a job must
// come from all records.
func (tk *takeover) load() bool {
	for tk.ctx.Err() == nil {
		if err := tk.tryLoad(); err != nil {
			tk.log.Info("loading the records failed, retrying", "error", err)
			tk.sleep(loadRetryPause)
			continue
		}
		tk.shards.begin(time.Now())
		tk.recordsLoaded.Store(true)
		tk.recordLoaded()
		return true
	}
	return false
}

// recordLoaded notes and logs how much was loaded.
func (tk *takeover) recordLoaded() {
	jobs := tk.jobTable.all()
	tk.phases.loaded = time.Now()
	tk.phases.machines = len(tk.fleet.Machines)
	tk.phases.jobs = len(jobs)
	for _, j := range jobs {
		tk.phases.tasks += j.Tasks - j.DoneCount
	}
	tk.log.Info("records loaded", "jobs", len(jobs), "machines", len(tk.fleet.Machines))
}

// storedRecords is what earlier leaders have left in the key-value store.
type storedRecords struct {
	types       []wire.MachineType
	hosts       []state.Entry
	notes       []state.Entry
	groups      []state.Entry
	jobs        []state.Entry
	jobsEpoch   uint64 // of the listing of jobs
	results     []state.Entry
	rollouts    []state.Entry
	bookings    []state.Entry
	windows     []state.Entry
	teams       []state.Entry
	homeHead    state.Entry
	homeTeams   []state.Entry
	homeHistory []state.Entry
}

// readStored reads all stored records.
func (tk *takeover) readStored() (*storedRecords, error) {
	st := &storedRecords{}
	if err := tk.listRecords(st); err != nil {
		return nil, err
	}
	var err error
	if st.types, err = tk.controller.loadMachineTypes(tk.ctx); err != nil {
		return nil, err
	}
	if st.rollouts, err = tk.rollouts.readRecords(); err != nil {
		return nil, err
	}
	if st.bookings, st.windows, err = tk.calendarStore.readRecords(); err != nil {
		return nil, err
	}
	if st.teams, err = tk.teamQuotas.readStored(); err != nil {
		return nil, err
	}
	st.homeHead, st.homeTeams, st.homeHistory, err = tk.homeQuotas.readStored()
	return st, err
}

// listRecords reads the records of machines and jobs.
func (tk *takeover) listRecords(st *storedRecords) error {
	listings := []struct {
		prefix  string
		entries *[]state.Entry
	}{
		{hostPrefix, &st.hosts},
		{jobHostsPrefix, &st.notes},
		{job.GroupPrefix, &st.groups},
		{job.ActivePrefix, &st.jobs},
		{job.DonePrefix, &st.results},
	}
	for _, l := range listings {
		entries, epoch, err := tk.controller.State.List(tk.ctx, l.prefix)
		if err != nil {
			return err
		}
		*l.entries = entries
		if l.prefix == job.ActivePrefix {
			st.jobsEpoch = epoch
		}
	}
	return nil
}

// reset discards what a load that failed half-way has taken in.
func (tk *takeover) reset() {
	tk.fleet = newFleet(tk.term, tk.controller.Settings)
	tk.registry.reset()
	tk.jobTable.reset()
	tk.results.reset()
	tk.completions.reset()
	tk.admissionGroups.reset()
	tk.reservationHolds.reset()
	tk.maintenanceDrains.reset()
}

// tryLoad reads all stored records and takes them in, in the order in which they
// depend on each other.
func (tk *takeover) tryLoad() error {
	st, err := tk.readStored()
	if err != nil {
		return err
	}
	tk.reset()
	tk.nameIndex.updateTypes(st.types)
	tk.teamQuotas.load(st.teams)
	tk.homeQuotas.load(st.homeHead, st.homeTeams, st.homeHistory)
	if err := tk.registry.load(st.hosts, st.notes); err != nil {
		return err
	}
	now := time.Now()
	tk.admissionGroups.load(st.groups, func(rec *job.Record) { tk.loadGroupedJob(rec, now) })
	unreadable := tk.loadJobs(st.jobs, now)
	if err := tk.loadResults(st.results, unreadable); err != nil {
		return err
	}
	if err := tk.rollouts.load(st.rollouts); err != nil {
		return err
	}
	tk.calendarStore.load(st.bookings, st.windows)
	for _, j := range tk.jobTable.all() {
		if j.Complete() {
			tk.completions.finish(j, wire.JobDone)
		}
	}
	go tk.admission.watchActiveJobs(st.jobsEpoch)
	go tk.teamQuotas.follow()
	return nil
}

// submittedAt is the time of a job's submission on this node's steady clock. A time
// of day that lies ahead counts as now.
func submittedAt(rec *job.Record, now time.Time) time.Time {
	age := max(0, now.UnixMilli()-rec.SubmittedMS)
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// loadGroupedJob takes in a job of a group record.
func (tk *takeover) loadGroupedJob(rec *job.Record, now time.Time) {
	if rec.Phase != "" {
		tk.completions.cacheFinalStatus(rec)
		return
	}
	tk.jobTable.add(rec, 0, submittedAt(rec, now))
}

// loadJobs takes in the records of single jobs, and returns the ids of those that
// cannot be read.
func (tk *takeover) loadJobs(entries []state.Entry, now time.Time) (unreadable map[string]bool) {
	unreadable = map[string]bool{}
	for _, e := range entries {
		var rec job.Record
		if err := wire.Unmarshal(e.Value, &rec); err != nil {
			tk.log.Error("job record cannot be read: it is retained and the job waits", "key", e.Key, "error", err)
			unreadable[e.Key[len(job.ActivePrefix):]] = true
			continue
		}
		if tk.admissionGroups.has(rec.Spec.ID) {
			// Another node has admitted the job once more: one record is enough.
			tk.results.deleteLater(e.Key)
			continue
		}
		if rec.Phase != "" {
			tk.completions.addPendingMove(&rec, e.Version)
			continue
		}
		if tk.jobTable.get(rec.Spec.ID) == nil {
			tk.jobTable.add(&rec, e.Version, submittedAt(&rec, now))
		}
	}
	return unreadable
}

// loadResults takes in the stored chunks of completed tasks of active jobs. Chunks
// of other jobs are deleted, unless their job may be in a record that cannot be read.
func (tk *takeover) loadResults(entries []state.Entry, unreadable map[string]bool) error {
	for _, e := range entries {
		id, chunk, err := job.SplitChunkKey(e.Key)
		if err != nil {
			return err
		}
		j := tk.jobTable.get(id)
		if unreadable[id] || (j == nil && tk.admissionGroups.hasUnreadable()) {
			continue
		}
		if j == nil {
			tk.results.deleteLater(e.Key)
			continue
		}
		var ch job.Chunk
		if err := wire.Unmarshal(e.Value, &ch); err != nil {
			return fmt.Errorf("key %s: %w", e.Key, err)
		}
		if err := j.LoadChunk(chunk, ch, e.Version); err != nil {
			return err
		}
	}
	return nil
}
