package control

import (
	"fmt"
	"strings"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
)

// The registry is the durable record of which machines there are and which jobs
// may be on them. A launch waits for it, so it has to take few writes whatever
// the size of the fleet: an array that starts on hundreds of machines costs one.
// Machines and jobs are stored in pages, many to a key; a job names its machines
// by the set of their indexes.

// Keys of the registry in the state service.
const (
	hostPrefix     = "m/"      // pages of machines
	jobHostsPrefix = "p/"      // pages of jobs with the machines that they may be on
	typesKey       = "c/types" // the cloud's price list
)

// hostRecord is a machine's entry in a stored page.
type hostRecord struct {
	Idx  int    `codec:"idx"`
	Name string `codec:"name"`
	Addr string `codec:"addr"`
	Type string `codec:"type"`
	Zone string `codec:"zone"`
	Spot bool   `codec:"spot"`
}

// jobHostsRecord is a job's entry in a stored page: the machines that it may be on.
// It names the team because the job may be over when the next leader reads it.
type jobHostsRecord struct {
	Job   string `codec:"job"`
	Team  string `codec:"team"`
	Hosts string `codec:"hosts"` // a job.MachineSet as text
}

// pageRecord is a stored page, either of machines or of jobs.
type pageRecord struct {
	Hosts []hostRecord     `codec:"hosts,omitempty"`
	Jobs  []jobHostsRecord `codec:"notes,omitempty"`
}

// hostEntry is a machine's entry in the registry, with its page.
type hostEntry struct {
	hostRecord
	page *registryPage
}

// jobHosts is a job's entry in the registry: the machines that it may be on.
type jobHosts struct {
	id   string // of the job
	team string
	job  *job.Job // nil: not known to this term, or over
	page *registryPage
	// confirmed are the machines that the stored record names whatever became of the
	// last write; desired are those that it has to name.
	confirmed job.MachineSet
	desired   job.MachineSet
}

// setConfirmed sets the machines that the stored record certainly names: these are
// the ones on which the job may be launched.
func (jh *jobHosts) setConfirmed(s job.MachineSet) {
	jh.confirmed = s
	if jh.job != nil {
		jh.job.NotedMachines = s
	}
}

// registryPage is a page of the registry as the leader knows it.
type registryPage struct {
	key     string
	version uint64 // of the stored page; 0: it is not stored
	hosts   []*fleet.Machine
	jobs    []*jobHosts
	// removedIndexes are those of removed machines that the stored record may still
	// name.
	removedIndexes []int
	// urgent: a launch waits for the page to be stored.
	urgent bool
	// stale: the stored page names more than it has to.
	stale bool
	// storesBegun counts the transactions that included the page; lastStored is the
	// number of the last of them that was applied.
	storesBegun int
	lastStored  int
	lastBegunAt time.Time // when the last such transaction was begun
	// dependencies are the stores of other pages that took over entries of this one.
	// This page is stored with them or after them.
	dependencies []storeDependency
}

// storeDependency is the first store of a page that includes entries which it took
// over. Later stores are not waited for: a page that is always in demand would
// delay the other one forever.
type storeDependency struct {
	page        *registryPage
	storeNumber int // as counted by storesBegun
}

// storeAfter makes the next store of p wait for the next store of q, or go with it.
func (p *registryPage) storeAfter(q *registryPage) {
	for i := range p.dependencies {
		if p.dependencies[i].page == q {
			p.dependencies[i].storeNumber = q.storesBegun + 1
			return
		}
	}
	p.dependencies = append(p.dependencies, storeDependency{page: q, storeNumber: q.storesBegun + 1})
}

// hasPrefix reports whether the page is of the kind that the key prefix stands for.
func (p *registryPage) hasPrefix(prefix string) bool { return strings.HasPrefix(p.key, prefix) }

const (
	// valueFillFraction is the fraction of the state service's limit for values that
	// a page may fill: sizes are estimated.
	valueFillFraction = 0.7
	// minPageBytes is how small the size limit of pages may become.
	minPageBytes = 512
)

// Estimates of encoded sizes in bytes, in the form in which the state service counts
// them: of what is fixed in a page and in its entries, and of one word of a set.
const (
	pageOverheadBytes     = 40
	hostOverheadBytes     = 120
	jobHostsOverheadBytes = 60
	setWordBytes          = 11
	setWordBits           = 64
)

// pageSize estimates the encoded size of a page.
func (r *registry) pageSize(p *registryPage) int {
	n := pageOverheadBytes
	for _, h := range p.hosts {
		n += hostSize(h)
	}
	for _, jh := range p.jobs {
		n += jobHostsSize(jh)
	}
	return n
}

// hostSize estimates the encoded size of a machine's entry.
func hostSize(h *fleet.Machine) int { return hostOverheadBytes + len(h.Name) + len(h.Addr) }

// jobHostsSize estimates the encoded size of a job's entry.
func jobHostsSize(jh *jobHosts) int {
	return jobHostsOverheadBytes + len(jh.id) + len(jh.team) + setWordBytes*len(jh.desired)
}

// pageWithRoom returns a page of that kind that has room for n more bytes, a new one
// if there is none. A page that takes over entries of another one (takesOver) must
// have no dependencies itself: two pages that waited for each other would never be
// stored, and nothing that they name would ever be launched.
func (r *registry) pageWithRoom(prefix string, n int, takesOver bool) *registryPage {
	for _, p := range r.pages {
		if p.hasPrefix(prefix) && (!takesOver || len(p.dependencies) == 0) && r.pageSize(p)+n <= r.maxPageBytes {
			return p
		}
	}
	p := &registryPage{key: fmt.Sprintf("%s%d", prefix, r.nextPage[prefix])}
	r.nextPage[prefix]++
	r.pages = append(r.pages, p)
	return p
}

// splitUrgentPages splits the pages that are to be stored next where they have
// grown too large.
func (r *registry) splitUrgentPages() {
	for i := 0; i < len(r.pages); i++ { // splitPage appends
		if p := r.pages[i]; p.urgent {
			r.splitPage(p)
		}
	}
}

// splitPage moves entries of a page that is larger than the limit to other pages.
func (r *registry) splitPage(p *registryPage) {
	for len(p.jobs) > 1 && r.pageSize(p) > r.maxPageBytes {
		last := len(p.jobs) - 1
		jh := p.jobs[last]
		p.jobs = p.jobs[:last]
		to := r.pageWithRoom(jobHostsPrefix, jobHostsSize(jh), true)
		r.storeInOrder(p, to)
		to.jobs = append(to.jobs, jh)
		jh.page = to
	}
	for len(p.hosts) > 1 && r.pageSize(p) > r.maxPageBytes {
		last := len(p.hosts) - 1
		h := p.hosts[last]
		p.hosts = p.hosts[:last]
		to := r.pageWithRoom(hostPrefix, hostSize(h), true)
		r.storeInOrder(p, to)
		to.hosts = append(to.hosts, h)
		entry := r.hostEntries[h]
		entry.page = to
		r.hostEntries[h] = entry
	}
}

// storeInOrder makes sure that an entry which moves from one page to another is
// stored in the new page before, or together with, its removal from the old one.
func (r *registry) storeInOrder(from, to *registryPage) {
	to.urgent = true
	from.storeAfter(to)
}
