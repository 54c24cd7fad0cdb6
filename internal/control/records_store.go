package control

import (
	"errors"
	"slices"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
)

// The write budget is shared with admission, results and job ends, so stores of the
// registry are spaced.
const (
	// storeInterval is the least time between transactions of the registry.
	storeInterval = 60 * time.Millisecond
	// staleInterval is the time between stores of pages that are merely stale.
	staleInterval = 2 * time.Second
	// staleRetryInterval is the time until the next store of stale pages when some did
	// not fit into one transaction: while it is under way, launches wait.
	staleRetryInterval = 300 * time.Millisecond
	// storeFailurePause is the wait after a transaction that failed.
	storeFailurePause = 100 * time.Millisecond
	// reservedWrites of the budget are left to users' requests.
	reservedWrites = 2
	// maxTxnPageBytes bounds the pages of one transaction, below the protocol's 64 KiB.
	maxTxnPageBytes = 44 << 10
)

// pageStore is one page in a transaction, with what it says there.
type pageStore struct {
	page           *registryPage
	hosts          []*fleet.Machine
	removedIndexes []int // no longer named by the page once it is stored
	jobs           []*jobHosts
	sets           []job.MachineSet // the machines of each of jobs
}

// storePages stores the pages that launches wait for, and stale ones if the budget
// is idle.
func (r *registry) storePages(now time.Time) {
	if r.commitInFlight || now.Before(r.nextStoreAt) {
		return
	}
	maxPages := min(r.recordWriter.maxWrites(), r.controller.State.SpareWrites()-reservedWrites)
	if maxPages < 1 {
		return
	}
	stores, txn := r.nextTransaction(now, maxPages, r.controller.State.Idle(r.recordWriter.maxWrites()))
	if len(stores) == 0 {
		return
	}
	r.commitInFlight = true
	r.nextStoreAt = now.Add(storeInterval)
	go func() {
		version, found, err := r.commitPages(stores, txn)
		r.enqueue(func() { r.handleStored(stores, version, found, err) })
	}()
}

// nextTransaction chooses the pages of the next transaction, at most maxPages, and
// encodes them. From here on the stored record of each may be the old one or the new
// one: a job may be launched only on machines that both name. The transaction is
// conditional on each page's version, so that one that is executed late cannot
// overwrite a newer one.
func (r *registry) nextTransaction(now time.Time, maxPages int, idle bool) (stores []pageStore, txn state.Txn) {
	staleDue := !now.Before(r.staleDueAt)
	r.splitUrgentPages()
	bytes := 0
	included := map[*registryPage]bool{}
	txn.If = []state.Condition{r.fence}
	complete := true
	for _, p := range r.storeOrder(staleDue, idle) {
		if !p.storable(included) {
			continue
		}
		size := r.pageSize(p)
		if len(stores) >= maxPages || (bytes > 0 && bytes+size > maxTxnPageBytes) {
			complete = false
			break
		}
		store, write, err := r.encodePage(p)
		if err != nil {
			r.log.Error("registry page cannot be encoded", "key", p.key, "error", err)
			continue
		}
		store.begin(now)
		included[p] = true
		bytes += size
		stores = append(stores, store)
		txn.Writes = append(txn.Writes, write)
		txn.If = append(txn.If, state.Condition{Key: p.key, Version: p.version})
	}
	switch {
	case staleDue && idle && complete:
		r.staleDueAt = now.Add(staleInterval)
	case staleDue && idle:
		r.staleDueAt = now.Add(staleRetryInterval)
	}
	return stores, txn
}

// storeOrder is the order in which pages are stored: first the urgent ones, then, if
// they are due and the budget is idle, the stale ones.
func (r *registry) storeOrder(staleDue, idle bool) []*registryPage {
	var order []*registryPage
	for _, p := range r.pages {
		if p.urgent {
			order = append(order, p)
		}
	}
	urgent := len(order)
	if !staleDue || !idle {
		return order
	}
	for _, p := range r.pages {
		if p.stale && !p.urgent {
			order = append(order, p)
		}
	}
	// The page that was stored least recently comes first. In the order of the pages,
	// the last ones of a large fleet would never be reached, and a successor would wait
	// a full lease for machines that were returned long before.
	slices.SortStableFunc(order[urgent:], func(a, b *registryPage) int { return a.lastBegunAt.Compare(b.lastBegunAt) })
	return order
}

// storable reports whether every page that p depends on is stored, or included in
// the same transaction: that is applied as a whole or not at all.
func (p *registryPage) storable(included map[*registryPage]bool) bool {
	p.dependencies = slices.DeleteFunc(p.dependencies, func(d storeDependency) bool {
		return d.page.lastStored >= d.storeNumber
	})
	return !slices.ContainsFunc(p.dependencies, func(d storeDependency) bool { return !included[d.page] })
}

// encodePage makes the write of a page, and what it says of its machines and jobs.
func (r *registry) encodePage(p *registryPage) (pageStore, state.Write, error) {
	store := pageStore{
		page:           p,
		hosts:          slices.Clone(p.hosts),
		removedIndexes: p.removedIndexes,
		jobs:           slices.Clone(p.jobs),
	}
	record := pageRecord{}
	for _, h := range p.hosts {
		record.Hosts = append(record.Hosts, r.hostEntries[h].hostRecord)
	}
	for _, jh := range p.jobs {
		r.pruneGangHosts(jh)
		set := slices.Clone(jh.desired)
		store.sets = append(store.sets, set)
		record.Jobs = append(record.Jobs, jobHostsRecord{Job: jh.id, Team: jh.team, Hosts: set.Encode()})
	}
	write, err := state.Put(p.key, record)
	return store, write, err
}

// begin notes that the page goes into a transaction. Until its outcome is known,
// only the machines that the old and the new record both name are confirmed.
func (ps *pageStore) begin(now time.Time) {
	for i, jh := range ps.jobs {
		jh.setConfirmed(jh.confirmed.Intersect(ps.sets[i]))
	}
	p := ps.page
	p.urgent = false
	p.stale = false
	p.removedIndexes = nil
	p.storesBegun++
	p.lastBegunAt = now
}

// commitPages runs the transaction. After a conflict it also returns the versions
// that the pages have now, as far as they can be read.
func (r *registry) commitPages(stores []pageStore, txn state.Txn) (version uint64, found map[*registryPage]uint64, err error) {
	version, err = r.controller.State.Commit(r.ctx, txn)
	if err != nil {
		r.sleep(storeFailurePause)
	}
	if !errors.Is(err, state.ErrConflict) {
		return version, nil, err
	}
	found = map[*registryPage]uint64{}
	for _, store := range stores {
		if current, known := r.recordWriter.readVersion(store.page.key); known {
			found[store.page] = current
		}
	}
	return version, found, err
}

// handleStored applies the outcome of a transaction: what it has stored is confirmed;
// if it failed, its pages are to be stored again.
func (r *registry) handleStored(stores []pageStore, version uint64, found map[*registryPage]uint64, err error) {
	r.commitInFlight = false
	for p, current := range found {
		p.version = current
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

// confirm notes that a page was stored at the version: its machines are durable, and
// its jobs may be launched on the machines that it names.
func (r *registry) confirm(store *pageStore, version uint64) {
	p := store.page
	p.version = version
	p.lastStored = p.storesBegun
	for _, h := range store.hosts {
		if r.hostEntries[h].page == p {
			h.Registered = true
		}
	}
	for _, index := range store.removedIndexes {
		r.fleet.ReleaseIndex(index)
	}
	for i, jh := range store.jobs {
		jh.setConfirmed(store.sets[i])
	}
}
