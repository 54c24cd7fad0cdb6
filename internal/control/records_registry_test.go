package control

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// registryCase is a case of TestRegistry, which calls run with a new registryFixture.
type registryCase struct {
	name string
	run  func(f *registryFixture)
}

var registryCases = []registryCase{
	{"an array on 60 machines is stored with one write per kind of page", func(f *registryFixture) {
		j := f.addArrayJob("run-1")
		for i := range 60 {
			f.assign(j, int32(i), f.addRegisteredMachine(fmt.Sprintf("h%d", i)))
		}
		if n := len(f.storeOnce(f.store.apply).Writes); n != 2 {
			f.t.Errorf("the transaction has %d writes, want 2: a page of machines and a page of jobs", n)
		}
		for i := range 60 {
			if !j.RegisteredMachines.Has(i) {
				f.t.Errorf("the job cannot be launched on machine %d although the write was stored", i)
			}
		}
	}},
	{"a write with unknown outcome confirms nothing, and a delayed write does not overwrite a newer one", func(f *registryFixture) {
		j := f.addArrayJob("run-1")
		f.assign(j, 0, f.addRegisteredMachine("h0"))
		delayed := f.storeOnce(lostResponse)
		if j.RegisteredMachines.Has(0) || f.addMachine("h0").Registered {
			f.t.Error("the job may be launched, or the machine is registered, after a write with unknown outcome")
		}
		f.assign(j, 1, f.addRegisteredMachine("h1"))
		f.storeOnce(f.store.apply)
		if _, err := f.store.apply(delayed); err == nil {
			f.t.Error("the delayed write was applied after a newer one")
		}
		f.checkRecordedMachines()
	}},
	{"a write with unknown outcome that was applied is detected by the next conflict", func(f *registryFixture) {
		j := f.addArrayJob("run-1")
		f.assign(j, 0, f.addRegisteredMachine("h0"))
		delayed := f.storeOnce(lostResponse)
		if _, err := f.store.apply(delayed); err != nil {
			f.t.Fatal(err)
		}
		f.storeOnce(f.store.apply) // this transaction conflicts with the stored pages
		f.storeOnce(f.store.apply)
		if !j.RegisteredMachines.Has(0) {
			f.t.Error("the job cannot be launched on machine 0 although the write after the conflict was stored")
		}
	}},
	{"a gang's entry shrinks to its current machines once that write is confirmed", func(f *registryFixture) {
		j := newGangJob(f, "run-1")
		f.assign(j, 0, f.addRegisteredMachine("h0"))
		f.storeOnce(f.store.apply)
		for slot := range f.fleet.SlotsOf(j) {
			f.fleet.Stop(slot, 0)
		}
		f.assign(j, 1, f.addRegisteredMachine("h1"))
		f.storeOnce(lostResponse)
		if j.RegisteredMachines.Has(0) || j.RegisteredMachines.Has(1) {
			f.t.Error("the gang may be launched on a machine that only the old or only the new record names")
		}
		f.storeOnce(f.store.apply)
		if j.RegisteredMachines.Has(0) || !j.RegisteredMachines.Has(1) {
			f.t.Error("after the write, machine 1 is not the only one on which the gang may be launched")
		}
	}},
	{"pages that outgrow the size limit are split, and the next leader loads all entries", func(f *registryFixture) {
		for i := range 40 {
			f.assign(f.addArrayJob(fmt.Sprintf("run-%d", i)), 0, f.addRegisteredMachine(fmt.Sprintf("h%d", i)))
		}
		f.storeOnce(f.store.apply)
		f.registry.maxPageBytes = 1000
		for i := range 40 {
			f.assign(f.jobTable.get(fmt.Sprintf("run-%d", i)), 1, f.addMachine(fmt.Sprintf("h%d", (i+1)%40)))
		}
		for _, page := range f.registry.pages {
			page.urgent = true
		}
		for n := range 30 {
			f.storeOnce([]func(state.Txn) (uint64, error){f.store.apply, lostResponse}[n%2])
		}
		for pageKey, entry := range f.store.kv {
			if len(entry.Value) > 1000 {
				f.t.Errorf("page %s has %d bytes, want at most 1000", pageKey, len(entry.Value))
			}
		}
		next := newRegistryFixture(f.t)
		var machinePages, jobPages []state.Entry
		for pageKey, entry := range f.store.kv {
			if pageKey[0] == machinePrefix[0] {
				machinePages = append(machinePages, entry)
			} else {
				jobPages = append(jobPages, entry)
			}
		}
		if err := next.registry.load(machinePages, jobPages); err != nil {
			f.t.Fatal(err)
		}
		for i := range 40 {
			inheritedJobs := map[string]bool{}
			for _, inheritedJob := range next.fleet.Machines[fmt.Sprintf("h%d", i)].InheritedJobs {
				inheritedJobs[inheritedJob.ID] = true
			}
			if !inheritedJobs[fmt.Sprintf("run-%d", i)] || !inheritedJobs[fmt.Sprintf("run-%d", (i+39)%40)] {
				f.t.Errorf("machine %d has the inherited jobs %v, want the job of the same number and the one before it", i, inheritedJobs)
			}
		}
	}},
	{"two pages that exchange entries do not block each other", func(f *registryFixture) {
		firstPage, secondPage := &registryPage{key: "p/0"}, &registryPage{key: "p/1"}
		f.usePages(firstPage, secondPage)
		f.addJobToPage(firstPage, "run-1", 60)
		f.addJobToPage(firstPage, "run-2", 30)
		f.addJobToPage(secondPage, "run-3", 20)
		f.addJobToPage(secondPage, "run-4", 15)
		f.storeOnce(lostResponse) // run-2 moves to the second page
		f.recordMachine("run-3", 70)
		f.storeOnce(lostResponse) // run-4 moves to the room that run-2 has left
		for range 6 {
			f.storeOnce(f.store.apply)
		}
		for id, words := range map[string]int{"run-1": 60, "run-2": 30, "run-3": 70, "run-4": 15} {
			if !f.jobTable.get(id).RegisteredMachines.Has(64*words - 1) {
				f.t.Errorf("%s cannot be launched after six more transactions", id)
			}
		}
	}},
	{"a page does not wait for entries that are added to the other page later", func(f *registryFixture) {
		page := &registryPage{key: "p/0"}
		f.usePages(page)
		f.addJobToPage(page, "run-1", 60)
		f.addJobToPage(page, "run-2", 10)
		f.addJobToPage(page, "run-3", 30) // moves to a page of its own
		for i := range 9 {
			f.storeOnce(f.store.apply)
			f.recordMachine("run-3", 29-i) // changes again before each transaction
		}
		if !f.jobTable.jobs["run-1"].RegisteredMachines.Has(64*60 - 1) {
			f.t.Error("run-1 cannot be launched after nine transactions")
		}
	}},
	{"every stale page is stored in turn while other pages become stale again", func(f *registryFixture) {
		f.registry.maxPageBytes = 1000
		for i := range 60 {
			f.addRegisteredMachine(fmt.Sprintf("h%d", i))
		}
		for range 10 {
			f.storeOnce(f.store.apply)
		}
		first, last := f.registry.pages[0], f.registry.pages[len(f.registry.pages)-1]
		f.registry.removeMachine(last.machines[0])
		for i := range 6 {
			for _, page := range f.registry.pages[:len(f.registry.pages)-1] {
				page.stale = true // as in a fleet with a steady turnover of machines
			}
			f.now = f.now.Add(staleInterval)
			if stores, txn := f.registry.nextTransaction(f.now, 4, true); len(stores) > 0 {
				version, err := f.store.apply(txn)
				f.registry.handleStored(stores, version, nil, err)
			}
			if i == 0 && first.stale && last.stale {
				f.t.Error("the first transaction stored neither the first nor the last stale page")
			}
		}
		if last.stale {
			f.t.Error("the last stored page still names the removed machine")
		}
	}},
	{"an index is reused only after no stored record names its machine", func(f *registryFixture) {
		machine := f.addRegisteredMachine("h0")
		f.storeOnce(f.store.apply)
		f.fleet.Remove(machine)
		if f.registry.removeMachine(machine) {
			f.t.Fatal("the index is free while the stored record still names the machine")
		}
		if f.addRegisteredMachine("h1").Index == machine.Index {
			f.t.Error("the index was reused before the page was stored without the machine")
		}
		f.storeOnce(f.store.apply)
		if got := f.addRegisteredMachine("h2").Index; got != machine.Index {
			f.t.Errorf("the new machine has index %d, want the freed index %d", got, machine.Index)
		}
	}},
	{"the entry of a job that has ended is removed once all machines are reconciled", func(f *registryFixture) {
		j := f.addArrayJob("run-1")
		f.assign(j, 0, f.addRegisteredMachine("h0"))
		f.storeOnce(f.store.apply)
		delete(f.jobTable.jobs, "run-1")
		f.takeover.allReconciled = false
		f.registry.removeFinishedJobs()
		if f.registry.machinesByJob["run-1"] == nil {
			f.t.Fatal("the entry was removed before all machines were reconciled")
		}
		f.takeover.allReconciled = true
		f.registry.removeFinishedJobs()
		f.now = f.now.Add(time.Minute)
		f.storeOnce(f.store.apply)
		if len(f.store.recordedMachines(f.t, "run-1")) != 0 {
			f.t.Error("a stored record still names machines for the ended job")
		}
	}},
}

// TestRegistry checks point 6 of docs/safety.md for records that cover many machines.
func TestRegistry(t *testing.T) {
	for _, tt := range registryCases {
		t.Run(tt.name, func(t *testing.T) { tt.run(newRegistryFixture(t)) })
	}
}

// TestRegistryLoadErrors checks that a page that cannot be loaded yields a pageError
// with its key and the cause.
func TestRegistryLoadErrors(t *testing.T) {
	encode := func(record pageRecord) []byte {
		encoded, err := wire.Marshal(record)
		if err != nil {
			t.Fatal(err)
		}
		return encoded
	}
	sharedIndex := pageRecord{Machines: []machineRecord{{Idx: 3, Name: "h3", Addr: "10.0.0.1:1", Type: "small", Zone: "a"}, {Idx: 3, Name: "h4", Addr: "10.0.0.1:1", Type: "small", Zone: "a"}}}
	tests := []struct {
		name                   string
		machinePages, jobPages []state.Entry
		key, text              string
		reused                 bool // the cause is an indexReusedError
	}{
		{"a page that cannot be decoded is reported", []state.Entry{{Key: machinePrefix + "0", Value: []byte{0xff}}}, nil, machinePrefix + "0", "", false},
		{"a page whose key has no number is reported", []state.Entry{{Key: machinePrefix + "x", Value: encode(pageRecord{})}}, nil, machinePrefix + "x", "", false},
		{"an index that two machines share is reported as reused", []state.Entry{{Key: machinePrefix + "0", Value: encode(sharedIndex)}}, nil, machinePrefix + "0", "registry page m/0: machine index 3 is used twice", true},
		{"a job's machine set that cannot be parsed is reported", nil, []state.Entry{{Key: jobMachinesPrefix + "0", Value: encode(pageRecord{Jobs: []jobMachinesRecord{{Job: "run-1", Team: "red", Machines: "?"}}})}}, jobMachinesPrefix + "0", "", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err := newRegistryFixture(t).registry.load(tt.machinePages, tt.jobPages)
			var pageErr *pageError
			if !errors.As(err, &pageErr) || pageErr.key != tt.key {
				t.Fatalf("load returned error %v, want a pageError for %s", err, tt.key)
			}
			var reusedErr *indexReusedError
			if errors.As(err, &reusedErr) != tt.reused {
				t.Errorf("load returned error %v: caused by an indexReusedError: %v, want %v", err, !tt.reused, tt.reused)
			}
			if tt.text != "" && err.Error() != tt.text {
				t.Errorf("load returned error %q, want %q", err, tt.text)
			}
		})
	}
}
