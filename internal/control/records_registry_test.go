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

// registryCase is a case of TestRegistry: do runs against a fresh registryBed.
type registryCase struct {
	name string
	do   func(b *registryFixture)
}

// registryCases are the cases of TestRegistry.
var registryCases = []registryCase{
	{"an array over many machines is one write", func(b *registryFixture) {
		j := b.array("run-1")
		for i := range 60 {
			b.assign(j, int32(i), b.addHost(fmt.Sprintf("h%d", i)))
		}
		if n := len(b.storeOnce(b.store.apply).Writes); n != 2 {
			b.t.Errorf("%d writes, want 2: a page of machines and one of jobs", n)
		}
		for i := range 60 {
			if !j.NotedMachines.Has(i) {
				b.t.Errorf("machine %d is not noted", i)
			}
		}
	}},
	{"an unclear write names nothing, one applied late takes no newer one's place", func(b *registryFixture) {
		j := b.array("run-1")
		b.assign(j, 0, b.addHost("h0"))
		late := b.storeOnce(lostResponse)
		if j.NotedMachines.Has(0) || b.host("h0").Durable {
			b.t.Error("launched on the word of an unclear write")
		}
		b.assign(j, 1, b.addHost("h1"))
		b.storeOnce(b.store.apply)
		if _, err := b.store.apply(late); err == nil {
			b.t.Error("the late write was applied")
		}
		b.checkRecordedHosts()
	}},
	{"an unclear write that was applied is found out", func(b *registryFixture) {
		j := b.array("run-1")
		b.assign(j, 0, b.addHost("h0"))
		late := b.storeOnce(lostResponse)
		if _, err := b.store.apply(late); err != nil {
			b.t.Fatal(err)
		}
		b.storeOnce(b.store.apply) // conflicts
		b.storeOnce(b.store.apply)
		if !j.NotedMachines.Has(0) {
			b.t.Error("not noted after the conflict")
		}
	}},
	{"a gang's note shrinks to where it may be, and only then", func(b *registryFixture) {
		j := newGangJob(b, "run-1")
		b.assign(j, 0, b.addHost("h0"))
		b.storeOnce(b.store.apply)
		for s := range b.fleet.SlotsOf(j) {
			b.fleet.Stop(s, 0)
		}
		b.assign(j, 1, b.addHost("h1"))
		b.storeOnce(lostResponse)
		if j.NotedMachines.Has(0) || j.NotedMachines.Has(1) {
			b.t.Error("what only one of the two records names may be launched")
		}
		b.storeOnce(b.store.apply)
		if j.NotedMachines.Has(0) || !j.NotedMachines.Has(1) {
			b.t.Error("the new place is not the noted one")
		}
	}},
	{"pages that outgrow the limit are split, and a new leader finds all", func(b *registryFixture) {
		for i := range 40 {
			b.assign(b.array(fmt.Sprintf("run-%d", i)), 0, b.addHost(fmt.Sprintf("h%d", i)))
		}
		b.storeOnce(b.store.apply)
		b.registry.maxPageBytes = 1000
		for i := range 40 {
			b.assign(b.jobTable.get(fmt.Sprintf("run-%d", i)), 1, b.host(fmt.Sprintf("h%d", (i+1)%40)))
		}
		for _, p := range b.registry.pages {
			p.urgent = true
		}
		for n := range 30 {
			b.storeOnce([]func(state.Txn) (uint64, error){b.store.apply, lostResponse}[n%2])
		}
		for k, e := range b.store.kv {
			if len(e.Value) > 1000 {
				b.t.Errorf("page %s has %d bytes", k, len(e.Value))
			}
		}
		next := newRegistryFixture(b.t)
		var hosts, notes []state.Entry
		for k, e := range b.store.kv {
			if k[0] == hostPrefix[0] {
				hosts = append(hosts, e)
			} else {
				notes = append(notes, e)
			}
		}
		if err := next.registry.load(hosts, notes); err != nil {
			b.t.Fatal(err)
		}
		for i := range 40 {
			past := map[string]bool{}
			for _, p := range next.fleet.Hosts[fmt.Sprintf("h%d", i)].InheritedJobs {
				past[p.ID] = true
			}
			if !past[fmt.Sprintf("run-%d", i)] || !past[fmt.Sprintf("run-%d", (i+39)%40)] {
				b.t.Errorf("machine %d: %v", i, past)
			}
		}
	}},
	{"pages that take over each other's entries do not wait for each other", func(b *registryFixture) {
		p0, p1 := &registryPage{key: "p/0"}, &registryPage{key: "p/1"}
		b.usePages(p0, p1)
		b.addJobToPage(p0, "run-1", 60)
		b.addJobToPage(p0, "run-2", 30)
		b.addJobToPage(p1, "run-3", 20)
		b.addJobToPage(p1, "run-4", 15)
		b.storeOnce(lostResponse) // run-2 goes to the second page
		b.recordHost("run-3", 70)
		b.storeOnce(lostResponse) // and run-4 to where it has made room
		for range 6 {
			b.storeOnce(b.store.apply)
		}
		for id, w := range map[string]int{"run-1": 60, "run-2": 30, "run-3": 70, "run-4": 15} {
			if !b.jobTable.get(id).NotedMachines.Has(64*w - 1) {
				b.t.Errorf("%s is never noted", id)
			}
		}
	}},
	{"a page does not wait for entries that come to the other later", func(b *registryFixture) {
		p := &registryPage{key: "p/0"}
		b.usePages(p)
		b.addJobToPage(p, "run-1", 60)
		b.addJobToPage(p, "run-2", 10)
		b.addJobToPage(p, "run-3", 30) // goes to a page of its own
		for w := range 9 {
			b.storeOnce(b.store.apply)
			b.recordHost("run-3", 29-w) // and is in demand before each store
		}
		if !b.jobTable.jobs["run-1"].NotedMachines.Has(64*60 - 1) {
			b.t.Error("never noted")
		}
	}},
	{"pages that say too much have their turn, whatever becomes of those before them", func(b *registryFixture) {
		b.registry.maxPageBytes = 1000
		for i := range 60 {
			b.addHost(fmt.Sprintf("h%d", i))
		}
		for range 10 {
			b.storeOnce(b.store.apply)
		}
		first, last := b.registry.pages[0], b.registry.pages[len(b.registry.pages)-1]
		b.registry.removeHost(last.hosts[0])
		for i := range 6 {
			for _, p := range b.registry.pages[:len(b.registry.pages)-1] {
				p.stale = true // as in a fleet whose machines come and go
			}
			b.now = b.now.Add(staleInterval)
			if out, txn := b.registry.nextTransaction(b.now, 4, true); len(out) > 0 {
				version, err := b.store.apply(txn)
				b.registry.handleStored(out, version, nil, err)
			}
			if i == 0 && first.stale && last.stale {
				b.t.Error("nothing was taken")
			}
		}
		if last.stale {
			b.t.Error("the last page still names a machine that is gone")
		}
	}},
	{"an index is used again only when no record names its machine", func(b *registryFixture) {
		h := b.addHost("h0")
		b.storeOnce(b.store.apply)
		b.fleet.Remove(h)
		if b.registry.removeHost(h) {
			b.t.Fatal("free while the record names it")
		}
		if b.addHost("h1").Index == h.Index {
			b.t.Error("used again at once")
		}
		b.storeOnce(b.store.apply)
		if got := b.addHost("h2").Index; got != h.Index {
			b.t.Errorf("index %d, want %d", got, h.Index)
		}
	}},
	{"the note of a job that is over goes when the takeover is settled", func(b *registryFixture) {
		j := b.array("run-1")
		b.assign(j, 0, b.addHost("h0"))
		b.storeOnce(b.store.apply)
		delete(b.jobTable.jobs, "run-1")
		b.takeover.allReconciled = false
		b.registry.removeFinishedJobs()
		if b.registry.hostsByJob["run-1"] == nil {
			b.t.Fatal("dropped before")
		}
		b.takeover.allReconciled = true
		b.registry.removeFinishedJobs()
		b.now = b.now.Add(time.Minute)
		b.storeOnce(b.store.apply)
		if len(b.store.names(b.t, "run-1")) != 0 {
			b.t.Error("still named")
		}
	}},
}

// TestRegistry: point 6 of docs/safety.md, for records that cover many machines.
func TestRegistry(t *testing.T) {
	for _, tt := range registryCases {
		t.Run(tt.name, func(t *testing.T) { tt.do(newRegistryFixture(t)) })
	}
}

// TestRegistryLoadErrors: a page that cannot be taken in is named in a
// pageError, with what is wrong with it.
func TestRegistryLoadErrors(t *testing.T) {
	encode := func(rec pageRecord) []byte {
		b, err := wire.Marshal(rec)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	twice := pageRecord{Hosts: []hostRecord{{Idx: 3, Name: "h3", Addr: "10.0.0.1:1", Type: "small", Zone: "a"}, {Idx: 3, Name: "h4", Addr: "10.0.0.1:1", Type: "small", Zone: "a"}}}
	tests := []struct {
		name         string
		hosts, notes []state.Entry
		key, text    string
		reused       bool // the cause is an indexReusedError
	}{
		{"a page that does not decode", []state.Entry{{Key: hostPrefix + "0", Value: []byte{0xff}}}, nil, hostPrefix + "0", "", false},
		{"a key without a number", []state.Entry{{Key: hostPrefix + "x", Value: encode(pageRecord{})}}, nil, hostPrefix + "x", "", false},
		{"an index used twice", []state.Entry{{Key: hostPrefix + "0", Value: encode(twice)}}, nil, hostPrefix + "0", "page m/0: index 3 is used twice", true},
		{"a note whose set does not parse", nil, []state.Entry{{Key: jobHostsPrefix + "0", Value: encode(pageRecord{Jobs: []jobHostsRecord{{Job: "run-1", Team: "red", Hosts: "?"}}})}}, jobHostsPrefix + "0", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := newRegistryFixture(t).registry.load(tt.hosts, tt.notes)
			var pe *pageError
			if !errors.As(err, &pe) || pe.key != tt.key {
				t.Fatalf("error %v, want a pageError of %s", err, tt.key)
			}
			var ie *indexReusedError
			if errors.As(err, &ie) != tt.reused {
				t.Errorf("error %v: an indexReusedError is %v, want %v", err, !tt.reused, tt.reused)
			}
			if tt.text != "" && err.Error() != tt.text {
				t.Errorf("error %q, want %q", err, tt.text)
			}
		})
	}
}
