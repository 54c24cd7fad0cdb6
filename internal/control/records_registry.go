package control

import (
	"slices"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
)

// registry is the leader's copy of the stored pages of machines and jobs, with the
// changes that are still to be stored (see records_pages.go).
type registry struct {
	*core
	nameIndex    *nameIndex
	jobTable     *jobTable
	takeover     *takeover
	recordWriter *recordWriter

	pages          []*registryPage // in the order in which they were created or loaded
	nextPage       map[string]int  // number of the next new page, by key prefix
	machineEntries map[*fleet.Machine]machineEntry
	machinesByJob  map[string]*jobMachines // by job ID
	maxPageBytes   int                     // limit of the estimated size of a page
	// commitInFlight is set while a transaction is in progress; there is at most one.
	commitInFlight bool
	nextStoreAt    time.Time // earliest start of the next transaction
	staleDueAt     time.Time // earliest time at which stale pages are stored
}

// newRegistry creates a registry whose pages fit the key-value store's value size
// limit, which is given in KiB.
func newRegistry(co *core, valueKB float64) *registry {
	r := &registry{core: co, maxPageBytes: max(minPageBytes, int(valueKB*1024*valueFillFraction))}
	r.reset()
	return r
}

// reset discards the pages of a load that failed halfway.
func (r *registry) reset() {
	r.pages = nil
	r.nextPage = map[string]int{}
	r.machineEntries = map[*fleet.Machine]machineEntry{}
	r.machinesByJob = map[string]*jobMachines{}
}

// canShrinkPages reports whether the size limit of pages may still be lowered.
func (r *registry) canShrinkPages() bool { return r.maxPageBytes > minPageBytes }

// shrinkPages halves the size limit of pages. It is called when the key-value store
// accepts less than its settings state.
func (r *registry) shrinkPages() { r.maxPageBytes = max(minPageBytes, r.maxPageBytes/2) }

// attachJob links a job to the entry that an earlier leader stored for it.
func (r *registry) attachJob(j *job.Job) {
	if jobEntry := r.machinesByJob[j.ID]; jobEntry != nil {
		jobEntry.job = j
		j.RegisteredMachines = jobEntry.confirmed
	}
}

// detachJob unlinks a job that has ended from its entry.
func (r *registry) detachJob(id string) {
	if jobEntry := r.machinesByJob[id]; jobEntry != nil {
		jobEntry.job = nil
	}
}

// addMachine adds a machine to the registry unless it is already registered.
func (r *registry) addMachine(machine *fleet.Machine, typeName, zone string) {
	if _, registered := r.machineEntries[machine]; registered {
		return
	}
	page := r.pageWithRoom(machinePrefix, machineEntrySize(machine), false)
	page.machines = append(page.machines, machine)
	page.urgent = true
	record := machineRecord{Idx: machine.Index, Name: machine.Name, Addr: machine.Addr, Type: typeName, Zone: zone, Spot: machine.Spot}
	r.machineEntries[machine] = machineEntry{machineRecord: record, page: page}
}

// removeMachine removes a machine and reports whether its index can be reused
// immediately. Otherwise the index is freed when the machine's page has been stored.
func (r *registry) removeMachine(machine *fleet.Machine) bool {
	for _, jobEntry := range r.machinesByJob {
		jobEntry.desired.Remove(machine.Index)
	}
	entry, registered := r.machineEntries[machine]
	if !registered {
		return true
	}
	delete(r.machineEntries, machine)
	page := entry.page
	page.machines = slices.DeleteFunc(page.machines, func(other *fleet.Machine) bool { return other == machine })
	page.removedIndexes = append(page.removedIndexes, machine.Index)
	page.stale = true
	return false
}

// recordPlacement adds a machine to the entry of a job. The job may be launched there
// once j.RegisteredMachines contains the machine.
func (r *registry) recordPlacement(j *job.Job, machine *fleet.Machine) {
	jobEntry := r.machinesByJob[j.ID]
	if jobEntry == nil {
		jobEntry = &jobMachines{id: j.ID, team: j.Team, job: j}
		size := jobEntrySize(jobEntry) + setWordBytes*(machine.Index/setWordBits+2)
		jobEntry.page = r.pageWithRoom(jobMachinesPrefix, size, false)
		jobEntry.page.jobs = append(jobEntry.page.jobs, jobEntry)
		r.machinesByJob[j.ID] = jobEntry
	}
	jobEntry.desired.Add(machine.Index)
	if !j.RegisteredMachines.Has(machine.Index) {
		jobEntry.page.urgent = true
	}
}

// pruneGangMachines reduces the entry of a gang to the machines that its members may
// run on now: the gang restarts on other machines, and an unreachable machine of an
// ended attempt must not delay it. The entry of an array only grows, which saves most
// writes, because an array returns to the machines that it has used.
func (r *registry) pruneGangMachines(jobEntry *jobMachines) {
	if jobEntry.job == nil || jobEntry.job.Shape != job.Gang || !r.takeover.reconciled() {
		return
	}
	clear(jobEntry.desired)
	for slot := range r.fleet.SlotsOf(jobEntry.job) {
		jobEntry.desired.Add(slot.Machine.Index)
	}
}

// removeFinishedJobs removes the entries of jobs that have ended. It waits until every
// machine of earlier leaders is reconciled, because such a machine may still run a task
// of the job.
func (r *registry) removeFinishedJobs() {
	if !r.takeover.reconciled() {
		return
	}
	for id, jobEntry := range r.machinesByJob {
		if r.jobTable.get(id) == nil {
			r.removeJob(jobEntry)
		}
	}
}

// removeJob removes the entry of a job that has ended and runs on no machine.
func (r *registry) removeJob(jobEntry *jobMachines) {
	delete(r.machinesByJob, jobEntry.id)
	jobEntry.page.jobs = slices.DeleteFunc(jobEntry.page.jobs, func(other *jobMachines) bool { return other == jobEntry })
	jobEntry.page.stale = true
}
