package control

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// The registry is the durable memory of which machines there are and which jobs
// may be on them. A launch waits for it, so it has to take few writes whatever
// the size of the fleet: an array that starts on hundreds of machines costs one.
// Machines and jobs are kept in pages, many to a key; a job names its machines
// by a set of their indices.
const (
	hostPrefix = "m/"
	notePrefix = "p/"
	typesKey   = "c/types"
)

// hostRecord is a machine's entry in its page.
type hostRecord struct {
	Idx  int    `codec:"idx"`
	Name string `codec:"name"`
	Addr string `codec:"addr"`
	Type string `codec:"type"`
	Zone string `codec:"zone"`
	Spot bool   `codec:"spot"`
}

// noteRecord names the machines that a job may be on. The team is there for a
// job that is over when the record is read.
type noteRecord struct {
	Job   string `codec:"job"`
	Team  string `codec:"team"`
	Hosts string `codec:"hosts"`
}

type pageRecord struct {
	Hosts []hostRecord `codec:"hosts,omitempty"`
	Notes []noteRecord `codec:"notes,omitempty"`
}

type note struct {
	id, team string
	job      *job.Job // nil: not known to this term, or over
	// sure is what the record says whatever became of the last write; want is
	// what it has to say.
	sure, want job.MachineSet
	page       *page
}

func (n *note) setSure(s job.MachineSet) {
	n.sure = s
	if n.job != nil {
		n.job.NotedMachines = s
	}
}

type page struct {
	key     string
	version uint64
	hosts   []*fleet.Host
	gone    []int // indices of machines that the stored record may still name
	notes   []*note
	// urgent: a launch waits for the page; stale: it says more than it has to.
	urgent, stale bool
	// taken counts the transactions that the page was put into, stored is the last
	// of them that was applied.
	taken, stored int
	takenAt       time.Time
	// after are the stores of other pages that took entries of this one: it is not
	// stored without them before they are.
	after []handover
}

// handover is the first store of a page that has the entries it took over. Later
// ones are not waited for: a page that is always in demand would hold back the
// other for ever.
type handover struct {
	page *page
	take int
}

// waitFor notes that p is stored with or after the next store of q.
func (p *page) waitFor(q *page) {
	for i := range p.after {
		if p.after[i].page == q {
			p.after[i].take = q.taken + 1
			return
		}
	}
	p.after = append(p.after, handover{q, q.taken + 1})
}

// entry is a machine's place in the registry.
type entry struct {
	hostRecord
	page *page
}

type registry struct {
	*core
	nameIndex    *nameIndex
	jobTable     *jobTable
	takeover     *takeover
	recordWriter *recordWriter

	pages   []*page // of machines, then of notes as they come
	next    map[string]int
	entries map[*fleet.Host]entry
	notes   map[string]*note
	limit   int // bytes that a page may have
	storing bool
	nextAt  time.Time
	staleAt time.Time
}

// pageShare is the part of the state service's limit for values that a page may
// fill: sizes are estimated.
const pageShare = 0.7

// noteEvery spaces the writes of the registry, and staleEvery those of pages
// that merely say too much: the budget of writes is shared with acceptance,
// results and endings.
const (
	noteEvery  = 60 * time.Millisecond
	staleEvery = 2 * time.Second
	// staleStep spaces those that did not fit into one transaction: while one is under
	// way, what launches wait for is not stored.
	staleStep = 300 * time.Millisecond
)

// txnBytes bounds the pages of one transaction, below the protocol's 64 KiB.
const txnBytes = 44 << 10

func newRegistry(co *core, valueKB float64) *registry {
	g := &registry{core: co, limit: max(leastPage, int(valueKB*1024*pageShare))}
	g.reset()
	return g
}

// reset forgets the pages of a load that failed half-way.
func (g *registry) reset() {
	g.pages, g.next, g.entries, g.notes = nil, map[string]int{}, map[*fleet.Host]entry{}, map[string]*note{}
}

// leastPage is how small pages may become, in bytes.
const leastPage = 512

// loose reports whether pages may still become smaller.
func (g *registry) loose() bool { return g.limit > leastPage }

// tighten halves the pages: the state service takes less than its settings say.
func (g *registry) tighten() { g.limit = max(leastPage, g.limit/2) }

// adopt ties a job to the note that an earlier leader has made of it.
func (g *registry) adopt(j *job.Job) {
	if n := g.notes[j.ID]; n != nil {
		n.job, j.NotedMachines = j, n.sure
	}
}

// orphan unties a job that is over and gone from its note.
func (g *registry) orphan(id string) {
	if n := g.notes[id]; n != nil {
		n.job = nil
	}
}

// size estimates a page's length in the form in which the limits count.
func (g *registry) size(p *page) int {
	n := 40
	for _, h := range p.hosts {
		n += hostSize(h)
	}
	for _, t := range p.notes {
		n += noteSize(t)
	}
	return n
}

func hostSize(h *fleet.Host) int  { return 120 + len(h.Name) + len(h.Addr) }
func noteSize(n *note) int        { return 60 + len(n.id) + len(n.team) + 11*len(n.want) }
func (p *page) is(pr string) bool { return p.key[:len(pr)] == pr }

// room finds a page of that kind that takes n more bytes. For what another page
// hands over it waits for none itself: two that waited for each other would never
// be stored, and nothing that they name would ever be launched.
func (g *registry) room(prefix string, n int, handed bool) *page {
	for _, p := range g.pages {
		if p.is(prefix) && (!handed || len(p.after) == 0) && g.size(p)+n <= g.limit {
			return p
		}
	}
	p := &page{key: fmt.Sprintf("%s%d", prefix, g.next[prefix])}
	g.next[prefix]++
	g.pages = append(g.pages, p)
	return p
}

// enter puts a machine into the registry.
func (g *registry) enter(h *fleet.Host, typ, zone string) {
	if _, in := g.entries[h]; in {
		return
	}
	p := g.room(hostPrefix, hostSize(h), false)
	p.hosts = append(p.hosts, h)
	p.urgent = true
	g.entries[h] = entry{hostRecord{Idx: h.Idx, Name: h.Name, Addr: h.Addr, Type: typ, Zone: zone, Spot: h.Spot}, p}
}

// leave takes a machine out and reports whether its index is free at once; else
// it is free when its page has been stored.
func (g *registry) leave(h *fleet.Host) bool {
	for _, n := range g.notes {
		n.want.Remove(h.Idx)
	}
	e, in := g.entries[h]
	if !in {
		return true
	}
	p := e.page
	delete(g.entries, h)
	p.hosts = slices.DeleteFunc(p.hosts, func(x *fleet.Host) bool { return x == h })
	p.gone, p.stale = append(p.gone, h.Idx), true
	return false
}

// note asks for a job to be named for a machine.
func (g *registry) note(j *job.Job, h *fleet.Host) {
	n := g.notes[j.ID]
	if n == nil {
		n = &note{id: j.ID, team: j.Team, job: j}
		n.page = g.room(notePrefix, noteSize(n)+11*(h.Idx/64+2), false)
		n.page.notes = append(n.page.notes, n)
		g.notes[j.ID] = n
	}
	n.want.Add(h.Idx)
	if !j.NotedMachines.Has(h.Idx) {
		n.page.urgent = true
	}
}

// forget drops a job's note: nothing of it is on any machine, and it is over.
func (g *registry) forget(n *note) {
	delete(g.notes, n.id)
	n.page.notes = slices.DeleteFunc(n.page.notes, func(x *note) bool { return x == n })
	n.page.stale = true
}

// split moves entries that have outgrown a page, or a limit that has become
// tighter, to others.
func (g *registry) split(p *page) {
	moved := func(q *page) *page {
		q.urgent = true
		p.waitFor(q)
		return q
	}
	for len(p.notes) > 1 && g.size(p) > g.limit {
		n := p.notes[len(p.notes)-1]
		p.notes = p.notes[:len(p.notes)-1]
		n.page = moved(g.room(notePrefix, noteSize(n), true))
		n.page.notes = append(n.page.notes, n)
	}
	for len(p.hosts) > 1 && g.size(p) > g.limit {
		h := p.hosts[len(p.hosts)-1]
		p.hosts = p.hosts[:len(p.hosts)-1]
		e := g.entries[h]
		e.page = moved(g.room(hostPrefix, hostSize(h), true))
		e.page.hosts = append(e.page.hosts, h)
		g.entries[h] = e
	}
}

// sent is one page on its way to the state service.
type sent struct {
	page  *page
	hosts []*fleet.Host
	gone  []int
	notes []*note
	sets  []job.MachineSet
}

// take chooses the pages of the next transaction and encodes them. From here on
// a record may be the old one or the new one: only what both name may be
// launched.
func (g *registry) take(now time.Time, most int, idle bool) (out []sent, txn state.Txn) {
	stale := !now.Before(g.staleAt)
	g.splitUrgent()
	bytes := 0
	together := map[*page]bool{} // in this transaction
	txn.If = []state.Cond{g.fence}
	whole := true
	for _, p := range g.takeOrder(stale, idle) {
		// What goes in one transaction is stored together, or not at all and waits again.
		p.after = slices.DeleteFunc(p.after, func(w handover) bool { return w.page.stored >= w.take })
		if slices.ContainsFunc(p.after, func(w handover) bool { return !together[w.page] }) {
			continue
		}
		size := g.size(p)
		if len(out) >= most || (bytes > 0 && bytes+size > txnBytes) {
			whole = false
			break
		}
		s, w, err := g.encodePage(p)
		if err != nil {
			g.log.Error("page does not encode", "key", p.key, "error", err)
			continue
		}
		markTaken(p, s, now)
		together[p] = true
		bytes += size
		out = append(out, s)
		txn.Writes = append(txn.Writes, w)
		txn.If = append(txn.If, state.Cond{Key: p.key, Version: p.version})
	}
	switch {
	case stale && idle && whole:
		g.staleAt = now.Add(staleEvery)
	case stale && idle:
		g.staleAt = now.Add(staleStep)
	}
	return out, txn
}

// splitUrgent splits the pages that are to be stored next where they have
// grown too large.
func (g *registry) splitUrgent() {
	for i := 0; i < len(g.pages); i++ { // a split appends
		if p := g.pages[i]; p.urgent {
			g.split(p)
		}
	}
}

// takeOrder is the order in which pages are taken: the urgent ones, then, when
// the stale ones are due and nothing else waits, those.
func (g *registry) takeOrder(stale, idle bool) []*page {
	var order []*page
	for _, p := range g.pages {
		if p.urgent {
			order = append(order, p)
		}
	}
	urgent := len(order)
	if stale && idle {
		for _, p := range g.pages {
			if p.stale && !p.urgent {
				order = append(order, p)
			}
		}
		// The one that was not taken for longest comes first. In the order of the pages
		// the last ones of a large fleet never had their turn, and a successor waited a
		// full lease for machines that had long been returned.
		slices.SortStableFunc(order[urgent:], func(a, b *page) int { return a.takenAt.Compare(b.takenAt) })
	}
	return order
}

// encodePage makes the write of a page, and what it sends of its hosts and notes.
func (g *registry) encodePage(p *page) (s sent, w state.Write, err error) {
	s = sent{page: p, hosts: slices.Clone(p.hosts), gone: p.gone, notes: slices.Clone(p.notes)}
	rec := pageRecord{}
	for _, h := range p.hosts {
		rec.Hosts = append(rec.Hosts, g.entries[h].hostRecord)
	}
	for _, n := range p.notes {
		g.prune(n)
		set := slices.Clone(n.want)
		s.sets = append(s.sets, set)
		rec.Notes = append(rec.Notes, noteRecord{Job: n.id, Team: n.team, Hosts: set.Encode()})
	}
	w, err = state.Put(p.key, rec)
	return s, w, err
}

// markTaken records that page p goes into the transaction: from here on only
// what both the old and the new record name may be launched.
func markTaken(p *page, s sent, now time.Time) {
	for i, n := range s.notes {
		n.setSure(n.sure.Intersect(s.sets[i]))
	}
	p.urgent, p.stale, p.gone = false, false, nil
	p.taken++
	p.takenAt = now
}

// prune narrows the note of a gang to where its members may be now: it starts
// anew elsewhere, and a silent machine must not hold it back for an attempt that
// is over. An array comes back to the machines that it has used, so its note
// only grows, which spares most writes.
func (g *registry) prune(n *note) {
	if n.job == nil || n.job.Shape != job.Gang || !g.takeover.reconciled() {
		return
	}
	clear(n.want)
	for s := range g.fleet.On(n.job) {
		n.want.Add(s.Host.Idx)
	}
}

// register stores what launches wait for.
func (g *registry) register(now time.Time) {
	if g.storing || now.Before(g.nextAt) {
		return
	}
	// What is left of the budget after users, who come first.
	most := min(g.recordWriter.size(), g.controller.State.Spare()-2)
	if most < 1 {
		return
	}
	out, txn := g.take(now, most, g.controller.State.Idle(g.recordWriter.size()))
	if len(out) == 0 {
		return
	}
	// On each page's version, so that an unclear write that is applied late cannot
	// take the place of a newer one.
	g.storing, g.nextAt = true, now.Add(noteEvery)
	go func() {
		version, err := g.controller.State.Commit(g.ctx, txn)
		found := map[*page]uint64{}
		if err != nil {
			g.sleep(100 * time.Millisecond)
		}
		if errors.Is(err, state.ErrConflict) {
			for _, s := range out {
				e, gerr := g.controller.State.Get(g.ctx, s.page.key)
				if gerr == nil || errors.Is(gerr, state.ErrNotFound) {
					found[s.page] = e.Version
				}
			}
		}
		g.enqueue(func() { g.stored(out, version, found, err) })
	}()
}

func (g *registry) stored(out []sent, version uint64, found map[*page]uint64, err error) {
	g.storing = false
	for p, v := range found {
		p.version = v
	}
	if err != nil {
		for _, s := range out {
			s.page.urgent = true
			s.page.gone = append(s.page.gone, s.gone...)
		}
		g.recordWriter.smaller(err)
		return
	}
	for _, s := range out {
		s.page.version, s.page.stored = version, s.page.taken
		for _, h := range s.hosts {
			if g.entries[h].page == s.page {
				h.Durable = true
			}
		}
		for _, idx := range s.gone {
			g.fleet.Free(idx)
		}
		for i, n := range s.notes {
			n.setSure(s.sets[i])
		}
	}
	g.requestPlan()
}

// pageError is a stored page of the registry that cannot be taken in: a leader
// must not take over from records that it cannot read whole.
type pageError struct {
	key string
	err error
}

func (e *pageError) Error() string { return "page " + e.key + ": " + e.err.Error() }

func (e *pageError) Unwrap() error { return e.err }

// indexReusedError is a stored page that gives a machine's index to another
// machine as well.
type indexReusedError struct {
	idx int
}

func (e *indexReusedError) Error() string { return fmt.Sprintf("index %d is used twice", e.idx) }

// load takes in the pages of an earlier leader.
func (g *registry) load(hosts, notes []state.Entry) error {
	byIdx := map[int]*fleet.Host{}
	for _, e := range hosts {
		p, rec, err := g.readPage(hostPrefix, e)
		if err != nil {
			return err
		}
		if err := g.loadHosts(e.Key, p, rec, byIdx); err != nil {
			return err
		}
	}
	for _, e := range notes {
		p, rec, err := g.readPage(notePrefix, e)
		if err != nil {
			return err
		}
		if err := g.loadNotes(e.Key, p, rec, byIdx); err != nil {
			return err
		}
	}
	return nil
}

// readPage decodes a stored page and adds it, stale, to the registry.
func (g *registry) readPage(prefix string, e state.Entry) (*page, *pageRecord, error) {
	var rec pageRecord
	var n int
	if err := wire.Unmarshal(e.Value, &rec); err != nil {
		return nil, nil, &pageError{key: e.Key, err: err}
	}
	if _, err := fmt.Sscanf(e.Key[len(prefix):], "%d", &n); err != nil {
		return nil, nil, &pageError{key: e.Key, err: err}
	}
	g.next[prefix] = max(g.next[prefix], n+1)
	p := &page{key: e.Key, version: e.Version, stale: true}
	g.pages = append(g.pages, p)
	return p, &rec, nil
}

// loadHosts adds the hosts of a stored page to the fleet, by their index.
func (g *registry) loadHosts(key string, p *page, rec *pageRecord, byIdx map[int]*fleet.Host) error {
	for _, hr := range rec.Hosts {
		if h := byIdx[hr.Idx]; h != nil && h.Name == hr.Name {
			g.orderHandover(p, g.entries[h].page) // a move between pages was under way
			continue
		}
		if byIdx[hr.Idx] != nil || hr.Idx < 0 {
			return &pageError{key: key, err: &indexReusedError{idx: hr.Idx}}
		}
		h := g.fleet.AddAt(hr.Name, hr.Idx, g.termStart)
		byIdx[hr.Idx] = h
		h.Addr, h.Durable, h.Inherited, h.Booting = hr.Addr, true, true, false
		g.nameIndex.describe(h, hr.Type, hr.Zone, hr.Spot)
		p.hosts = append(p.hosts, h)
		g.entries[h] = entry{hr, p}
	}
	return nil
}

// loadNotes takes in the notes of a stored page, and tells each host which jobs
// have run on it.
func (g *registry) loadNotes(key string, p *page, rec *pageRecord, byIdx map[int]*fleet.Host) error {
	for _, nr := range rec.Notes {
		set, err := job.ParseMachineSet(nr.Hosts)
		if err != nil {
			return &pageError{key: key, err: err}
		}
		g.loadNote(p, nr, set)
		team := g.nameIndex.team(nr.Team)
		for idx, h := range byIdx {
			if set.Has(idx) {
				h.InheritedJobs = append(h.InheritedJobs, fleet.InheritedJob{ID: nr.Job, Team: team})
			}
		}
	}
	return nil
}

// loadNote adds a stored note, or merges it into the one of the same job that
// another page holds.
func (g *registry) loadNote(p *page, nr noteRecord, set job.MachineSet) {
	if n := g.notes[nr.Job]; n != nil {
		// A move between pages was under way. What both name together holds,
		// and nothing is launched before one of them has it all.
		for i := range 64 * len(set) {
			if set.Has(i) {
				n.want.Add(i)
			}
		}
		n.sure = nil
		g.orderHandover(p, n.page)
		return
	}
	n := &note{id: nr.Job, team: nr.Team, sure: set, want: slices.Clone(set), page: p}
	p.notes = append(p.notes, n)
	g.notes[n.id] = n
}

// orderHandover orders the pages of an entry that is in both: the one that
// retains it is stored before the other drops it.
func (g *registry) orderHandover(drops, retains *page) {
	retains.urgent = true
	drops.waitFor(retains)
}

// sweepNotes drops the notes of jobs that are over, once every machine that they
// name is settled.
func (g *registry) sweepNotes() {
	if !g.takeover.reconciled() {
		return
	}
	for id, n := range g.notes {
		if g.jobTable.get(id) == nil {
			g.forget(n)
		}
	}
}
