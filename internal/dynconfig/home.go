package dynconfig

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxTeams bounds the teams, removed ones included: a region states all of them in one
	// message.
	MaxTeams = 1000
	// grantsPerReply bounds a reply.
	grantsPerReply = 64
	// minRaiseFraction is the part of a share by which it is raised at the least before all of it
	// is free: each raise is a write at both regions.
	minRaiseFraction = 0.1
)

// Update is what has to be stored at the home region in one transaction before it counts.
type Update struct {
	Head    Head
	Records []*TeamRecord
}

// Empty reports whether there is nothing to store.
func (u *Update) Empty() bool { return len(u.Records) == 0 }

// follower is what the home's leader knows of a region.
type follower struct {
	// reported: the region has told this leader all that it holds.
	reported  bool
	reports   map[string]TeamReport
	storedSeq uint64
	// newestSeq is the highest sequence of the region's grants.
	newestSeq uint64
	// term and number are those of the region's last request.
	term, number uint64
	// lastRequest is when the region last asked.
	lastRequest time.Time
	// pending are the teams whose shares are not in force there, with the first revision that
	// is not.
	pending map[string]uint64
	// since is when it came to the revision that it is at.
	revision      uint64
	revisionSince time.Time
}

// Home is the configuration at the leader of the home region, for one term.
type Home struct {
	term      uint64
	regions   []string
	head      Head
	teams     map[string]*TeamRecord
	followers map[string]*follower
	dirty     map[string]bool // teams that the next step looks at
	history   []*HistoryEntry // changes that are kept, by revision
}

// NewHome goes on from what earlier leaders have stored.
func NewHome(term uint64, regions []string, head Head, records []*TeamRecord) *Home {
	h := &Home{term: term, regions: slices.Clone(regions), head: head, teams: map[string]*TeamRecord{}, followers: map[string]*follower{}, dirty: map[string]bool{}}
	for _, r := range records {
		h.teams[r.Name] = r
		h.dirty[r.Name] = true
	}
	for _, region := range regions {
		h.followers[region] = &follower{reports: map[string]TeamReport{}, pending: map[string]uint64{}}
	}
	for name := range h.teams {
		h.updatePending(name)
	}
	return h
}

// Head is the stored position.
func (h *Home) Head() Head { return h.head }

// HandleRequest takes in a request. It returns the reply where there is nothing to wait for; nil:
// Reply answers it, now or as soon as Pending says that there is something to tell.
func (h *Home) HandleRequest(q *Request, now time.Time) *Reply {
	f := h.followers[q.Region]
	if f == nil {
		return &Reply{Refused: "region " + q.Region + " is not known at the home region"}
	}
	if q.Term < f.term || (q.Term == f.term && q.Number <= f.number) {
		return &Reply{Refused: "a later request of the region was answered"}
	}
	f.term, f.number, f.lastRequest = q.Term, q.Number, now
	if !q.Full && (!f.reported || q.HomeTerm != h.term) {
		f.reported = false
		return &Reply{Term: h.term, Resync: true}
	}
	if q.Full {
		f.reported = true
		clear(f.reports)
		for name := range h.teams {
			h.dirty[name] = true
		}
	}
	f.storedSeq = q.After
	// Where the home's store has lost its last moments, what it decides from now on has to
	// count as newer than what the region has.
	h.head.Seq = max(h.head.Seq, q.After)
	h.head.Revision = max(h.head.Revision, q.Revision)
	for _, s := range q.Reports {
		f.reports[s.Team] = s
		h.dirty[s.Team] = true
		h.updatePending(s.Team)
	}
	h.trackRevision(q.Region, now)
	return nil
}

// Reply answers a request that was heard; it tells only of what is stored.
func (h *Home) Reply(q *Request) *Reply {
	f := h.followers[q.Region]
	if f.term != q.Term || f.number != q.Number {
		return &Reply{Refused: "a later request of the region was heard"}
	}
	p := &Reply{Term: h.term}
	p.Grants, p.More = h.grantsAfter(q.Region, q.After)
	return p
}

// grantsAfter are those after a sequence, in its order.
func (h *Home) grantsAfter(region string, after uint64) (out []RegionGrant, more bool) {
	for _, r := range h.teams {
		if g, ok := r.Grants[region]; ok && g.Seq > after {
			out = append(out, RegionGrant{Team: r.Name, Seq: g.Seq, Revision: r.Revision, Limit: g.Limit, Guarantee: g.Guarantee, Target: g.Target, Removed: g.Removed})
		}
	}
	slices.SortFunc(out, func(a, b RegionGrant) int { return cmp.Compare(a.Seq, b.Seq) })
	if len(out) > grantsPerReply {
		return out[:grantsPerReply], true
	}
	return out, false
}

// HasGrants reports whether a region has grants to take.
func (h *Home) HasGrants(region string, after uint64) bool {
	f := h.followers[region]
	return f != nil && f.newestSeq > after
}

// allReported reports whether every region has told this leader what it holds. Until then
// no share is raised: the store may have lost the raise of another one.
func (h *Home) allReported() bool {
	for _, f := range h.followers {
		if !f.reported {
			return false
		}
	}
	return true
}

// Step returns what follows from what the regions have said, for up to most teams. What
// it returns counts once it is applied.
func (h *Home) Step(most int) Update {
	u := Update{Head: h.head}
	for _, name := range slices.Sorted(maps.Keys(h.dirty)) {
		if len(u.Records) >= most {
			break
		}
		delete(h.dirty, name)
		r := h.teams[name]
		if r == nil {
			if r = h.adopt(name); r == nil {
				continue
			}
			u.Head.Revision++
			r.Revision = u.Head.Revision
		}
		if next := h.reconcile(r, &u.Head); next != nil {
			u.Records = append(u.Records, next)
		}
	}
	return u
}

// Apply takes in an update that is stored.
func (h *Home) Apply(u Update) {
	h.head = Head{max(h.head.Revision, u.Head.Revision), max(h.head.Seq, u.Head.Seq)}
	for _, r := range u.Records {
		h.teams[r.Name] = r
		h.updatePending(r.Name)
		h.dirty[r.Name] = true // a raise may follow from a lowering that needs no word
	}
}

// Requeue looks again at what an update that could not be stored was about.
func (h *Home) Requeue(u Update) {
	for _, r := range u.Records {
		h.dirty[r.Name] = true
	}
}

// adopt makes the record of a team that a region has a grant for and the store has lost:
// it goes on with what the regions have. nil: no region has one.
func (h *Home) adopt(name string) *TeamRecord {
	granted := func(f *follower) bool { return f.reports[name].Seq > 0 }
	if !h.allReported() || !slices.ContainsFunc(slices.Collect(maps.Values(h.followers)), granted) {
		return nil
	}
	r := h.recordFromReports(name)
	r.Adopted = true
	return r
}

// reconcile compares what the regions are told with what they are to have and what they
// hold, and returns the record that has to be stored; nil: nothing has changed.
func (h *Home) reconcile(was *TeamRecord, head *Head) *TeamRecord {
	r := was.clone()
	changed := false
	for _, region := range h.regions {
		g, moved := h.reconcileReport(r, region)
		if g.Seq == 0 && !h.followers[region].reported {
			r.Grants[region] = g // it is told nothing before it has spoken
			continue
		}
		share := h.currentShare(r, region)
		limit := g.Limit.elementMin(share.Limit)
		next := Grant{g.Seq, limit, share.Guarantee.elementMin(limit), r.target(share), r.Removed, g.Held}
		if next != g || g.Seq == 0 {
			moved = true
			head.Seq++
			next.Seq = head.Seq
		}
		r.Grants[region] = next
		changed = changed || moved
	}
	if h.allReported() {
		for _, region := range h.regions {
			changed = h.raise(r, region, head) || changed
		}
	}
	if !changed {
		return nil
	}
	return r
}

// currentShare is what a region is to have now. Of a team that was removed it has what it had
// until it takes no jobs of it any more and the last one is over.
func (h *Home) currentShare(r *TeamRecord, region string) Share {
	g, f := r.Grants[region], h.followers[region]
	s := f.reports[r.Name]
	closed := s.Seq == g.Seq || g.Limit == Amount{} // once closed it stays so, unless a late job shows up
	if r.Removed && g.Removed && f.reported && !s.Busy && closed {
		return Share{}
	}
	return r.configuredShare(region)
}

// reconcileReport is what a region is told, with what is held for it after its last statement. A
// sequence of 0 means that it has to be told anew; told reports whether the record has to
// be stored for that.
func (h *Home) reconcileReport(r *TeamRecord, region string) (g Grant, told bool) {
	g, known := r.Grants[region]
	f := h.followers[region]
	s, says := f.reports[r.Name]
	switch {
	case !f.reported:
		if !known {
			// Nothing is known of what it holds: nothing can be raised before it speaks.
			return Grant{Held: NoLimit()}, false
		}
		return g, false
	case !known, g.Held == NoLimit() && g.Seq == 0:
		return Grant{Limit: s.Limit, Held: s.Held.elementMax(s.Limit)}, true
	case !says:
		return g, false
	case s.Seq > g.Seq, s.Seq == g.Seq && s.Limit != g.Limit, s.Seq < g.Seq && g.Seq <= f.storedSeq:
		// The store has lost what the region was told since.
		g.Held = g.Held.elementMax(s.Held).elementMax(s.Limit)
		g.Seq = 0
		return g, true
	case s.Seq < g.Seq:
		// It has yet to take the grant. It may hold more than is known where its own store
		// was put back.
		held := g.Held.elementMax(s.Held).elementMax(s.Limit)
		changed := held != g.Held
		g.Held = held
		return g, changed
	}
	held := g.Limit.elementMax(s.Held)
	// What is given back is stored with the raise that rests on it, or once it is all.
	done := held != g.Held && held == g.Limit
	g.Held = held
	return g, done
}

// raise lets a region have more of its share as far as no other holds it.
func (h *Home) raise(r *TeamRecord, region string, head *Head) bool {
	g, share := r.Grants[region], h.currentShare(r, region)
	free := r.Limit.minus(r.heldByOthers(region))
	limit := g.Limit.elementMax(share.Limit.elementMin(free))
	if limit.approxEqual(g.Limit) {
		return false
	}
	if !limit.approxEqual(share.Limit) && !worthRaising(g.Limit, limit, share.Limit) {
		return false
	}
	head.Seq++
	r.Grants[region] = Grant{head.Seq, limit, share.Guarantee.elementMin(limit), r.target(share), r.Removed, g.Held.elementMax(limit)}
	return true
}

// worthRaising reports whether a raise is a large enough part of a share.
func worthRaising(from, to, share Amount) bool {
	part := func(from, to, share float64) bool { return to > from && to-from >= minRaiseFraction*share }
	return part(from.CPUs, to.CPUs, share.CPUs) || part(from.GPUs, to.GPUs, share.GPUs)
}
