package control

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// fakeStore is an in-memory key-value store for the registry's transactions.
type fakeStore struct {
	revision uint64
	kv       map[string]state.Entry
}

// apply executes a transaction, or returns state.ErrConflict if a condition does not
// hold.
func (s *fakeStore) apply(txn state.Txn) (uint64, error) {
	for _, condition := range txn.If[1:] {
		if s.kv[condition.Key].Version != condition.Version {
			return 0, state.ErrConflict
		}
	}
	s.revision++
	for _, write := range txn.Writes {
		s.kv[write.Put] = state.Entry{Key: write.Put, Value: write.Value, Version: s.revision}
	}
	return s.revision, nil
}

// recordedMachines returns the indexes of the machines that the stored records name for
// a job.
func (s *fakeStore) recordedMachines(t *testing.T, id string) map[int]bool {
	t.Helper()
	machines := map[int]bool{}
	for _, entry := range s.kv {
		var record pageRecord
		if err := wire.Unmarshal(entry.Value, &record); err != nil {
			t.Fatal(err)
		}
		for _, jobRecord := range record.Jobs {
			set, err := job.ParseMachineSet(jobRecord.Machines)
			if err != nil {
				t.Fatal(err)
			}
			for i := range 64 * len(set) {
				if jobRecord.Job == id && set.Has(i) {
					machines[i] = true
				}
			}
		}
	}
	return machines
}

// registryFixture is a leader's registry on a fakeStore. The test triggers each
// transaction.
type registryFixture struct {
	*leaderTerm
	t     *testing.T
	store *fakeStore
	now   time.Time
}

func newRegistryFixture(t *testing.T) *registryFixture {
	f := &registryFixture{
		leaderTerm: newTestTerm(t),
		t:          t,
		store:      &fakeStore{kv: map[string]state.Entry{}},
		now:        time.Unix(1000, 0),
	}
	f.updatePriceList([]wire.MachineType{{Name: "small", CPUs: 8, MemGB: 16, Zones: []string{"a"}}})
	f.registry.maxPageBytes = newRegistry(f.core, 16).maxPageBytes
	f.takeover.allReconciled = true
	return f
}

// addRegisteredMachine adds a machine to the fleet and to the registry.
func (f *registryFixture) addRegisteredMachine(name string) *fleet.Machine {
	machine := f.addMachine(name)
	f.nameIndex.describeMachine(machine, "small", "a", false)
	machine.Addr = "10.0.0.1:1"
	f.registry.addMachine(machine, "small", "a")
	return machine
}

// assign places a task on a machine, in the fleet and in the registry.
func (f *registryFixture) assign(j *job.Job, task int32, machine *fleet.Machine) {
	f.fleet.Assign(machine, fleet.PlacementKey{Job: j, Task: task, Attempt: uint64(task) + 1}, f.now)
	f.registry.recordPlacement(j, machine)
}

// storeOnce builds one transaction and applies the outcome that commit returns for it.
func (f *registryFixture) storeOnce(commit func(state.Txn) (uint64, error)) (txn state.Txn) {
	stores, txn := f.registry.nextTransaction(f.now, 12, true)
	version, err := commit(txn)
	currentVersions := map[*registryPage]uint64{}
	if errors.Is(err, state.ErrConflict) {
		for _, store := range stores {
			currentVersions[store.page] = f.store.kv[store.page.key].Version
		}
	}
	f.registry.handleStored(stores, version, currentVersions, err)
	f.checkRecordedMachines()
	return txn
}

// usePages replaces the registry's pages by these pages of jobs and sets a small size
// limit.
func (f *registryFixture) usePages(pages ...*registryPage) {
	f.registry.maxPageBytes = 1000
	f.registry.pages = pages
	f.registry.nextPage[jobMachinesPrefix] = len(pages)
}

// recordMachine records a placement of a job on a machine whose index makes the job's
// machine set words words long.
func (f *registryFixture) recordMachine(id string, words int) {
	name := fmt.Sprintf("h%d", words)
	machine := f.fleet.Machines[name]
	if machine == nil {
		machine = f.fleet.AddWithIndex(name, 64*words-1, f.now)
	}
	f.registry.recordPlacement(f.jobTable.get(id), machine)
}

// addJobToPage adds a new job to a page, with a machine set of that many words.
func (f *registryFixture) addJobToPage(page *registryPage, id string, words int) {
	jobEntry := &jobMachines{id: id, job: f.addArrayJob(id), page: page}
	page.jobs = append(page.jobs, jobEntry)
	f.registry.machinesByJob[id] = jobEntry
	f.recordMachine(id, words)
}

// lostResponse is a commit that is not executed and whose outcome is unknown to the
// leader.
func lostResponse(state.Txn) (uint64, error) { return 0, state.ErrOutcomeUnknown }

// checkRecordedMachines checks that the stored records name every machine on which a
// job may be launched.
func (f *registryFixture) checkRecordedMachines() {
	f.t.Helper()
	for id, j := range f.jobTable.all() {
		named := f.store.recordedMachines(f.t, id)
		for i := range 64 * len(j.RegisteredMachines) {
			if j.RegisteredMachines.Has(i) && !named[i] {
				f.t.Errorf("job %s may be launched on machine %d, but no stored record names that machine for it", id, i)
			}
		}
	}
}

// newGangJob adds a gang of two tasks to the job table.
func newGangJob(f *registryFixture, id string) *job.Job {
	return f.jobTable.add(&job.Record{Spec: job.Spec{ID: id, ShapeName: "ensemble", PriorityName: "idle", Tasks: 2, CPUs: 1}}, 1, f.now)
}
