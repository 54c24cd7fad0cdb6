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
	b := &registryFixture{
		leaderTerm: newTestTerm(t),
		t:          t,
		store:      &fakeStore{kv: map[string]state.Entry{}},
		now:        time.Unix(1000, 0),
	}
	b.learn([]wire.MachineType{{Name: "small", CPUs: 8, MemGB: 16, Zones: []string{"a"}}})
	b.registry.maxPageBytes = newRegistry(b.core, 16).maxPageBytes
	b.takeover.allReconciled = true
	return b
}

// addHost adds a machine to the fleet and to the registry.
func (b *registryFixture) addHost(name string) *fleet.Host {
	h := b.host(name)
	b.nameIndex.describe(h, "small", "a", false)
	h.Addr = "10.0.0.1:1"
	b.registry.addHost(h, "small", "a")
	return h
}

// assign places a task on a machine, in the fleet and in the registry.
func (b *registryFixture) assign(j *job.Job, task int32, h *fleet.Host) {
	b.fleet.Assign(h, fleet.Key{Job: j, Task: task, Attempt: uint64(task) + 1}, b.now)
	b.registry.recordPlacement(j, h)
}

// storeOnce makes one transaction and has commit decide its outcome.
func (b *registryFixture) storeOnce(commit func(state.Txn) (uint64, error)) (txn state.Txn) {
	stores, txn := b.registry.nextTransaction(b.now, 12, true)
	version, err := commit(txn)
	found := map[*registryPage]uint64{}
	if errors.Is(err, state.ErrConflict) {
		for _, s := range stores {
			found[s.page] = b.store.kv[s.page.key].Version
		}
	}
	b.registry.handleStored(stores, version, found, err)
	b.checkRecordedHosts()
	return txn
}

// usePages gives the registry these pages of jobs, with a small size limit.
func (b *registryFixture) usePages(pages ...*registryPage) {
	b.registry.maxPageBytes = 1000
	b.registry.pages = pages
	b.registry.nextPage[jobHostsPrefix] = len(pages)
}

// recordHost records a placement of a job on a machine whose index makes the job's
// set that many words long.
func (b *registryFixture) recordHost(id string, words int) {
	name := fmt.Sprintf("h%d", words)
	h := b.fleet.Hosts[name]
	if h == nil {
		h = b.fleet.AddAt(name, 64*words-1, b.now)
	}
	b.registry.recordPlacement(b.jobTable.get(id), h)
}

// addJobToPage adds a new job to a page, with a set of that many words.
func (b *registryFixture) addJobToPage(p *registryPage, id string, words int) {
	jh := &jobHosts{id: id, job: b.array(id), page: p}
	p.jobs = append(p.jobs, jh)
	b.registry.hostsByJob[id] = jh
	b.recordHost(id, words)
}

// lostResponse is a commit that is not executed, and whose response is lost.
func lostResponse(state.Txn) (uint64, error) { return 0, state.ErrUnknown }

// checkRecordedHosts checks that the stored records name every machine on which a
// job may be launched.
func (b *registryFixture) checkRecordedHosts() {
	b.t.Helper()
	for id, j := range b.jobTable.all() {
		named := b.store.names(b.t, id)
		for i := range 64 * len(j.NotedMachines) {
			if j.NotedMachines.Has(i) && !named[i] {
				b.t.Errorf("job %s may be launched on machine %d, which no record names", id, i)
			}
		}
	}
}

// newGangJob adds a gang of two tasks to the job table of b.
func newGangJob(b *registryFixture, id string) *job.Job {
	return b.jobTable.add(&job.Record{Spec: job.Spec{ID: id, ShapeName: "ensemble", PriorityName: "idle", Tasks: 2, CPUs: 1}}, 1, b.now)
}
