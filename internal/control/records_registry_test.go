package control

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// registryCase is a case of TestRegistry: do runs against a fresh registryFixture.
type registryCase struct {
	name string
	do   func(f *registryFixture)
}

// registryCases are the cases of TestRegistry.
var registryCases = []registryCase{
	{"an array over many machines is one write", func(f *registryFixture) {
		j := f.addArrayJob("run-1")
		for i := range 60 {
			f.assign(j, int32(i), f.addHost(fmt.Sprintf("h%d", i)))
		}
		if n := len(f.storeOnce(f.store.apply).Writes); n != 2 {
			f.t.Errorf("%d writes, want 2: a page of machines and one of jobs", n)
		}
		for i := range 60 {
			if !j.NotedMachines.Has(i) {
				f.t.Errorf("machine %d is not noted", i)
			}
		}
	}},
	{"an unclear write names nothing, one applied late takes no newer one's place", func(f *registryFixture) {
		j := f.addArrayJob("run-1")
		f.assign(j, 0, f.addHost("h0"))
		late := f.storeOnce(lostResponse)
		if j.NotedMachines.Has(0) || f.addMachine("h0").Registered {
			f.t.Error("launched on the word of an unclear write")
		}
		f.assign(j, 1, f.addHost("h1"))
		f.storeOnce(f.store.apply)
		if _, err := f.store.apply(late); err == nil {
			f.t.Error("the late write was applied")
		}
		f.checkRecordedHosts()
	}},
	{"an unclear write that was applied is found out", func(f *registryFixture) {
		j := f.addArrayJob("run-1")
		f.assign(j, 0, f.addHost("h0"))
		late := f.storeOnce(lostResponse)
		if _, err := f.store.apply(late); err != nil {
			f.t.Fatal(err)
		}
		f.storeOnce(f.store.apply) // conflicts
		f.storeOnce(f.store.apply)
		if !j.NotedMachines.Has(0) {
			f.t.Error("not noted after the conflict")
		}
	}},
	{"a gang's note shrinks to where it may be, and only then", func(f *registryFixture) {
		j := newGangJob(f, "run-1")
		f.assign(j, 0, f.addHost("h0"))
		f.storeOnce(f.store.apply)
		for s := range f.fleet.SlotsOf(j) {
			f.fleet.Stop(s, 0)
		}
		f.assign(j, 1, f.addHost("h1"))
		f.storeOnce(lostResponse)
		if j.NotedMachines.Has(0) || j.NotedMachines.Has(1) {
			f.t.Error("what only one of the two records names may be launched")
		}
		f.storeOnce(f.store.apply)
		if j.NotedMachines.Has(0) || !j.NotedMachines.Has(1) {
			f.t.Error("the new place is not the noted one")
		}
	}},
	{"pages that outgrow the limit are split, and a new leader finds all", func(f *registryFixture) {
		for i := range 40 {
			f.assign(f.addArrayJob(fmt.Sprintf("run-%d", i)), 0, f.addHost(fmt.Sprintf("h%d", i)))
		}
		f.storeOnce(f.store.apply)
		f.registry.maxPageBytes = 1000
		for i := range 40 {
			f.assign(f.jobTable.get(fmt.Sprintf("run-%d", i)), 1, f.addMachine(fmt.Sprintf("h%d", (i+1)%40)))
		}
		for _, p := range f.registry.pages {
			p.urgent = true
		}
		for n := range 30 {
			f.storeOnce([]func(state.Txn) (uint64, error){f.store.apply, lostResponse}[n%2])
		}
		for k, e := range f.store.kv {
			if len(e.Value) > 1000 {
				f.t.Errorf("page %s has %d bytes", k, len(e.Value))
			}
		}
		next := newRegistryFixture(f.t)
		var hosts, notes []state.Entry
		for k, e := range f.store.kv {
			if k[0] == hostPrefix[0] {
				hosts = append(hosts, e)
			} else {
				notes = append(notes, e)
			}
		}
		if err := next.registry.load(hosts, notes); err != nil {
			f.t.Fatal(err)
		}
		for i := range 40 {
			past := map[string]bool{}
			for _, p := range next.fleet.Machines[fmt.Sprintf("h%d", i)].InheritedJobs {
				past[p.ID] = true
			}
			if !past[fmt.Sprintf("run-%d", i)] || !past[fmt.Sprintf("run-%d", (i+39)%40)] {
				f.t.Errorf("machine %d: %v", i, past)
			}
		}
	}},
	{"pages that take over each other's entries do not wait for each other", func(f *registryFixture) {
		p0, p1 := &registryPage{key: "p/0"}, &registryPage{key: "p/1"}
		f.usePages(p0, p1)
		f.addJobToPage(p0, "run-1", 60)
		f.addJobToPage(p0, "run-2", 30)
		f.addJobToPage(p1, "run-3", 20)
		f.addJobToPage(p1, "run-4", 15)
		f.storeOnce(lostResponse) // run-2 goes to the second page
		f.recordHost("run-3", 70)
		f.storeOnce(lostResponse) // and run-4 to where it has made room
		for range 6 {
			f.storeOnce(f.store.apply)
		}
		for id, w := range map[string]int{"run-1": 60, "run-2": 30, "run-3": 70, "run-4": 15} {
			if !f.jobTable.get(id).NotedMachines.Has(64*w - 1) {
				f.t.Errorf("%s is never noted", id)
			}
		}
	}},
	{"a page does not wait for entries that come to the other later", func(f *registryFixture) {
		p := &registryPage{key: "p/0"}
		f.usePages(p)
		f.addJobToPage(p, "run-1", 60)
		f.addJobToPage(p, "run-2", 10)
		f.addJobToPage(p, "run-3", 30) // goes to a page of its own
		for w := range 9 {
			f.storeOnce(f.store.apply)
			f.recordHost("run-3", 29-w) // and is in demand before each store
		}
		if !f.jobTable.jobs["run-1"].NotedMachines.Has(64*60 - 1) {
			f.t.Error("never noted")
		}
	}},
	{"pages that say too much have their turn, whatever becomes of those before them", func(f *registryFixture) {
		f.registry.maxPageBytes = 1000
		for i := range 60 {
			f.addHost(fmt.Sprintf("h%d", i))
		}
		for range 10 {
			f.storeOnce(f.store.apply)
		}
		first, last := f.registry.pages[0], f.registry.pages[len(f.registry.pages)-1]
		f.registry.removeHost(last.hosts[0])
		for i := range 6 {
			for _, p := range f.registry.pages[:len(f.registry.pages)-1] {
				p.stale = true // as in a fleet whose machines come and go
			}
			f.now = f.now.Add(staleInterval)
			if out, txn := f.registry.nextTransaction(f.now, 4, true); len(out) > 0 {
				version, err := f.store.apply(txn)
				f.registry.handleStored(out, version, nil, err)
			}
			if i == 0 && first.stale && last.stale {
				f.t.Error("nothing was taken")
			}
		}
		if last.stale {
			f.t.Error("the last page still names a machine that is gone")
		}
	}},
	{"an index is used again only when no record names its machine", func(f *registryFixture) {
		h := f.addHost("h0")
		f.storeOnce(f.store.apply)
		f.fleet.Remove(h)
		if f.registry.removeHost(h) {
			f.t.Fatal("free while the record names it")
		}
		if f.addHost("h1").Index == h.Index {
			f.t.Error("used again at once")
		}
		f.storeOnce(f.store.apply)
		if got := f.addHost("h2").Index; got != h.Index {
			f.t.Errorf("index %d, want %d", got, h.Index)
		}
	}},
	{"the note of a job that is over goes when the takeover is settled", func(f *registryFixture) {
		j := f.addArrayJob("run-1")
		f.assign(j, 0, f.addHost("h0"))
		f.storeOnce(f.store.apply)
		delete(f.jobTable.jobs, "run-1")
		f.takeover.allReconciled = false
		f.registry.removeFinishedJobs()
		if f.registry.hostsByJob["run-1"] == nil {
			f.t.Fatal("dropped before")
		}
		f.takeover.allReconciled = true
		f.registry.removeFinishedJobs()
		f.now = f.now.Add(time.Minute)
		f.storeOnce(f.store.apply)
		if len(f.store.names(f.t, "run-1")) != 0 {
			f.t.Error("still named")
		}
	}},
}

// TestRegistry: point 6 of docs/safety.md, for records that cover many machines.
func TestRegistry(t *testing.T) {
	for _, tt := range registryCases {
		t.Run(tt.name, func(t *testing.T) { tt.do(newRegistryFixture(t)) })
	}
}

// TestRegistryLoadErrors: a page that cannot be loaded is named in a pageError, with
// its fault.
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
