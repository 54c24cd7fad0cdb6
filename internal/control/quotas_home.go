package control

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"vetchstream/internal/dynconfig"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Keys of the configuration at the home region.
const (
	teamRecordPrefix = "t/h/"
	headKey          = "t/head"
	// historyPrefix is followed by the slot of a change that is kept.
	historyPrefix = "t/c/"
)

// homeQuotas decides how teams change in all regions. Only the leader of the home region
// has something to do here.
type homeQuotas struct {
	*core

	home           *dynconfig.Home
	headVersion    uint64 // version of headKey
	storing        bool
	retryAt        time.Time // when an update that could not be stored is tried again
	pendingChanges []*pendingChange
	heldRequests   []*heldRequest
}

// pendingChange is a change that waits to be stored.
type pendingChange struct {
	change  *dynconfig.Change
	dryRun  bool
	respond func(*rpc.Reply)
}

// heldRequest is a request that is held until there is something to tell.
type heldRequest struct {
	request  *dynconfig.Request
	deadline time.Time
	respond  func(*dynconfig.Reply)
}

const (
	// maxPendingChanges and mostRegionsWaiting bound what waits.
	maxPendingChanges = 256
	maxHeldRequests   = 64
	// requestHoldTime is for how long a region's request is held: it says meanwhile nothing of
	// what it gives back.
	requestHoldTime = 500 * time.Millisecond
	// storeRetryDelay is the wait after an update that the state service rejects.
	storeRetryDelay = time.Second
	// teamsPerPage bounds a page of teams.
	teamsPerPage = 50
)

func newHomeQuotas(co *core) *homeQuotas { return &homeQuotas{core: co} }

// enabled reports whether this is the home region.
func (ht *homeQuotas) enabled() bool {
	r := &ht.controller.Tuning.Regions
	return r.Name != "" && r.Name == r.Home
}

// readStored reads the stored records.
func (ht *homeQuotas) readStored() (head state.Entry, records, history []state.Entry, err error) {
	if !ht.enabled() {
		return head, nil, nil, nil
	}
	if head, err = ht.controller.State.Get(ht.ctx, headKey); err != nil && !errors.Is(err, state.ErrNotFound) {
		return head, nil, nil, err
	}
	if records, _, err = ht.controller.State.List(ht.ctx, teamRecordPrefix); err != nil {
		return head, nil, nil, err
	}
	history, _, err = ht.controller.State.List(ht.ctx, historyPrefix)
	return head, records, history, err
}

// load takes in what earlier leaders have stored. What cannot be read is made anew from
// what the regions say that they hold.
func (ht *homeQuotas) load(stored state.Entry, entries, history []state.Entry) {
	if !ht.enabled() {
		return
	}
	var head dynconfig.Head
	if stored.Version != 0 {
		if err := wire.Unmarshal(stored.Value, &head); err != nil {
			ht.log.Error("the position of the configuration cannot be read", "error", err)
			head = dynconfig.Head{}
		}
	}
	var records []*dynconfig.TeamRecord
	for _, e := range entries {
		r := &dynconfig.TeamRecord{}
		if err := wire.Unmarshal(e.Value, r); err != nil || teamRecordPrefix+r.Name != e.Key {
			ht.log.Error("a team of the configuration cannot be read", "key", e.Key, "error", err)
			continue
		}
		if r.Grants == nil {
			r.Grants = map[string]dynconfig.Grant{}
		}
		records = append(records, r)
	}
	ht.home, ht.headVersion = dynconfig.NewHome(ht.term, ht.controller.Tuning.Regions.All, head, records), stored.Version
	ht.loadHistory(history)
}

// handleRequest takes in a region's request.
func (ht *homeQuotas) handleRequest(q *dynconfig.Request, back func(*dynconfig.Reply)) {
	now := time.Now()
	if p := ht.home.HandleRequest(q, now); p != nil {
		back(p)
		return
	}
	if len(ht.heldRequests) >= maxHeldRequests {
		back(ht.home.Reply(q))
		return
	}
	ht.heldRequests = append(ht.heldRequests, &heldRequest{q, now.Add(requestHoldTime), back})
	ht.step(now)
}

// step answers regions for which there is something to tell, and stores what follows from
// what they have said and from changes.
func (ht *homeQuotas) step(now time.Time) {
	if ht.home == nil {
		return
	}
	kept := ht.heldRequests[:0]
	for _, w := range ht.heldRequests {
		if now.Before(w.deadline) && !w.request.Full && !ht.home.HasGrants(w.request.Region, w.request.After) {
			kept = append(kept, w)
			continue
		}
		w.respond(ht.home.Reply(w.request))
	}
	ht.heldRequests = kept
	if ht.storing || now.Before(ht.retryAt) {
		return
	}
	if len(ht.pendingChanges) > 0 {
		ht.storeChanges()
		return
	}
	if u := ht.home.Step(ht.maxBatchRecords()); !u.Empty() {
		ht.storeUpdate(u, nil, func() { ht.home.Requeue(u) }, func() {})
	}
}

// maxBatchRecords is how many records a transaction takes beside the head and the history.
func (ht *homeQuotas) maxBatchRecords() int {
	return max(1, ht.controller.Settings.Facts.State.TxnOps-2)
}

// loadHistory takes in the changes that earlier leaders have kept. One that cannot be read is
// as if it had not been kept.
func (ht *homeQuotas) loadHistory(entries []state.Entry) {
	var past []*dynconfig.HistoryEntry
	for _, e := range entries {
		p := &dynconfig.HistoryEntry{}
		if err := wire.Unmarshal(e.Value, p); err != nil {
			ht.log.Error("a change that was kept cannot be read", "key", e.Key, "error", err)
			continue
		}
		past = append(past, p)
	}
	ht.home.LoadHistory(past)
}

// encodeHistory keeps a change, without what was there before if that does not fit a value.
func (ht *homeQuotas) encodeHistory(p *dynconfig.HistoryEntry) (*dynconfig.HistoryEntry, state.Write, error) {
	key := fmt.Sprintf("%s%03d", historyPrefix, p.Slot())
	put, err := state.Put(key, p)
	if err != nil || float64(len(put.Value)) < ht.controller.Settings.Facts.State.ValueKB*1024*maxHistoryValueFraction {
		return p, put, err
	}
	p = p.WithoutBefore()
	put, err = state.Put(key, p)
	return p, put, err
}

// maxHistoryValueFraction is the part of the largest value that a change that is kept may have: the
// form of the service's own count is larger than ours.
const maxHistoryValueFraction = 0.5

// enqueueChange lets a change wait for its turn.
func (ht *homeQuotas) enqueueChange(c *dynconfig.Change, dry bool, back func(*rpc.Reply)) {
	if len(ht.pendingChanges) >= maxPendingChanges {
		back(finalRefusal(Unavailable("many changes of the configuration are being stored")))
		return
	}
	ht.pendingChanges = append(ht.pendingChanges, &pendingChange{c, dry, back})
	ht.step(time.Now())
}

// storeChanges stores the changes that wait, under one revision as far as they are of different
// teams.
func (ht *homeQuotas) storeChanges() {
	joined, taken := &dynconfig.Change{}, []*pendingChange{}
	named := map[string]bool{}
	for len(ht.pendingChanges) > 0 {
		p := ht.pendingChanges[0]
		if addTeamNames(p.change, named) || len(joined.Teams)+len(joined.Remove)+len(p.change.Teams)+len(p.change.Remove) > ht.maxBatchRecords() && len(taken) > 0 {
			break
		}
		ht.pendingChanges = ht.pendingChanges[1:]
		u, refusal := ht.home.Propose(p.change)
		if refusal != nil {
			ht.refuse(p, refusal)
			continue
		}
		if p.dryRun {
			p.respond(reply(http.StatusOK, changeAnswer{u.Head.Revision, true}))
			continue
		}
		joined.Teams, joined.Remove = append(joined.Teams, p.change.Teams...), append(joined.Remove, p.change.Remove...)
		taken = append(taken, p)
	}
	if len(taken) == 0 {
		return
	}
	u, refusal := ht.home.Propose(joined)
	if refusal != nil { // together they are too many teams
		for _, p := range taken {
			ht.refuse(p, refusal)
		}
		return
	}
	past, kept, err := ht.encodeHistory(ht.home.NewHistoryEntry(u, time.Now()))
	if err != nil {
		for _, p := range taken {
			p.respond(reply(http.StatusInternalServerError, wire.Error{Error: err.Error()}))
		}
		return
	}
	ht.storeUpdate(u, []state.Write{kept}, func() {
		for _, p := range taken {
			p.respond(finalRefusal(Unavailable("the change could not be stored")))
		}
	}, func() {
		ht.home.AddHistory(past)
		ht.controller.Meter.Add(metrics.ConfigChanges, "taken", len(taken))
		ht.log.Info("the configuration has changed", "revision", u.Head.Revision, "changes", len(taken), "teams", len(u.Records))
		for _, p := range taken {
			p.respond(reply(http.StatusOK, changeAnswer{u.Head.Revision, false}))
		}
	})
}

// addTeamNames reports whether a change names a team that is named already, and notes its own.
func addTeamNames(c *dynconfig.Change, named map[string]bool) bool {
	for i := range c.Teams {
		if named[c.Teams[i].Name] {
			return true
		}
	}
	for _, name := range c.Remove {
		if named[name] {
			return true
		}
	}
	for i := range c.Teams {
		named[c.Teams[i].Name] = true
	}
	for _, name := range c.Remove {
		named[name] = true
	}
	return false
}

// changeAnswer is the answer to a change that is taken.
type changeAnswer struct {
	Revision uint64 `codec:"revision" json:"revision"`
	// Dry: nothing was changed, the revision is what it would have been.
	Dry bool `codec:"dry_run,omitempty" json:"dry_run,omitempty"`
}

func (ht *homeQuotas) refuse(p *pendingChange, refusal *dynconfig.Refusal) {
	ht.controller.Meter.Add(metrics.ConfigChanges, "refused", 1)
	answer := reply(refusal.Status, wire.Error{Error: refusal.Error()})
	if refusal.Status == http.StatusServiceUnavailable {
		answer.RetryAfter = 1
	}
	p.respond(finalRefusal(answer))
}

// storeUpdate stores an update, in as many transactions as it takes, with further writes in the
// last one, and lets it count.
func (ht *homeQuotas) storeUpdate(u dynconfig.Update, beside []state.Write, failed, done func()) {
	ht.storing = true
	head, most := ht.headVersion, ht.maxBatchRecords()
	go func() {
		version, err := head, error(nil)
		for rest := u.Records; len(rest) > 0 && err == nil; {
			part := rest[:min(most, len(rest))]
			rest = rest[len(part):]
			var last []state.Write
			if len(rest) == 0 {
				last = beside
			}
			version, err = ht.storeBatch(u.Head, part, last, version)
		}
		ht.enqueueForUser(func() {
			ht.storing, ht.headVersion = false, version
			if err != nil {
				ht.log.Error("the configuration cannot be stored", "error", err)
				ht.retryAt = time.Now().Add(storeRetryDelay)
				failed()
			} else {
				ht.home.Apply(u)
				done()
			}
			ht.step(time.Now())
		})
	}()
}

// storeBatch stores some records with the head, and further writes.
func (ht *homeQuotas) storeBatch(head dynconfig.Head, records []*dynconfig.TeamRecord, beside []state.Write, was uint64) (version uint64, err error) {
	put, err := state.Put(headKey, head)
	if err != nil {
		return was, err
	}
	writes := append([]state.Write{put}, beside...)
	for _, r := range records {
		if put, err = state.Put(teamRecordPrefix+r.Name, r); err != nil {
			return was, err
		}
		writes = append(writes, put)
	}
	version, err = ht.commitUntilSettled(headKey, was, []state.Condition{{Key: headKey, Version: was}}, writes)
	if err != nil {
		return was, err
	}
	return version, nil
}

// handleOperation answers an operator's request.
func (ht *homeQuotas) handleOperation(op *rpc.Operation, back func(*rpc.Reply)) {
	if !ht.enabled() {
		back(reply(http.StatusNotFound, wire.Error{Error: "no regions are named in the settings of this controller"}))
		return
	}
	switch op.Verb {
	case rpc.VerbStart:
		c, err := dynconfig.ParseChange(op.Spec)
		if err != nil {
			back(reply(http.StatusBadRequest, wire.Error{Error: err.Error()}))
			return
		}
		ht.enqueueChange(c, op.Dry, back)
	case rpc.VerbUndo:
		to, err := strconv.ParseUint(op.Service, 10, 64)
		if err != nil {
			back(reply(http.StatusBadRequest, wire.Error{Error: "revision: not a number"}))
			return
		}
		c, refusal := ht.home.Rollback(to)
		if refusal != nil {
			back(reply(refusal.Status, wire.Error{Error: refusal.Error()}))
			return
		}
		c.Base = ht.home.Head().Revision // nothing may come in between
		ht.enqueueChange(c, op.Dry, back)
	case rpc.VerbHistory:
		back(reply(http.StatusOK, map[string]any{"changes": ht.home.History()}))
	case rpc.VerbStatus:
		back(reply(http.StatusOK, ht.home.Status(time.Now())))
	case rpc.VerbList:
		list, more := ht.home.Teams(op.Service, teamsPerPage)
		back(reply(http.StatusOK, map[string]any{"revision": ht.home.Head().Revision, "teams": list, "more": more}))
	default:
		back(reply(http.StatusBadRequest, wire.Error{Error: "unknown request"}))
	}
}

// HandleFollow answers a region's leader as leader of the home region, and refuses it
// otherwise.
func (c *Controller) HandleFollow(ctx context.Context, q *dynconfig.Request) *dynconfig.Reply {
	refused := &dynconfig.Reply{Refused: "not the leader of the home region"}
	r := c.currentTerm()
	if r == nil || !c.Entitled(r.term) || !r.takeover.loaded() || !r.homeQuotas.enabled() {
		return refused
	}
	answer := make(chan *dynconfig.Reply, 1)
	select {
	case r.userInbox <- func() { r.homeQuotas.handleRequest(q, func(p *dynconfig.Reply) { answer <- p }) }:
	case <-r.ctx.Done():
		return refused
	case <-ctx.Done():
		return refused
	}
	select {
	case p := <-answer:
		if !c.Entitled(r.term) {
			return refused
		}
		return p
	case <-r.ctx.Done():
		return refused
	case <-ctx.Done():
		return refused
	}
}
