package control

import (
	"slices"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
)

// registry is the leader's copy of the stored pages of machines and jobs, and what
// they have to say next (records_pages.go).
type registry struct {
	*core
	nameIndex    *nameIndex
	jobTable     *jobTable
	takeover     *takeover
	recordWriter *recordWriter

	pages        []*registryPage // in the order in which they were made or read
	nextPage     map[string]int  // number of the next page, by key prefix
	hostEntries  map[*fleet.Machine]hostEntry
	hostsByJob   map[string]*jobHosts // by job ID
	maxPageBytes int                  // limit of the estimated size of a page
	// commitInFlight: a transaction is under way. There is one at a time.
	commitInFlight bool
	nextStoreAt    time.Time // no transaction before
	staleDueAt     time.Time // stale pages are not stored before
}

// newRegistry makes a registry whose pages fit the state service's limit for values,
// in KiB.
func newRegistry(co *core, valueKB float64) *registry {
	r := &registry{core: co, maxPageBytes: max(minPageBytes, int(valueKB*1024*valueFillFraction))}
	r.reset()
	return r
}

// reset forgets the pages of a load that failed half-way.
func (r *registry) reset() {
	r.pages = nil
	r.nextPage = map[string]int{}
	r.hostEntries = map[*fleet.Machine]hostEntry{}
	r.hostsByJob = map[string]*jobHosts{}
}

// canShrinkPages reports whether the size limit of pages may still be lowered.
func (r *registry) canShrinkPages() bool { return r.maxPageBytes > minPageBytes }

// shrinkPages halves the size limit of pages: the state service accepts less than
// its settings say.
func (r *registry) shrinkPages() { r.maxPageBytes = max(minPageBytes, r.maxPageBytes/2) }

// attachJob connects a job with the entry that an earlier leader has stored for it.
func (r *registry) attachJob(j *job.Job) {
	if jh := r.hostsByJob[j.ID]; jh != nil {
		jh.job = j
		j.NotedMachines = jh.confirmed
	}
}

// detachJob disconnects a job that is over from its entry.
func (r *registry) detachJob(id string) {
	if jh := r.hostsByJob[id]; jh != nil {
		jh.job = nil
	}
}

// addHost adds a machine to the registry, unless it has it already.
func (r *registry) addHost(h *fleet.Machine, typ, zone string) {
	if _, registered := r.hostEntries[h]; registered {
		return
	}
	p := r.pageWithRoom(hostPrefix, hostSize(h), false)
	p.hosts = append(p.hosts, h)
	p.urgent = true
	record := hostRecord{Idx: h.Index, Name: h.Name, Addr: h.Addr, Type: typ, Zone: zone, Spot: h.Spot}
	r.hostEntries[h] = hostEntry{hostRecord: record, page: p}
}

// removeHost removes a machine and reports whether its index is free at once;
// otherwise the index is free when the machine's page has been stored.
func (r *registry) removeHost(h *fleet.Machine) bool {
	for _, jh := range r.hostsByJob {
		jh.desired.Remove(h.Index)
	}
	entry, registered := r.hostEntries[h]
	if !registered {
		return true
	}
	delete(r.hostEntries, h)
	p := entry.page
	p.hosts = slices.DeleteFunc(p.hosts, func(x *fleet.Machine) bool { return x == h })
	p.removedIndexes = append(p.removedIndexes, h.Index)
	p.stale = true
	return false
}

// recordPlacement has the registry name a machine for a job; the job may be launched
// there once j.NotedMachines has the machine.
func (r *registry) recordPlacement(j *job.Job, h *fleet.Machine) {
	jh := r.hostsByJob[j.ID]
	if jh == nil {
		jh = &jobHosts{id: j.ID, team: j.Team, job: j}
		size := jobHostsSize(jh) + setWordBytes*(h.Index/setWordBits+2)
		jh.page = r.pageWithRoom(jobHostsPrefix, size, false)
		jh.page.jobs = append(jh.page.jobs, jh)
		r.hostsByJob[j.ID] = jh
	}
	jh.desired.Add(h.Index)
	if !j.NotedMachines.Has(h.Index) {
		jh.page.urgent = true
	}
}

// pruneGangHosts narrows the entry of a gang to the machines that its members may be
// on now: the gang restarts elsewhere, and an unreachable machine of an attempt that
// is over must not delay it. An array comes back to the machines that it has used,
// so its entry only grows, which saves most writes.
func (r *registry) pruneGangHosts(jh *jobHosts) {
	if jh.job == nil || jh.job.Shape != job.Gang || !r.takeover.reconciled() {
		return
	}
	clear(jh.desired)
	for s := range r.fleet.SlotsOf(jh.job) {
		jh.desired.Add(s.Machine.Index)
	}
}

// removeFinishedJobs removes the entries of jobs that are over, once every machine
// that they name is settled.
func (r *registry) removeFinishedJobs() {
	if !r.takeover.reconciled() {
		return
	}
	for id, jh := range r.hostsByJob {
		if r.jobTable.get(id) == nil {
			r.removeJob(jh)
		}
	}
}

// removeJob removes the entry of a job that is over and on no machine.
func (r *registry) removeJob(jh *jobHosts) {
	delete(r.hostsByJob, jh.id)
	jh.page.jobs = slices.DeleteFunc(jh.page.jobs, func(x *jobHosts) bool { return x == jh })
	jh.page.stale = true
}
