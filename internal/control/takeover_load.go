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

// load loads what earlier leaders have stored and retries until that succeeds. It
// returns false if the term has ended. The leader does not answer requests before,
// because an answer about a job must take all records into account.
func (tk *takeover) load() bool {
	for tk.ctx.Err() == nil {
		if err := tk.tryLoad(); err != nil {
			tk.log.Info("loading the records failed, retrying", "error", err)
			tk.sleep(loadRetryPause)
			continue
		}
		tk.shards.start(time.Now())
		tk.recordsLoaded.Store(true)
		tk.recordLoaded()
		return true
	}
	return false
}

// recordLoaded records and logs how much was loaded.
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

// storedRecords are the records that earlier leaders have stored in the key-value
// store.
type storedRecords struct {
	types        []wire.MachineType
	machinePages []state.Entry
	jobPages     []state.Entry
	groups       []state.Entry
	jobs         []state.Entry
	jobsEpoch    uint64 // epoch of the listing of active jobs
	results      []state.Entry
	rollouts     []state.Entry
	bookings     []state.Entry
	windows      []state.Entry
	teams        []state.Entry
	homeHead     state.Entry
	homeTeams    []state.Entry
	homeHistory  []state.Entry
}

// readStored reads all stored records.
func (tk *takeover) readStored() (*storedRecords, error) {
	stored := &storedRecords{}
	if err := tk.listRecords(stored); err != nil {
		return nil, err
	}
	var err error
	if stored.types, err = tk.controller.loadMachineTypes(tk.ctx); err != nil {
		return nil, err
	}
	if stored.rollouts, err = tk.rollouts.readRecords(); err != nil {
		return nil, err
	}
	if stored.bookings, stored.windows, err = tk.calendarStore.readRecords(); err != nil {
		return nil, err
	}
	if stored.teams, err = tk.teamQuotas.readStored(); err != nil {
		return nil, err
	}
	stored.homeHead, stored.homeTeams, stored.homeHistory, err = tk.homeQuotas.readStored()
	return stored, err
}

// listRecords reads the records of machines and jobs.
func (tk *takeover) listRecords(stored *storedRecords) error {
	listings := []struct {
		prefix  string
		entries *[]state.Entry
	}{
		{machinePrefix, &stored.machinePages},
		{jobMachinesPrefix, &stored.jobPages},
		{job.GroupPrefix, &stored.groups},
		{job.ActivePrefix, &stored.jobs},
		{job.DonePrefix, &stored.results},
	}
	for _, listing := range listings {
		entries, epoch, err := tk.controller.State.List(tk.ctx, listing.prefix)
		if err != nil {
			return err
		}
		*listing.entries = entries
		if listing.prefix == job.ActivePrefix {
			stored.jobsEpoch = epoch
		}
	}
	return nil
}

// reset discards what a load that failed halfway has added.
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

// tryLoad reads all stored records and loads them in the order of their dependencies.
func (tk *takeover) tryLoad() error {
	stored, err := tk.readStored()
	if err != nil {
		return err
	}
	tk.reset()
	tk.nameIndex.updateTypes(stored.types)
	tk.teamQuotas.load(stored.teams)
	tk.homeQuotas.load(stored.homeHead, stored.homeTeams, stored.homeHistory)
	if err := tk.registry.load(stored.machinePages, stored.jobPages); err != nil {
		return err
	}
	now := time.Now()
	tk.admissionGroups.load(stored.groups, func(record *job.Record) { tk.loadGroupedJob(record, now) })
	unreadable := tk.loadJobs(stored.jobs, now)
	if err := tk.loadResults(stored.results, unreadable); err != nil {
		return err
	}
	if err := tk.rollouts.load(stored.rollouts); err != nil {
		return err
	}
	tk.calendarStore.load(stored.bookings, stored.windows)
	for _, j := range tk.jobTable.all() {
		if j.Complete() {
			tk.completions.finish(j, wire.JobDone)
		}
	}
	go tk.admission.watchActiveJobs(stored.jobsEpoch)
	go tk.teamQuotas.follow()
	return nil
}

// submittedAt converts the wall-clock time of a job's submission to this node's
// monotonic clock. A time in the future counts as now.
func submittedAt(record *job.Record, now time.Time) time.Time {
	age := max(0, now.UnixMilli()-record.SubmittedMS)
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// loadGroupedJob loads a job from a group record.
func (tk *takeover) loadGroupedJob(record *job.Record, now time.Time) {
	if record.Phase != "" {
		tk.completions.cacheFinalStatus(record)
		return
	}
	tk.jobTable.add(record, 0, submittedAt(record, now))
}

// loadJobs loads the jobs that have records of their own, and returns the IDs of those
// whose records cannot be decoded.
func (tk *takeover) loadJobs(entries []state.Entry, now time.Time) (unreadable map[string]bool) {
	unreadable = map[string]bool{}
	for _, entry := range entries {
		var record job.Record
		if err := wire.Unmarshal(entry.Value, &record); err != nil {
			tk.log.Error("job record cannot be decoded; it is retained and the job is not scheduled", "key", entry.Key, "error", err)
			unreadable[entry.Key[len(job.ActivePrefix):]] = true
			continue
		}
		if tk.admissionGroups.has(record.Spec.ID) {
			// Another node has admitted the job a second time. The group record is
			// enough.
			tk.results.deleteLater(entry.Key)
			continue
		}
		if record.Phase != "" {
			tk.completions.addPendingMove(&record, entry.Version)
			continue
		}
		if tk.jobTable.get(record.Spec.ID) == nil {
			tk.jobTable.add(&record, entry.Version, submittedAt(&record, now))
		}
	}
	return unreadable
}

// loadResults loads the stored chunks of results of active jobs. It schedules the
// chunks of other jobs for deletion, unless their job may be in a record that cannot be
// decoded.
func (tk *takeover) loadResults(entries []state.Entry, unreadable map[string]bool) error {
	for _, entry := range entries {
		id, index, err := job.SplitChunkKey(entry.Key)
		if err != nil {
			return err
		}
		j := tk.jobTable.get(id)
		if unreadable[id] || (j == nil && tk.admissionGroups.hasUnreadable()) {
			continue
		}
		if j == nil {
			tk.results.deleteLater(entry.Key)
			continue
		}
		var chunk job.Chunk
		if err := wire.Unmarshal(entry.Value, &chunk); err != nil {
			return fmt.Errorf("key %s: %w", entry.Key, err)
		}
		if err := j.LoadChunk(index, chunk, entry.Version); err != nil {
			return err
		}
	}
	return nil
}
