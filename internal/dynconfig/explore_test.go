package dynconfig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
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

func (s *regionSim) usage(w *world) UsageFunc {
	return func(string) (Amount, bool) { return Amount{CPUs: s.used}, s.used > 0 }
}

func (w *world) reportedUsage(s *regionSim) UsageFunc {
	if w.disabled == usageHeld {
		return func(string) (Amount, bool) { return Amount{}, false }
	}
	return s.usage(w)
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

// regionAction is an action whose index chooses the region, modulo two.
func regionAction(name string, each int, do func(w *world, s *regionSim, i int) bool) explorer.Action[*world] {
	return explorer.Action[*world]{
		Name:  name,
		Count: each,
		Do:    func(w *world, i int) bool { return do(w, &w.regions[i%len(w.regions)], i) },
	}
}

// worldActions are all actions. Their order decides what a seed plays.
func worldActions() []explorer.Action[*world] {
	return slices.Concat(homeActions(), requestActions(), lateActions(), leaderActions(), taskActions(), failureActions())
}

// homeActions change and reconcile the configuration at the home region.
func homeActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("change team", len(testChanges), func(w *world, _ *regionSim, i int) bool {
			u, err := w.home.Propose(testChanges[i])
			if err != nil || w.changesMade >= maxChanges {
				return false
			}
			w.changesMade++
			w.storeHome(u)
			return true
		}),
		regionAction("remove team", 1, func(w *world, _ *regionSim, _ int) bool {
			u, err := w.home.Propose(&Change{Remove: []string{theTeam}})
			if err != nil || w.changesMade >= maxChanges {
				return false
			}
			w.changesMade++
			w.storeHome(u)
			return true
		}),
		regionAction("reconcile", 1, func(w *world, _ *regionSim, _ int) bool {
			u := w.home.Step(stepTeams)
			if u.Empty() {
				return false
			}
			w.storeHome(u)
			return true
		}),
	}
}

// requestActions carry requests and replies.
func requestActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("send request", 2, func(w *world, s *regionSim, _ int) bool {
			if s.request != nil || (s.storing != nil && w.disabled != storedBeforeUse) {
				return false
			}
			s.request = s.replica.Request(w.reportedUsage(s))
			return true
		}),
		regionAction("receive request", 2, func(w *world, s *regionSim, _ int) bool {
			if s.request == nil || s.reply != nil {
				return false
			}
			s.reply = w.homeReply(s.request)
			return true
		}),
		regionAction("receive reply", 2, func(w *world, s *regionSim, _ int) bool {
			if s.reply == nil {
				return false
			}
			if out := s.replica.HandleReply(s.request, s.reply); len(out) > 0 {
				s.storing = out
				if w.disabled == storedBeforeUse {
					s.applyStored(out)
				}
			} else if !s.replica.Unconfirmed() {
				s.markedUnconfirmed = false
			}
			s.request = nil
			s.reply = nil
			return true
		}),
	}
}

// lateActions carry requests that were abandoned, and the replies to them.
func lateActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("abandon request", 2, func(_ *world, s *regionSim, _ int) bool {
			if s.request == nil {
				return false
			}
			s.lateRequest = s.request
			s.lateReply = s.reply
			s.request = nil
			s.reply = nil
			return true
		}),
		regionAction("receive late request", 2, func(w *world, s *regionSim, _ int) bool {
			if s.lateRequest == nil {
				return false
			}
			if f := w.home.followers[s.lateRequest.Region]; w.disabled == newestRequest {
				f.term = 0
				f.number = 0
			}
			w.homeReply(s.lateRequest)
			s.lateRequest = nil
			return true
		}),
		regionAction("receive late reply", 2, func(w *world, s *regionSim, _ int) bool {
			if s.lateReply == nil || w.disabled != currentReply || s.storing != nil {
				return false
			}
			s.replica.homeTerm = 0
			s.replica.lastSeq = 0
			for _, e := range s.lateReply.Grants {
				s.storing = append(s.storing, e)
				delete(s.replica.teams, e.Team)
			}
			s.lateReply = nil
			return len(s.storing) > 0
		}),
	}
}

// leaderActions store grants and end the terms of the regions' leaders.
func leaderActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("store grants", 2, func(w *world, s *regionSim, _ int) bool {
			if s.storing == nil {
				return false
			}
			s.store(s.storing)
			s.applyStored(s.storing)
			s.storing = nil
			return true
		}),
		regionAction("end term", 2, func(w *world, s *regionSim, i int) bool {
			if w.leaderEnds >= maxEnds {
				return false
			}
			w.leaderEnds++
			s.lateTxn = s.storing
			s.lateRequest = s.request
			w.startTerm(i, false)
			return true
		}),
		regionAction("store late grants", 2, func(w *world, s *regionSim, _ int) bool {
			if w.disabled != fencing || s.lateTxn == nil {
				return false
			}
			s.store(s.lateTxn)
			s.lateTxn = nil
			return true
		}),
	}
}

// taskActions start and finish tasks, a CPU each.
func taskActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("start task", 2, func(w *world, s *regionSim, _ int) bool {
			share, known := s.replica.Share(theTeam, s.usage(w))
			if !known || s.used+1 > share.Limit.CPUs+tolerance {
				return false
			}
			s.used++
			return true
		}),
		regionAction("finish task", 2, func(_ *world, s *regionSim, _ int) bool {
			if s.used == 0 {
				return false
			}
			s.used--
			return true
		}),
	}
}

// failureActions end the home leader's term and restore stores to an earlier state.
func failureActions() []explorer.Action[*world] {
	return []explorer.Action[*world]{
		regionAction("end home term", 1, func(w *world, _ *regionSim, _ int) bool {
			if w.leaderEnds >= maxEnds {
				return false
			}
			w.leaderEnds++
			w.startHomeTerm()
			return true
		}),
		regionAction("restore home store", 1, func(w *world, _ *regionSim, _ int) bool {
			if w.restores >= maxRestores {
				return false
			}
			w.restores++
			w.records = w.previousRecords
			w.storedHead = w.previousHead
			w.startHomeTerm()
			return true
		}),
		regionAction("restore store", 2, func(w *world, s *regionSim, i int) bool {
			if w.restores >= maxRestores {
				return false
			}
			w.restores++
			s.entries = s.previousEntries
			s.highestSeq = 0
			w.startTerm(i, true)
			return true
		}),
	}
}

// Fingerprint implements explorer.World.
func (w *world) Fingerprint() string {
	p := &explorer.Printer{}
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
		share, _ := s.replica.Share(theTeam, s.usage(w))
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

// convergenceRounds is how many fault-free rounds are enough for all shares to come into
// force.
const convergenceRounds = 40

// convergenceFault plays on without faults until nothing happens any more, and describes a
// share that has not come into force; empty: all have.
func convergenceFault(w *world) string {
	if w.changesMade == 0 {
		return ""
	}
	for range convergenceRounds {
		for i := range w.regions {
			s := &w.regions[i]
			if r := w.home.teams[theTeam]; r != nil && r.Removed {
				s.used = 0
			} else if r != nil {
				s.used = min(s.used, r.Shares[regionNames[i]].Limit.CPUs) // its tasks end
			}
			if s.request != nil {
				s.request = nil
				s.reply = nil
			}
			if s.storing == nil {
				q := s.replica.Request(s.usage(w))
				s.storing = s.replica.HandleReply(q, w.homeReply(q))
			}
			s.store(s.storing)
			s.applyStored(s.storing)
			s.storing = nil
		}
		if u := w.home.Step(stepTeams); !u.Empty() {
			w.storeHome(u)
		}
	}
	if u := w.home.Step(stepTeams); !u.Empty() {
		return "the home goes on storing"
	}
	want := w.home.teams[theTeam]
	if want == nil {
		return ""
	}
	for i, n := range regionNames {
		s := &w.regions[i]
		share, _ := s.replica.Share(theTeam, s.usage(w))
		removed := want.Removed && share.Limit != Amount{}
		if share.Limit != w.home.currentShare(want, n).Limit || removed {
			return fmt.Sprintf("region %s has %v, not %v", n, share.Limit, want.Shares[n].Limit)
		}
	}
	return ""
}

// TestExplore: the regions together never may use more than the limit, no grant counts
// after a later one, and every share comes into force once the faults are over. With a
// guard disabled the explorer finds why it is there.
func TestExplore(t *testing.T) {
	const states, walks, steps, rounds = 300, 1500, 40, 3
	play := func(disabled guard) *explorer.Explorer[*world] {
		return &explorer.Explorer[*world]{
			New:            func() *world { return newWorld(disabled) },
			Actions:        worldActions(),
			MaxStates:      states,
			SettleInterval: 50,
			Settle:         convergenceFault,
		}
	}
	names := play(none)
	step := func(name string, i int) []explorer.Step { return names.Steps(i+1, name)[i:] }
	round := append(names.Steps(2, "send request", "receive request", "receive reply", "store grants"), names.Steps(1, "reconcile")...)
	settled := slices.Concat(step("change team", 0), round, round, round) // region a has all of the limit
	moved := slices.Concat(settled, step("change team", 1), round, round, round)
	underWay := slices.Concat(step("change team", 0), round, names.Steps(1, "send request", "receive request", "receive reply", "end term"), step("change team", 1), round, round, round)
	tests := []struct {
		name     string
		disabled guard
		start    []explorer.Step
	}{
		{"as it is", none, nil},
		{"as it is, a has all", none, settled},
		{"as it is, all has moved to b", none, moved},
		{"as it is, a's leader ended while it stored", none, underWay},
		{"released without an acknowledgement", acknowledged, slices.Concat(settled, step("change team", 1), step("reconcile", 0))},
		{"what is in use is not held", usageHeld, slices.Concat(settled, step("start task", 0), step("change team", 1), round, round)},
		{"raised before all regions have reported", reportsFirst, settled},
		{"an older request is accepted", newestRequest, settled},
		{"the reply to an abandoned request is accepted", currentReply, settled},
		{"a grant takes effect before it is stored", storedBeforeUse, slices.Concat(settled, step("change team", 1), names.Steps(1, "send request", "receive request", "receive reply", "send request", "receive request", "reconcile"))},
		{"a late transaction of an earlier leader", fencing, underWay},
		{"a restored store is trusted", confirmation, moved},
		{"a restored store is trusted by the leader after the next", storedMark, slices.Concat(moved, step("restore store", 0))},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := play(tt.disabled)
			g.Start = tt.start
			seen, broken := g.Explore()
			for seed := uint64(0); broken == "" && seed < rounds; seed++ {
				var n int
				n, broken = g.RandomWalk(rand.New(rand.NewPCG(seed, 0)), walks, steps)
				seen += n
			}
			if (tt.disabled == none) != (broken == "") {
				t.Errorf("%d states and steps, %q", seen, broken)
			} else {
				t.Logf("%d states and steps, %q", seen, broken)
			}
		})
	}
}
