package dynconfig

import (
	"fmt"
	"time"

	"vetchstream/internal/explorer"
)

// The explorer simulates a home region and two other regions that share a team's limit. It varies
// the order in which they store records, exchange requests that may be lost, delayed or repeated,
// end terms, and have their stores restored to an earlier state.

// guard is a safety rule that a world can disable, to check that the explorer then finds a
// violation.
type guard uint8

const (
	noGuard             guard = iota
	releaseAcknowledged       // a released amount is held for the region until it reports the release
	usageHeld                 // a region holds what its tasks use
	reportsFirst              // a new home leader raises nothing before all regions have reported
	newestRequest             // a request that is not the region's newest is refused
	currentReply              // a reply to an abandoned request is ignored
	storedBeforeUse           // a grant takes effect, and is reported, once it is stored
	fencing                   // a transaction of an earlier leader of the region fails
	confirmation              // a region whose store was restored waits for the home region's confirmation
	unconfirmedMark           // the next leader waits for the confirmation as well
)

const (
	testTeam  = "red"
	limitCPUs = 3 // the team's limit, in CPUs
	// maxChanges, maxLeaderEnds and maxRestores bound the faults and changes in a walk.
	maxChanges    = 3
	maxLeaderEnds = 2
	maxRestores   = 1
	// stepTeams is how many teams a step of the home region reconciles.
	stepTeams = 10
)

// regionSim simulates a region with its leader and its store.
type regionSim struct {
	replica           *Replica
	term              uint64
	entries           map[string]RegionGrant // stored
	previousEntries   map[string]RegionGrant // stored before the last transaction
	markedUnconfirmed bool                   // stored mark that the limits have to be confirmed
	used              float64
	request           *Request
	reply             *Reply
	delayedRequest    *Request // abandoned, but still delivered
	delayedReply      *Reply
	storing           []RegionGrant
	delayedTxn        []RegionGrant // transaction of an earlier leader
	highestSeq        uint64        // of the grants that took effect since the store was last restored
	regression        string        // describes a grant that took effect after a later one
}

// world simulates the home region with its store, and the two other regions.
type world struct {
	disabled        guard
	home            *Home
	term            uint64
	storedHead      Head
	records         map[string]*TeamRecord
	previousRecords map[string]*TeamRecord // stored before the last transaction
	previousHead    Head
	regions         [2]regionSim
	restores        int // number of restored stores
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
	if restored && w.disabled != confirmation && w.disabled != unconfirmedMark {
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

// storeHome stores and applies an update of the home region.
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
	if w.disabled == releaseAcknowledged {
		w.assumeReleased()
	}
}

// assumeReleased sets the home region's state as if every region had reported its last grants.
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

// homeReply returns the home region's reply to a request.
func (w *world) homeReply(q *Request) *Reply {
	if p := w.home.HandleRequest(q, time.Time{}); p != nil {
		return p
	}
	return w.home.Reply(q)
}

// splitLimit returns the change that divides the team's limit between the two regions.
func splitLimit(a, b float64) *Change {
	quota := func(cpus float64) *Quota {
		gpus := 0.0
		return &Quota{CPUs: &cpus, GPUs: &gpus}
	}
	return &Change{Teams: []TeamChange{{
		Name:    testTeam,
		Limit:   quota(limitCPUs),
		Regions: map[string]RegionQuota{"a": {Limit: quota(a)}, "b": {Limit: quota(b)}},
	}}}
}

var testChanges = []*Change{splitLimit(3, 0), splitLimit(0, 3), splitLimit(1, 2)}

// store writes entries to the region's store.
func (s *regionSim) store(entries []RegionGrant) {
	s.previousEntries = map[string]RegionGrant{}
	for n, e := range s.entries {
		s.previousEntries[n] = e
	}
	for _, e := range entries {
		s.entries[e.Team] = e
	}
}

// applyStored makes stored entries take effect.
func (s *regionSim) applyStored(entries []RegionGrant) {
	s.replica.ApplyStored(entries)
	seq := s.replica.teams[testTeam].Seq
	if seq < s.highestSeq {
		s.regression = fmt.Sprintf("grant %d took effect after the later grant %d", seq, s.highestSeq)
	}
	s.highestSeq = max(s.highestSeq, seq)
}

// Fingerprint implements explorer.World.
func (w *world) Fingerprint() string {
	p := &explorer.FingerprintBuilder{}
	p.Values(w.storedHead, " ", w.changesMade, w.leaderEnds, w.restores, len(w.home.dirty), w.home.head)
	for _, n := range regionNames {
		for _, recs := range []map[string]*TeamRecord{w.home.teams, w.records, w.previousRecords} {
			if r := recs[testTeam]; r != nil {
				p.Values(" ", r.Grants[n], r.Shares[n])
			}
		}
		f := w.home.followers[n]
		if r := w.home.teams[testTeam]; r != nil {
			p.Values(r.Removed)
		}
		p.Values(" ", f.reported, f.reports[testTeam], f.storedSeq)
	}
	for i := range w.regions {
		s := &w.regions[i]
		r := s.replica
		p.Values("\n", s.used, s.markedUnconfirmed, s.entries, s.previousEntries, s.storing, s.delayedTxn, r.teams, r.lastSeq, r.homeTerm, r.reportedTerm, r.acknowledged, r.unconfirmed)
		for _, q := range []*Request{s.request, s.delayedRequest} {
			if q != nil {
				p.Values(" request ", q.HomeTerm, q.After, q.Full, q.Reports, q.Term == s.term)
			}
		}
		for _, a := range []*Reply{s.reply, s.delayedReply} {
			if a != nil {
				p.Values(" reply ", a.Term, a.Resync, a.Grants)
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
		share, _ := s.replica.Share(testTeam, s.usage())
		sum += max(s.used, share.Limit.CPUs)
		if s.regression != "" {
			return s.regression
		}
	}
	if sum > limitCPUs+tolerance {
		return fmt.Sprintf("the regions may use %g CPUs together, more than the limit of %d", sum, limitCPUs)
	}
	return ""
}
