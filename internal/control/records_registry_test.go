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

// fakeState is the state service as the registry sees it.
type fakeState struct {
	rev uint64
	kv  map[string]state.Entry
}

// apply runs a transaction, or reports that a condition fails.
func (s *fakeState) apply(txn state.Txn) (uint64, error) {
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
func (s *fakeState) names(t *testing.T, id string) map[int]bool {
	t.Helper()
	out := map[int]bool{}
	for _, e := range s.kv {
		var rec pageRecord
		if err := wire.Unmarshal(e.Value, &rec); err != nil {
			t.Fatal(err)
		}
		for _, n := range rec.Notes {
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

type registryBed struct {
	*leaderTerm
	t         *testing.T
	fakeState *fakeState
	now       time.Time
}

func newRegistryBed(t *testing.T) *registryBed {
	b := &registryBed{leaderTerm: newTestTerm(t), t: t, fakeState: &fakeState{kv: map[string]state.Entry{}}, now: time.Unix(1000, 0)}
	b.learn([]wire.MachineType{{Name: "small", CPUs: 8, MemGB: 16, Zones: []string{"a"}}})
	b.registry.limit = newRegistry(b.core, 16).limit
	b.takeover.allReconciled = true
	return b
}

func (b *registryBed) up(name string) *fleet.Host {
	h := b.host(name)
	b.nameIndex.describe(h, "small", "a", false)
	h.Addr = "10.0.0.1:1"
	b.registry.enter(h, "small", "a")
	return h
}

func (b *registryBed) assign(j *job.Job, task int32, h *fleet.Host) {
	b.fleet.Assign(h, fleet.Key{Job: j, Task: task, Attempt: uint64(task) + 1}, b.now)
	b.registry.note(j, h)
}

// store takes one transaction and lets fate decide what becomes of it.
func (b *registryBed) store(fate func(state.Txn) (uint64, error)) (txn state.Txn) {
	out, txn := b.registry.take(b.now, 12, true)
	version, err := fate(txn)
	found := map[*page]uint64{}
	if errors.Is(err, state.ErrConflict) {
		for _, s := range out {
			found[s.page] = b.fakeState.kv[s.page.key].Version
		}
	}
	b.registry.stored(out, version, found, err)
	b.sound()
	return txn
}

// pages makes a registry of these pages, small ones.
func (b *registryBed) pages(ps ...*page) {
	b.registry.limit, b.registry.pages, b.registry.next[notePrefix] = 1000, ps, len(ps)
}

// grow notes a job for a machine whose index makes its set that many words long.
func (b *registryBed) grow(id string, words int) {
	name := fmt.Sprintf("h%d", words)
	h := b.fleet.Hosts[name]
	if h == nil {
		h = b.fleet.AddAt(name, 64*words-1, b.now)
	}
	b.registry.note(b.jobTable.get(id), h)
}

// noted puts a job's note on a page.
func (b *registryBed) noted(p *page, id string, words int) {
	n := &note{id: id, job: b.array(id), page: p}
	p.notes = append(p.notes, n)
	b.registry.notes[id] = n
	b.grow(id, words)
}

func lost(state.Txn) (uint64, error) { return 0, state.ErrUnknown }

// sound checks that every machine on which a job may be launched is one that the
// stored records name for it.
func (b *registryBed) sound() {
	b.t.Helper()
	for id, j := range b.jobTable.all() {
		named := b.fakeState.names(b.t, id)
		for i := range 64 * len(j.NotedMachines) {
			if j.NotedMachines.Has(i) && !named[i] {
				b.t.Errorf("job %s may be launched on machine %d, which no record names", id, i)
			}
		}
	}
}

// newGangJob adds a gang of two tasks to the job table of b.
func newGangJob(b *registryBed, id string) *job.Job {
	return b.jobTable.add(&job.Record{Spec: job.Spec{ID: id, ShapeName: "ensemble", PriorityName: "idle", Tasks: 2, CPUs: 1}}, 1, b.now)
}

// registryCase is a case of TestRegistry: do runs against a fresh registryBed.
type registryCase struct {
	name string
	do   func(b *registryBed)
}

// registryCases are the cases of TestRegistry.
var registryCases = []registryCase{
	{"an array over many machines is one write", func(b *registryBed) {
		j := b.array("run-1")
		for i := range 60 {
			b.assign(j, int32(i), b.up(fmt.Sprintf("h%d", i)))
		}
		if n := len(b.store(b.fakeState.apply).Writes); n != 2 {
			b.t.Errorf("%d writes, want 2: a page of machines and one of jobs", n)
		}
		for i := range 60 {
			if !j.NotedMachines.Has(i) {
				b.t.Errorf("machine %d is not noted", i)
			}
		}
	}},
	{"an unclear write names nothing, one applied late takes no newer one's place", func(b *registryBed) {
		j := b.array("run-1")
		b.assign(j, 0, b.up("h0"))
		late := b.store(lost)
		if j.NotedMachines.Has(0) || b.host("h0").Durable {
			b.t.Error("launched on the word of an unclear write")
		}
		b.assign(j, 1, b.up("h1"))
		b.store(b.fakeState.apply)
		if _, err := b.fakeState.apply(late); err == nil {
			b.t.Error("the late write was applied")
		}
		b.sound()
	}},
	{"an unclear write that was applied is found out", func(b *registryBed) {
		j := b.array("run-1")
		b.assign(j, 0, b.up("h0"))
		late := b.store(lost)
		if _, err := b.fakeState.apply(late); err != nil {
			b.t.Fatal(err)
		}
		b.store(b.fakeState.apply) // conflicts
		b.store(b.fakeState.apply)
		if !j.NotedMachines.Has(0) {
			b.t.Error("not noted after the conflict")
		}
	}},
	{"a gang's note shrinks to where it may be, and only then", func(b *registryBed) {
		j := newGangJob(b, "run-1")
		b.assign(j, 0, b.up("h0"))
		b.store(b.fakeState.apply)
		for s := range b.fleet.On(j) {
			b.fleet.Stop(s, 0)
		}
		b.assign(j, 1, b.up("h1"))
		b.store(lost)
		if j.NotedMachines.Has(0) || j.NotedMachines.Has(1) {
			b.t.Error("what only one of the two records names may be launched")
		}
		b.store(b.fakeState.apply)
		if j.NotedMachines.Has(0) || !j.NotedMachines.Has(1) {
			b.t.Error("the new place is not the noted one")
		}
	}},
	{"pages that outgrow the limit are split, and a new leader finds all", func(b *registryBed) {
		for i := range 40 {
			b.assign(b.array(fmt.Sprintf("run-%d", i)), 0, b.up(fmt.Sprintf("h%d", i)))
		}
		b.store(b.fakeState.apply)
		b.registry.limit = 1000
		for i := range 40 {
			b.assign(b.jobTable.get(fmt.Sprintf("run-%d", i)), 1, b.host(fmt.Sprintf("h%d", (i+1)%40)))
		}
		for _, p := range b.registry.pages {
			p.urgent = true
		}
		for n := range 30 {
			b.store([]func(state.Txn) (uint64, error){b.fakeState.apply, lost}[n%2])
		}
		for k, e := range b.fakeState.kv {
			if len(e.Value) > 1000 {
				b.t.Errorf("page %s has %d bytes", k, len(e.Value))
			}
		}
		next := newRegistryBed(b.t)
		var hosts, notes []state.Entry
		for k, e := range b.fakeState.kv {
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
	{"pages that take over each other's entries do not wait for each other", func(b *registryBed) {
		p0, p1 := &page{key: "p/0"}, &page{key: "p/1"}
		b.pages(p0, p1)
		b.noted(p0, "run-1", 60)
		b.noted(p0, "run-2", 30)
		b.noted(p1, "run-3", 20)
		b.noted(p1, "run-4", 15)
		b.store(lost) // run-2 goes to the second page
		b.grow("run-3", 70)
		b.store(lost) // and run-4 to where it has made room
		for range 6 {
			b.store(b.fakeState.apply)
		}
		for id, w := range map[string]int{"run-1": 60, "run-2": 30, "run-3": 70, "run-4": 15} {
			if !b.jobTable.get(id).NotedMachines.Has(64*w - 1) {
				b.t.Errorf("%s is never noted", id)
			}
		}
	}},
	{"a page does not wait for entries that come to the other later", func(b *registryBed) {
		p := &page{key: "p/0"}
		b.pages(p)
		b.noted(p, "run-1", 60)
		b.noted(p, "run-2", 10)
		b.noted(p, "run-3", 30) // goes to a page of its own
		for w := range 9 {
			b.store(b.fakeState.apply)
			b.grow("run-3", 29-w) // and is in demand before each store
		}
		if !b.jobTable.jobs["run-1"].NotedMachines.Has(64*60 - 1) {
			b.t.Error("never noted")
		}
	}},
	{"pages that say too much have their turn, whatever becomes of those before them", func(b *registryBed) {
		b.registry.limit = 1000
		for i := range 60 {
			b.up(fmt.Sprintf("h%d", i))
		}
		for range 10 {
			b.store(b.fakeState.apply)
		}
		first, last := b.registry.pages[0], b.registry.pages[len(b.registry.pages)-1]
		b.registry.leave(last.hosts[0])
		for i := range 6 {
			for _, p := range b.registry.pages[:len(b.registry.pages)-1] {
				p.stale = true // as in a fleet whose machines come and go
			}
			b.now = b.now.Add(staleEvery)
			if out, txn := b.registry.take(b.now, 4, true); len(out) > 0 {
				version, err := b.fakeState.apply(txn)
				b.registry.stored(out, version, nil, err)
			}
			if i == 0 && first.stale && last.stale {
				b.t.Error("nothing was taken")
			}
		}
		if last.stale {
			b.t.Error("the last page still names a machine that is gone")
		}
	}},
	{"an index is used again only when no record names its machine", func(b *registryBed) {
		h := b.up("h0")
		b.store(b.fakeState.apply)
		b.fleet.Remove(h)
		if b.registry.leave(h) {
			b.t.Fatal("free while the record names it")
		}
		if b.up("h1").Idx == h.Idx {
			b.t.Error("used again at once")
		}
		b.store(b.fakeState.apply)
		if got := b.up("h2").Idx; got != h.Idx {
			b.t.Errorf("index %d, want %d", got, h.Idx)
		}
	}},
	{"the note of a job that is over goes when the takeover is settled", func(b *registryBed) {
		j := b.array("run-1")
		b.assign(j, 0, b.up("h0"))
		b.store(b.fakeState.apply)
		delete(b.jobTable.jobs, "run-1")
		b.takeover.allReconciled = false
		b.registry.sweepNotes()
		if b.registry.notes["run-1"] == nil {
			b.t.Fatal("dropped before")
		}
		b.takeover.allReconciled = true
		b.registry.sweepNotes()
		b.now = b.now.Add(time.Minute)
		b.store(b.fakeState.apply)
		if len(b.fakeState.names(b.t, "run-1")) != 0 {
			b.t.Error("still named")
		}
	}},
}

// TestRegistry: point 6 of docs/safety.md, for records that cover many machines.
func TestRegistry(t *testing.T) {
	for _, tt := range registryCases {
		t.Run(tt.name, func(t *testing.T) { tt.do(newRegistryBed(t)) })
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
		{"a note whose set does not parse", nil, []state.Entry{{Key: notePrefix + "0", Value: encode(pageRecord{Notes: []noteRecord{{Job: "run-1", Team: "red", Hosts: "?"}}})}}, notePrefix + "0", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := newRegistryBed(t).registry.load(tt.hosts, tt.notes)
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
