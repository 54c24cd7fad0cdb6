package dynconfig

import (
	"fmt"
	"time"

	"vetchstream/internal/explorer"
)

// The explorer plays the orders in which a home region and two others that share the limit
// of a team store records, exchange requests that may be lost, late or repeated, end terms,
// and have their stores restored to an earlier state.

// guard is a safety rule that can be disabled in a world, to check that the explorer finds
// why it is needed.
type guard uint8

const (
	none            guard = iota
	acknowledged          // a released amount is held for the region until it reports the release
	usageHeld             // a region holds what its tasks use
	reportsFirst          // a new home leader raises nothing before all regions have reported
	newestRequest         // a request that is not the region's newest is refused
	currentReply          // a reply to an abandoned request is ignored
	storedBeforeUse       // a grant takes effect, and is reported, once it is stored
	fencing               // a transaction of an earlier leader of the region fails
	confirmation          // a region whose store was restored waits for the home region's confirmation
	storedMark            // so does the leader after the next
)

const (
	theTeam = "red"
	total   = 3 // the team's limit, in CPUs
	// maxChanges, maxEnds and maxRestores bound the faults and changes in a walk.
	maxChanges  = 3
	maxEnds     = 2
	maxRestores = 1
	// stepTeams is how many teams a step of the home region reconciles.
	stepTeams = 10
)

// regionSim is a region with its leader and what its store holds.
type regionSim struct {
	replica           *Replica
	term              uint64
	entries           map[string]RegionGrant // stored
	previousEntries   map[string]RegionGrant // stored before the last transaction
	markedUnconfirmed bool                   // stored: the limits have to be confirmed
	used              float64
	request           *Request
	reply             *Reply
	lateRequest       *Request // abandoned, and delivered all the same
	lateReply         *Reply
	storing           []RegionGrant
	lateTxn           []RegionGrant // of an earlier leader
	highestSeq        uint64        // of the grants in effect since the store was last restored
	regression        string        // describes a grant that took effect after a later one
}

// world is the home region with its store, and the other regions.
type world struct {
	disabled        guard
	home            *Home
	term            uint64
	storedHead      Head
	records         map[string]*TeamRecord
	previousRecords map[string]*TeamRecord // stored before the last transaction
	previousHead    Head
	regions         [2]regionSim
	restores        int // stores that were restored
	changesMade     int
	leaderEnds      int
}

var regionNames = []string{"a", "b"}

func newWorld(disabled guard) *world {
	w := &world{
		disabled:        disabled,
		records:         map[string]*TeamRecord{},
		previousRecords: map[string]*TeamRecord{},
	}
	w.startHomeTerm()
	for i := range w.regions {
		w.regions[i].entries = map[string]RegionGrant{}
		w.regions[i].previousEntries = map[string]RegionGrant{}
		w.startTerm(i, false)
	}
	return w
}

func (w *world) startHomeTerm() {
	w.term++
	var records []*TeamRecord
	for _, r := range w.records {
		records = append(records, r.clone())
	}
	w.home = NewHome(w.term, regionNames, w.storedHead, records)
	if w.disabled == reportsFirst {
		for _, f := range w.home.followers {
			f.reported = true
		}
	}
}

func (w *world) startTerm(i int, restored bool) {
	s := &w.regions[i]
	s.term++
	var entries []RegionGrant
	for _, e := range s.entries {
		entries = append(entries, e)
	}
	if restored && w.disabled != confirmation && w.disabled != storedMark {
		s.markedUnconfirmed = true
	}
	unconfirmed := (restored && w.disabled != confirmation) || s.markedUnconfirmed
	s.replica = NewReplica(regionNames[i], s.term, map[string]Share{}, entries, unconfirmed)
	s.request = nil
	s.reply = nil
	s.storing = nil
}

func (s *regionSim) usage() UsageFunc {
	return func(string) (Amount, bool) { return Amount{CPUs: s.used}, s.used > 0 }
}

func (w *world) reportedUsage(s *regionSim) UsageFunc {
	if w.disabled == usageHeld {
		return func(string) (Amount, bool) { return Amount{}, false }
	}
	return s.usage()
}

// storeHome stores an update of the home region and applies it.
func (w *world) storeHome(u Update) {
	w.previousRecords = map[string]*TeamRecord{}
	w.previousHead = w.storedHead
	for n, r := range w.records {
		w.previousRecords[n] = r
	}
	w.storedHead = Head{
		Revision: max(w.storedHead.Revision, u.Head.Revision),
		Seq:      max(w.storedHead.Seq, u.Head.Seq),
	}
	for _, r := range u.Records {
		w.records[r.Name] = r.clone()
	}
	w.home.Apply(u)
	if w.disabled == acknowledged {
		w.assumeReleased()
	}
}

// assumeReleased makes the home region act as if every region had reported its grants.
func (w *world) assumeReleased() {
	for _, r := range w.home.teams {
		for region, g := range r.Grants {
			g.Held = g.Limit
			r.Grants[region] = g
			w.home.followers[region].reports[r.Name] = TeamReport{Team: r.Name, Seq: g.Seq, Limit: g.Limit, Held: g.Limit}
			w.home.dirty[r.Name] = true
		}
	}
}

// homeReply is the home's reply to a request.
func (w *world) homeReply(q *Request) *Reply {
	if p := w.home.HandleRequest(q, time.Time{}); p != nil {
		return p
	}
	return w.home.Reply(q)
}

// split is the change that divides the team's limit between the two regions.
func split(a, b float64) *Change {
	quota := func(cpus float64) *Quota {
		gpus := 0.0
		return &Quota{CPUs: &cpus, GPUs: &gpus}
	}
	return &Change{Teams: []TeamChange{{
		Name:    theTeam,
		Limit:   quota(total),
		Regions: map[string]RegionQuota{"a": {Limit: quota(a)}, "b": {Limit: quota(b)}},
	}}}
}

var testChanges = []*Change{split(3, 0), split(0, 3), split(1, 2)}

// store stores entries at a region.
func (s *regionSim) store(entries []RegionGrant) {
	s.previousEntries = map[string]RegionGrant{}
	for n, e := range s.entries {
		s.previousEntries[n] = e
	}
	for _, e := range entries {
		s.entries[e.Team] = e
	}
}

// applyStored puts stored entries into effect.
func (s *regionSim) applyStored(entries []RegionGrant) {
	s.replica.ApplyStored(entries)
	seq := s.replica.teams[theTeam].Seq
	if seq < s.highestSeq {
		s.regression = fmt.Sprintf("grant %d counts after %d", seq, s.highestSeq)
	}
	s.highestSeq = max(s.highestSeq, seq)
}

// Fingerprint implements explorer.World.
func (w *world) Fingerprint() string {
	p := &explorer.FingerprintBuilder{}
	p.Values(w.storedHead, " ", w.changesMade, w.leaderEnds, w.restores, len(w.home.dirty), w.home.head)
	for _, n := range regionNames {
		for _, recs := range []map[string]*TeamRecord{w.home.teams, w.records, w.previousRecords} {
			if r := recs[theTeam]; r != nil {
				p.Values(" ", r.Grants[n], r.Shares[n])
			}
		}
		f := w.home.followers[n]
		if r := w.home.teams[theTeam]; r != nil {
			p.Values(r.Removed)
		}
		p.Values(" ", f.reported, f.reports[theTeam], f.storedSeq)
	}
	for i := range w.regions {
		s := &w.regions[i]
		r := s.replica
		p.Values("\n", s.used, s.markedUnconfirmed, s.entries, s.previousEntries, s.storing, s.lateTxn, r.teams, r.lastSeq, r.homeTerm, r.reportedTerm, r.acknowledged, r.unconfirmed)
		for _, q := range []*Request{s.request, s.lateRequest} {
			if q != nil {
				p.Values(" asks ", q.HomeTerm, q.After, q.Full, q.Reports, q.Term == s.term)
			}
		}
		for _, a := range []*Reply{s.reply, s.lateReply} {
			if a != nil {
				p.Values(" gets ", a.Term, a.Resync, a.Grants)
			}
		}
	}
	return p.String()
}

// Violation implements explorer.World.
func (w *world) Violation() string {
	sum := 0.0
	for i := range w.regions {
		s := &w.regions[i]
		share, _ := s.replica.Share(theTeam, s.usage())
		sum += max(s.used, share.Limit.CPUs)
		if s.regression != "" {
			return s.regression
		}
	}
	if sum > total+tolerance {
		return fmt.Sprintf("the regions may use %g of %d", sum, total)
	}
	return ""
}
