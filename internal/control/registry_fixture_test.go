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

// fakeStore is the state service as the registry sees it.
type fakeStore struct {
	rev uint64
	kv  map[string]state.Entry
}

// apply runs a transaction, or reports that a condition fails.
func (s *fakeStore) apply(txn state.Txn) (uint64, error) {
	for _, c := range txn.If[1:] {
		if s.kv[c.Key].Version != c.Version {
			return 0, state.ErrConflict
		}
	}
	s.rev++
	for _, w := range txn.Writes {
		s.kv[w.Put] = state.Entry{Key: w.Put, Value: w.Value, Version: s.rev}
	}
	return s.rev, nil
}

// names reads which machines the stored records name for a job.
func (s *fakeStore) names(t *testing.T, id string) map[int]bool {
	t.Helper()
	out := map[int]bool{}
	for _, e := range s.kv {
		var rec pageRecord
		if err := wire.Unmarshal(e.Value, &rec); err != nil {
			t.Fatal(err)
		}
		for _, n := range rec.Jobs {
			set, err := job.ParseMachineSet(n.Hosts)
			if err != nil {
				t.Fatal(err)
			}
			for i := range 64 * len(set) {
				if n.Job == id && set.Has(i) {
					out[i] = true
				}
			}
		}
	}
	return out
}

// registryFixture is a leader's registry on a fake store, driven step by step.
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

// addHost adds a machine to the fleet and to the registry.
func (f *registryFixture) addHost(name string) *fleet.Machine {
	h := f.addMachine(name)
	f.nameIndex.describeMachine(h, "small", "a", false)
	h.Addr = "10.0.0.1:1"
	f.registry.addHost(h, "small", "a")
	return h
}

// assign places a task on a machine, in the fleet and in the registry.
func (f *registryFixture) assign(j *job.Job, task int32, h *fleet.Machine) {
	f.fleet.Assign(h, fleet.PlacementKey{Job: j, Task: task, Attempt: uint64(task) + 1}, f.now)
	f.registry.recordPlacement(j, h)
}

// storeOnce makes one transaction and has commit decide its outcome.
func (f *registryFixture) storeOnce(commit func(state.Txn) (uint64, error)) (txn state.Txn) {
	stores, txn := f.registry.nextTransaction(f.now, 12, true)
	version, err := commit(txn)
	found := map[*registryPage]uint64{}
	if errors.Is(err, state.ErrConflict) {
		for _, s := range stores {
			found[s.page] = f.store.kv[s.page.key].Version
		}
	}
	f.registry.handleStored(stores, version, found, err)
	f.checkRecordedHosts()
	return txn
}

// usePages gives the registry these pages of jobs, with a small size limit.
func (f *registryFixture) usePages(pages ...*registryPage) {
	f.registry.maxPageBytes = 1000
	f.registry.pages = pages
	f.registry.nextPage[jobHostsPrefix] = len(pages)
}

// recordHost records a placement of a job on a machine whose index makes the job's
// set that many words long.
func (f *registryFixture) recordHost(id string, words int) {
	name := fmt.Sprintf("h%d", words)
	h := f.fleet.Machines[name]
	if h == nil {
		h = f.fleet.AddWithIndex(name, 64*words-1, f.now)
	}
	f.registry.recordPlacement(f.jobTable.get(id), h)
}

// addJobToPage adds a new job to a page, with a set of that many words.
func (f *registryFixture) addJobToPage(p *registryPage, id string, words int) {
	jh := &jobHosts{id: id, job: f.addArrayJob(id), page: p}
	p.jobs = append(p.jobs, jh)
	f.registry.hostsByJob[id] = jh
	f.recordHost(id, words)
}

// lostResponse is a commit that is not executed, and whose response is lost.
func lostResponse(state.Txn) (uint64, error) { return 0, state.ErrUnknown }

// checkRecordedHosts checks that the stored records name every machine on which a
// job may be launched.
func (f *registryFixture) checkRecordedHosts() {
	f.t.Helper()
	for id, j := range f.jobTable.all() {
		named := f.store.names(f.t, id)
		for i := range 64 * len(j.NotedMachines) {
			if j.NotedMachines.Has(i) && !named[i] {
				f.t.Errorf("job %s may be launched on machine %d, which no record names", id, i)
			}
		}
	}
}

// newGangJob adds a gang of two tasks to the job table of f.
func newGangJob(f *registryFixture, id string) *job.Job {
	return f.jobTable.add(&job.Record{Spec: job.Spec{ID: id, ShapeName: "ensemble", PriorityName: "idle", Tasks: 2, CPUs: 1}}, 1, f.now)
}
