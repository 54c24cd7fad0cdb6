package control

import (
	"fmt"
	"strings"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
)

// The registry is the durable record of the machines and of the jobs that may run on
// each of them. A launch waits until the registry is stored, so the number of writes
// must stay small at any fleet size: an array that starts on hundreds of machines costs
// one write. For this reason a key holds a page with many machines or many jobs, and
// the entry of a job lists its machines as a set of indexes.

// Keys of the registry in the key-value store.
const (
	machinePrefix     = "m/"      // pages of machines
	jobMachinesPrefix = "p/"      // pages of jobs with the machines that they may run on
	typesKey          = "c/types" // the cloud's price list
)

// machineRecord is a machine's entry in a stored page.
type machineRecord struct {
	Idx  int    `codec:"idx"`
	Name string `codec:"name"`
	Addr string `codec:"addr"`
	Type string `codec:"type"`
	Zone string `codec:"zone"`
	Spot bool   `codec:"spot"`
}

// jobMachinesRecord is a job's entry in a stored page: the machines that the job may
// run on. It includes the team because the job may have ended before the next leader
// reads the entry.
type jobMachinesRecord struct {
	Job      string `codec:"job"`
	Team     string `codec:"team"`
	Machines string `codec:"hosts"` // a job.MachineSet, encoded as text
}

// pageRecord is a stored page, either of machines or of jobs.
type pageRecord struct {
	Machines []machineRecord     `codec:"hosts,omitempty"`
	Jobs     []jobMachinesRecord `codec:"notes,omitempty"`
}

// machineEntry is a machine's entry in the registry, with the page that holds it.
type machineEntry struct {
	machineRecord
	page *registryPage
}

// jobMachines is a job's entry in the registry: the machines that the job may run on.
type jobMachines struct {
	id   string // job ID
	team string
	job  *job.Job // nil if the job has ended or is unknown to this term
	page *registryPage
	// confirmed are the machines that the stored record names regardless of the outcome
	// of the last write; desired are those that it has to name.
	confirmed job.MachineSet
	desired   job.MachineSet
}

// setConfirmed sets the machines that the stored record is certain to name. The job may
// be launched on these machines only.
func (jm *jobMachines) setConfirmed(machines job.MachineSet) {
	jm.confirmed = machines
	if jm.job != nil {
		jm.job.RegisteredMachines = machines
	}
}

// registryPage is the leader's copy of a page of the registry.
type registryPage struct {
	key      string
	version  uint64 // version of the stored page; 0 if it is not stored
	machines []*fleet.Machine
	jobs     []*jobMachines
	// removedIndexes are the indexes of removed machines that the stored page may still
	// name.
	removedIndexes []int
	// urgent is set while a launch waits for the page to be stored.
	urgent bool
	// stale is set while the stored page names machines or jobs that it no longer has
	// to name.
	stale bool
	// storesStarted counts the transactions that included the page; lastStored is the
	// number of the latest one that was applied.
	storesStarted int
	lastStored    int
	lastStoreAt   time.Time // start of the latest transaction that included the page
	// dependencies are the stores of other pages to which entries of this page have
	// moved. This page is stored in the same transaction or later.
	dependencies []storeDependency
}

// storeDependency is the first store of a page that includes the entries moved to it.
// Later stores are not waited for: a page that is stored again and again would delay
// the dependent page forever.
type storeDependency struct {
	page        *registryPage
	storeNumber int // as counted by storesStarted
}

// storeAfter makes the next store of p wait for the next store of other, or share its
// transaction.
func (p *registryPage) storeAfter(other *registryPage) {
	for i := range p.dependencies {
		if p.dependencies[i].page == other {
			p.dependencies[i].storeNumber = other.storesStarted + 1
			return
		}
	}
	p.dependencies = append(p.dependencies, storeDependency{page: other, storeNumber: other.storesStarted + 1})
}

// hasPrefix reports whether the page is of the kind that the key prefix denotes.
func (p *registryPage) hasPrefix(prefix string) bool { return strings.HasPrefix(p.key, prefix) }

const (
	// valueFillFraction is the fraction of the key-value store's value size limit that
	// a page may fill. The rest is a margin, because page sizes are estimated.
	valueFillFraction = 0.7
	// minPageBytes is the lower bound of the size limit of pages.
	minPageBytes = 512
)

// Estimated encoded sizes, in bytes as the key-value store counts them: the fixed part
// of a page, the fixed part of an entry, and one word of a machine set.
const (
	pageOverheadBytes        = 40
	machineOverheadBytes     = 120
	jobMachinesOverheadBytes = 60
	setWordBytes             = 11
	setWordBits              = 64
)

// pageSize estimates the encoded size of a page.
func (r *registry) pageSize(page *registryPage) int {
	size := pageOverheadBytes
	for _, machine := range page.machines {
		size += machineEntrySize(machine)
	}
	for _, jobEntry := range page.jobs {
		size += jobEntrySize(jobEntry)
	}
	return size
}

// machineEntrySize estimates the encoded size of a machine's entry.
func machineEntrySize(machine *fleet.Machine) int {
	return machineOverheadBytes + len(machine.Name) + len(machine.Addr)
}

// jobEntrySize estimates the encoded size of a job's entry.
func jobEntrySize(jobEntry *jobMachines) int {
	return jobMachinesOverheadBytes + len(jobEntry.id) + len(jobEntry.team) + setWordBytes*len(jobEntry.desired)
}

// pageWithRoom returns a page with that key prefix that has room for size more bytes,
// or a new page if there is none. If takesOver is set, the page is to receive entries
// of another page and must have no dependencies itself: two pages that wait for each
// other would never be stored, and the jobs that they name would never be launched.
func (r *registry) pageWithRoom(prefix string, size int, takesOver bool) *registryPage {
	for _, page := range r.pages {
		if page.hasPrefix(prefix) && (!takesOver || len(page.dependencies) == 0) && r.pageSize(page)+size <= r.maxPageBytes {
			return page
		}
	}
	page := &registryPage{key: fmt.Sprintf("%s%d", prefix, r.nextPage[prefix])}
	r.nextPage[prefix]++
	r.pages = append(r.pages, page)
	return page
}

// splitUrgentPages splits those of the pages to be stored next that have outgrown the
// size limit.
func (r *registry) splitUrgentPages() {
	for i := 0; i < len(r.pages); i++ { // splitPage may append pages
		if page := r.pages[i]; page.urgent {
			r.splitPage(page)
		}
	}
}

// splitPage moves entries of a page that exceeds the size limit to other pages.
func (r *registry) splitPage(page *registryPage) {
	for len(page.jobs) > 1 && r.pageSize(page) > r.maxPageBytes {
		last := len(page.jobs) - 1
		jobEntry := page.jobs[last]
		page.jobs = page.jobs[:last]
		target := r.pageWithRoom(jobMachinesPrefix, jobEntrySize(jobEntry), true)
		r.storeInOrder(page, target)
		target.jobs = append(target.jobs, jobEntry)
		jobEntry.page = target
	}
	for len(page.machines) > 1 && r.pageSize(page) > r.maxPageBytes {
		last := len(page.machines) - 1
		machine := page.machines[last]
		page.machines = page.machines[:last]
		target := r.pageWithRoom(machinePrefix, machineEntrySize(machine), true)
		r.storeInOrder(page, target)
		target.machines = append(target.machines, machine)
		entry := r.machineEntries[machine]
		entry.page = target
		r.machineEntries[machine] = entry
	}
}

// storeInOrder ensures that an entry that moves from one page to another is stored in
// the new page before its removal from the old one is stored, or in the same
// transaction.
func (r *registry) storeInOrder(from, to *registryPage) {
	to.urgent = true
	from.storeAfter(to)
}
