package control

import (
	"fmt"
	"slices"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// pageError reports a stored registry page that cannot be loaded. A leader must not
// take over from incomplete records, so the whole load fails.
type pageError struct {
	key string
	err error
}

func (e *pageError) Error() string { return "registry page " + e.key + ": " + e.err.Error() }

func (e *pageError) Unwrap() error { return e.err }

// indexReusedError reports that the stored pages give one index to two machines.
type indexReusedError struct {
	index int
}

func (e *indexReusedError) Error() string {
	return fmt.Sprintf("machine index %d is used twice", e.index)
}

// load loads the pages that earlier leaders stored: machinePages hold the machines,
// jobPages hold the jobs with the machines that each may run on. Its errors are of type
// *pageError.
func (r *registry) load(machinePages, jobPages []state.Entry) error {
	byIndex := map[int]*fleet.Machine{}
	for _, entry := range machinePages {
		page, record, err := r.readPage(machinePrefix, entry)
		if err != nil {
			return err
		}
		if err := r.loadMachines(page, record, byIndex); err != nil {
			return err
		}
	}
	for _, entry := range jobPages {
		page, record, err := r.readPage(jobMachinesPrefix, entry)
		if err != nil {
			return err
		}
		if err := r.loadJobMachines(page, record, byIndex); err != nil {
			return err
		}
	}
	return nil
}

// readPage decodes a stored page and adds it to the registry, marked as stale.
func (r *registry) readPage(prefix string, entry state.Entry) (*registryPage, *pageRecord, error) {
	var record pageRecord
	if err := wire.Unmarshal(entry.Value, &record); err != nil {
		return nil, nil, &pageError{key: entry.Key, err: err}
	}
	var number int
	if _, err := fmt.Sscanf(entry.Key[len(prefix):], "%d", &number); err != nil {
		return nil, nil, &pageError{key: entry.Key, err: err}
	}
	r.nextPage[prefix] = max(r.nextPage[prefix], number+1)
	page := &registryPage{key: entry.Key, version: entry.Version, stale: true}
	r.pages = append(r.pages, page)
	return page, &record, nil
}

// loadMachines adds the machines of a stored page to the fleet, under their indexes.
func (r *registry) loadMachines(page *registryPage, record *pageRecord, byIndex map[int]*fleet.Machine) error {
	for _, stored := range record.Machines {
		known := byIndex[stored.Idx]
		if known != nil && known.Name == stored.Name {
			// The earlier leader was moving the machine between two pages.
			r.storeInOrder(page, r.machineEntries[known].page)
			continue
		}
		if known != nil || stored.Idx < 0 {
			return &pageError{key: page.key, err: &indexReusedError{index: stored.Idx}}
		}
		machine := r.fleet.AddWithIndex(stored.Name, stored.Idx, r.termStart)
		byIndex[stored.Idx] = machine
		machine.Addr = stored.Addr
		machine.Registered = true
		machine.Inherited = true
		machine.Booting = false
		r.nameIndex.describeMachine(machine, stored.Type, stored.Zone, stored.Spot)
		page.machines = append(page.machines, machine)
		r.machineEntries[machine] = machineEntry{machineRecord: stored, page: page}
	}
	return nil
}

// loadJobMachines loads the jobs of a stored page and records for each machine which
// jobs it may have inherited.
func (r *registry) loadJobMachines(page *registryPage, record *pageRecord, byIndex map[int]*fleet.Machine) error {
	for _, stored := range record.Jobs {
		set, err := job.ParseMachineSet(stored.Machines)
		if err != nil {
			return &pageError{key: page.key, err: err}
		}
		r.mergeJobMachines(page, stored, set)
		team := r.nameIndex.teamIndex(stored.Team)
		for index, machine := range byIndex {
			if set.Has(index) {
				machine.InheritedJobs = append(machine.InheritedJobs, fleet.InheritedJob{ID: stored.Job, Team: team})
			}
		}
	}
	return nil
}

// mergeJobMachines adds the stored entry of a job, or merges it into the entry that
// another page already has for the job.
func (r *registry) mergeJobMachines(page *registryPage, stored jobMachinesRecord, set job.MachineSet) {
	known := r.machinesByJob[stored.Job]
	if known == nil {
		added := &jobMachines{id: stored.Job, team: stored.Team, confirmed: set, desired: slices.Clone(set), page: page}
		page.jobs = append(page.jobs, added)
		r.machinesByJob[stored.Job] = added
		return
	}
	// The earlier leader was moving the job between two pages. The job may run on the
	// machines of both, so it is not launched again until one page names them all.
	for i := range setWordBits * len(set) {
		if set.Has(i) {
			known.desired.Add(i)
		}
	}
	known.confirmed = nil
	r.storeInOrder(page, known.page)
}
