package control

import (
	"errors"
	"slices"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
)

// The registry shares the write budget with admission, results and ends of jobs, so its
// transactions are spaced.
const (
	// storeInterval is the minimum time between transactions of the registry.
	storeInterval = 60 * time.Millisecond
	// staleInterval is the time between stores of pages that are stale but not urgent.
	staleInterval = 2 * time.Second
	// staleRetryInterval is the time until the next store of stale pages if some did
	// not fit into one transaction. Launches wait while a transaction is in progress,
	// so the next one does not follow immediately.
	staleRetryInterval = 300 * time.Millisecond
	// storeFailurePause is the pause after a failed transaction.
	storeFailurePause = 100 * time.Millisecond
	// reservedWrites is the part of the write budget that is left to users' requests.
	reservedWrites = 2
	// maxTxnPageBytes limits the total size of the pages in one transaction. It is
	// below the protocol's limit of 64 KiB.
	maxTxnPageBytes = 44 << 10
)

// pageStore is a page in a transaction, with the content that the transaction writes.
type pageStore struct {
	page           *registryPage
	machines       []*fleet.Machine
	removedIndexes []int // indexes that the page no longer names once it is stored
	jobs           []*jobMachines
	sets           []job.MachineSet // the machines of each job in jobs
}

// storePages stores the pages that launches wait for, and also stale pages if the write
// budget is idle.
func (r *registry) storePages(now time.Time) {
	if r.commitInFlight || now.Before(r.nextStoreAt) {
		return
	}
	maxPages := min(r.recordWriter.maxWrites(), r.controller.State.SpareWrites()-reservedWrites)
	if maxPages < 1 {
		return
	}
	stores, txn := r.nextTransaction(now, maxPages, r.controller.State.WritesIdle(r.recordWriter.maxWrites()))
	if len(stores) == 0 {
		return
	}
	r.commitInFlight = true
	r.nextStoreAt = now.Add(storeInterval)
	go func() {
		version, currentVersions, err := r.commitPages(stores, txn)
		r.enqueue(func() { r.handleStored(stores, version, currentVersions, err) })
	}()
}

// nextTransaction chooses at most maxPages pages for the next transaction and encodes
// them. From this point until the outcome is known, the stored record of each page may
// be the old one or the new one, and a job may be launched only on machines that both
// name. The transaction is conditional on the version of each page, so that a delayed
// transaction cannot overwrite a newer one.
func (r *registry) nextTransaction(now time.Time, maxPages int, idle bool) (stores []pageStore, txn state.Txn) {
	staleDue := !now.Before(r.staleDueAt)
	r.splitUrgentPages()
	bytes := 0
	included := map[*registryPage]bool{}
	txn.If = []state.Condition{r.fence}
	complete := true
	for _, page := range r.storeOrder(staleDue, idle) {
		if !page.storable(included) {
			continue
		}
		size := r.pageSize(page)
		if len(stores) >= maxPages || (bytes > 0 && bytes+size > maxTxnPageBytes) {
			complete = false
			break
		}
		store, write, err := r.encodePage(page)
		if err != nil {
			r.log.Error("registry page cannot be encoded", "key", page.key, "error", err)
			continue
		}
		store.start(now)
		included[page] = true
		bytes += size
		stores = append(stores, store)
		txn.Writes = append(txn.Writes, write)
		txn.If = append(txn.If, state.Condition{Key: page.key, Version: page.version})
	}
	switch {
	case staleDue && idle && complete:
		r.staleDueAt = now.Add(staleInterval)
	case staleDue && idle:
		r.staleDueAt = now.Add(staleRetryInterval)
	}
	return stores, txn
}

// storeOrder returns the pages in the order in which they are to be stored: first the
// urgent pages, then the stale ones if they are due and the write budget is idle.
func (r *registry) storeOrder(staleDue, idle bool) []*registryPage {
	var order []*registryPage
	for _, page := range r.pages {
		if page.urgent {
			order = append(order, page)
		}
	}
	urgentCount := len(order)
	if !staleDue || !idle {
		return order
	}
	for _, page := range r.pages {
		if page.stale && !page.urgent {
			order = append(order, page)
		}
	}
	// The least recently stored page comes first. In the order of r.pages, the last
	// pages of a large fleet would never be stored, and the next leader would wait a
	// full lease for machines that were released long before.
	slices.SortStableFunc(order[urgentCount:], func(a, b *registryPage) int { return a.lastStoreAt.Compare(b.lastStoreAt) })
	return order
}

// storable reports whether every page that p depends on is stored, or is included in
// the same transaction, which is applied as a whole or not at all.
func (p *registryPage) storable(included map[*registryPage]bool) bool {
	p.dependencies = slices.DeleteFunc(p.dependencies, func(dependency storeDependency) bool {
		return dependency.page.lastStored >= dependency.storeNumber
	})
	return !slices.ContainsFunc(p.dependencies, func(dependency storeDependency) bool { return !included[dependency.page] })
}

// encodePage encodes a page. It returns the write and the content that the write
// stores.
func (r *registry) encodePage(page *registryPage) (pageStore, state.Write, error) {
	store := pageStore{
		page:           page,
		machines:       slices.Clone(page.machines),
		removedIndexes: page.removedIndexes,
		jobs:           slices.Clone(page.jobs),
	}
	record := pageRecord{}
	for _, machine := range page.machines {
		record.Machines = append(record.Machines, r.machineEntries[machine].machineRecord)
	}
	for _, jobEntry := range page.jobs {
		r.pruneGangMachines(jobEntry)
		set := slices.Clone(jobEntry.desired)
		store.sets = append(store.sets, set)
		record.Jobs = append(record.Jobs, jobMachinesRecord{Job: jobEntry.id, Team: jobEntry.team, Machines: set.Encode()})
	}
	write, err := state.Put(page.key, record)
	return store, write, err
}

// start records that a transaction includes the page. Until the outcome is known, only
// the machines that both the old and the new record name are confirmed.
func (ps *pageStore) start(now time.Time) {
	for i, jobEntry := range ps.jobs {
		jobEntry.setConfirmed(jobEntry.confirmed.Intersect(ps.sets[i]))
	}
	page := ps.page
	page.urgent = false
	page.stale = false
	page.removedIndexes = nil
	page.storesStarted++
	page.lastStoreAt = now
}

// commitPages runs the transaction. After a conflict it also returns the current
// versions of the pages, as far as they can be read.
func (r *registry) commitPages(stores []pageStore, txn state.Txn) (version uint64, currentVersions map[*registryPage]uint64, err error) {
	version, err = r.controller.State.Commit(r.ctx, txn)
	if err != nil {
		r.sleep(storeFailurePause)
	}
	if !errors.Is(err, state.ErrConflict) {
		return version, nil, err
	}
	currentVersions = map[*registryPage]uint64{}
	for _, store := range stores {
		if current, known := r.recordWriter.readVersion(store.page.key); known {
			currentVersions[store.page] = current
		}
	}
	return version, currentVersions, err
}

// handleStored applies the outcome of a transaction: it confirms the pages if they were
// stored, and marks them as urgent again if the transaction failed.
func (r *registry) handleStored(stores []pageStore, version uint64, currentVersions map[*registryPage]uint64, err error) {
	r.commitInFlight = false
	for page, current := range currentVersions {
		page.version = current
	}
	if err != nil {
		for _, store := range stores {
			store.page.urgent = true
			store.page.removedIndexes = append(store.page.removedIndexes, store.removedIndexes...)
		}
		r.recordWriter.shrinkIfRejected(err)
		return
	}
	for i := range stores {
		r.confirm(&stores[i], version)
	}
	r.requestPlan()
}

// confirm records that a page was stored at the version: its machines are registered,
// and its jobs may be launched on the machines that the page names.
func (r *registry) confirm(store *pageStore, version uint64) {
	page := store.page
	page.version = version
	page.lastStored = page.storesStarted
	for _, machine := range store.machines {
		if r.machineEntries[machine].page == page {
			machine.Registered = true
		}
	}
	for _, index := range store.removedIndexes {
		r.fleet.ReleaseIndex(index)
	}
	for i, jobEntry := range store.jobs {
		jobEntry.setConfirmed(store.sets[i])
	}
}
