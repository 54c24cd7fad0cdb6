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
	homePrefix = "t/h/"
	headKey    = "t/head"
	// historyPrefix is followed by the slot of a change that is kept.
	historyPrefix = "t/c/"
)

// homeQuotas decides how teams change in all regions. Only the leader of the home region
// has something to do here.
type homeQuotas struct {
	*core

	home    *dynconfig.Home
	head    uint64 // version of headKey
	storing bool
	retryAt time.Time // when an update that could not be stored is tried again
	changes []*pendingChange
	waiting []*waitingRegion
}

// pendingChange is a change that waits to be stored.
type pendingChange struct {
	change *dynconfig.Change
	dry    bool
	back   func(*rpc.Reply)
}

// waitingRegion is a request that is held until there is something to tell.
type waitingRegion struct {
	request *dynconfig.Request
	until   time.Time
	back    func(*dynconfig.Reply)
}

const (
	// mostChangesWaiting and mostRegionsWaiting bound what waits.
	mostChangesWaiting = 256
	mostRegionsWaiting = 64
	// holdRequest is for how long a region's request is held: it says meanwhile nothing of
	// what it gives back.
	holdRequest = 500 * time.Millisecond
	// retryStore is the wait after an update that the state service rejects.
	retryStore = time.Second
	// teamsPerPage bounds a page of teams.
	teamsPerPage = 50
)

func newHomeQuotas(co *core) *homeQuotas { return &homeQuotas{core: co} }

// on reports whether this is the home region.
func (ht *homeQuotas) on() bool {
	r := &ht.c.Tuning.Regions
	return r.Name != "" && r.Name == r.Home
}

// list reads the stored records.
func (ht *homeQuotas) list() (head state.Entry, records, history []state.Entry, err error) {
	if !ht.on() {
		return head, nil, nil, nil
	}
	if head, err = ht.c.State.Get(ht.ctx, headKey); err != nil && !errors.Is(err, state.ErrNotFound) {
		return head, nil, nil, err
	}
	if records, _, err = ht.c.State.List(ht.ctx, homePrefix); err != nil {
		return head, nil, nil, err
	}
	history, _, err = ht.c.State.List(ht.ctx, historyPrefix)
	return head, records, history, err
}

// load takes in what earlier leaders have stored. What cannot be read is made anew from
// what the regions say that they hold.
func (ht *homeQuotas) load(stored state.Entry, entries, history []state.Entry) {
	if !ht.on() {
		return
	}
	var head dynconfig.Head
	if stored.Version != 0 {
		if err := wire.Unmarshal(stored.Value, &head); err != nil {
			ht.log.Error("the position of the configuration cannot be read", "error", err)
			head = dynconfig.Head{}
		}
	}
	var records []*dynconfig.Record
	for _, e := range entries {
		r := &dynconfig.Record{}
		if err := wire.Unmarshal(e.Value, r); err != nil || homePrefix+r.Name != e.Key {
			ht.log.Error("a team of the configuration cannot be read", "key", e.Key, "error", err)
			continue
		}
		if r.Grants == nil {
			r.Grants = map[string]dynconfig.Grant{}
		}
		records = append(records, r)
	}
	ht.home, ht.head = dynconfig.NewHome(ht.term, ht.c.Tuning.Regions.All, head, records), stored.Version
	ht.remember(history)
}

// hear takes in a region's request.
func (ht *homeQuotas) hear(q *dynconfig.Request, back func(*dynconfig.Reply)) {
	now := time.Now()
	if p := ht.home.Hear(q, now); p != nil {
		back(p)
		return
	}
	if len(ht.waiting) >= mostRegionsWaiting {
		back(ht.home.Reply(q))
		return
	}
	ht.waiting = append(ht.waiting, &waitingRegion{q, now.Add(holdRequest), back})
	ht.step(now)
}

// step answers regions for which there is something to tell, and stores what follows from
// what they have said and from changes.
func (ht *homeQuotas) step(now time.Time) {
	if ht.home == nil {
		return
	}
	kept := ht.waiting[:0]
	for _, w := range ht.waiting {
		if now.Before(w.until) && !w.request.Full && !ht.home.Pending(w.request.Region, w.request.After) {
			kept = append(kept, w)
			continue
		}
		w.back(ht.home.Reply(w.request))
	}
	ht.waiting = kept
	if ht.storing || now.Before(ht.retryAt) {
		return
	}
	if len(ht.changes) > 0 {
		ht.take()
		return
	}
	if u := ht.home.Step(ht.mostRecords()); !u.Empty() {
		ht.store(u, nil, func() { ht.home.Retry(u) }, func() {})
	}
}

// mostRecords is how many records a transaction takes beside the head and the history.
func (ht *homeQuotas) mostRecords() int { return max(1, ht.c.Settings.Facts.State.TxnOps-2) }

// remember takes in the changes that earlier leaders have kept. One that cannot be read is
// as if it had not been kept.
func (ht *homeQuotas) remember(entries []state.Entry) {
	var past []*dynconfig.Past
	for _, e := range entries {
		p := &dynconfig.Past{}
		if err := wire.Unmarshal(e.Value, p); err != nil {
			ht.log.Error("a change that was kept cannot be read", "key", e.Key, "error", err)
			continue
		}
		past = append(past, p)
	}
	ht.home.Remember(past)
}

// historyWrite keeps a change, without what was there before if that does not fit a value.
func (ht *homeQuotas) historyWrite(p *dynconfig.Past) (*dynconfig.Past, state.Write, error) {
	key := fmt.Sprintf("%s%03d", historyPrefix, p.Slot())
	put, err := state.Put(key, p)
	if err != nil || float64(len(put.Value)) < ht.c.Settings.Facts.State.ValueKB*1024*historyShare {
		return p, put, err
	}
	p = p.Without()
	put, err = state.Put(key, p)
	return p, put, err
}

// historyShare is the part of the largest value that a change that is kept may have: the
// form of the service's own count is larger than ours.
const historyShare = 0.5

// change lets a change wait for its turn.
func (ht *homeQuotas) change(c *dynconfig.Change, dry bool, back func(*rpc.Reply)) {
	if len(ht.changes) >= mostChangesWaiting {
		back(settled(Later("many changes of the configuration are being stored")))
		return
	}
	ht.changes = append(ht.changes, &pendingChange{c, dry, back})
	ht.step(time.Now())
}

// take stores the changes that wait, under one revision as far as they are of different
// teams.
func (ht *homeQuotas) take() {
	joined, taken := &dynconfig.Change{}, []*pendingChange{}
	named := map[string]bool{}
	for len(ht.changes) > 0 {
		p := ht.changes[0]
		if overlaps(p.change, named) || len(joined.Teams)+len(joined.Remove)+len(p.change.Teams)+len(p.change.Remove) > ht.mostRecords() && len(taken) > 0 {
			break
		}
		ht.changes = ht.changes[1:]
		u, refusal := ht.home.Propose(p.change)
		if refusal != nil {
			ht.refuse(p, refusal)
			continue
		}
		if p.dry {
			p.back(reply(http.StatusOK, changeAnswer{u.Head.Revision, true}))
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
	past, kept, err := ht.historyWrite(ht.home.Past(u, time.Now()))
	if err != nil {
		for _, p := range taken {
			p.back(reply(http.StatusInternalServerError, wire.Error{Error: err.Error()}))
		}
		return
	}
	ht.store(u, []state.Write{kept}, func() {
		for _, p := range taken {
			p.back(settled(Later("the change could not be stored")))
		}
	}, func() {
		ht.home.Keep(past)
		ht.c.Meter.Add(metrics.ConfigChanges, "taken", len(taken))
		ht.log.Info("the configuration has changed", "revision", u.Head.Revision, "changes", len(taken), "teams", len(u.Records))
		for _, p := range taken {
			p.back(reply(http.StatusOK, changeAnswer{u.Head.Revision, false}))
		}
	})
}

// overlaps reports whether a change names a team that is named already, and notes its own.
func overlaps(c *dynconfig.Change, named map[string]bool) bool {
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
	ht.c.Meter.Add(metrics.ConfigChanges, "refused", 1)
	answer := reply(refusal.Status, wire.Error{Error: refusal.Error()})
	if refusal.Status == http.StatusServiceUnavailable {
		answer.RetryAfter = 1
	}
	p.back(settled(answer))
}

// store stores an update, in as many transactions as it takes, with further writes in the
// last one, and lets it count.
func (ht *homeQuotas) store(u dynconfig.Update, beside []state.Write, failed, done func()) {
	ht.storing = true
	head, most := ht.head, ht.mostRecords()
	go func() {
		version, err := head, error(nil)
		for rest := u.Records; len(rest) > 0 && err == nil; {
			part := rest[:min(most, len(rest))]
			rest = rest[len(part):]
			var last []state.Write
			if len(rest) == 0 {
				last = beside
			}
			version, err = ht.storePart(u.Head, part, last, version)
		}
		ht.ahead(func() {
			ht.storing, ht.head = false, version
			if err != nil {
				ht.log.Error("the configuration cannot be stored", "error", err)
				ht.retryAt = time.Now().Add(retryStore)
				failed()
			} else {
				ht.home.Apply(u)
				done()
			}
			ht.step(time.Now())
		})
	}()
}

// storePart stores some records with the head, and further writes.
func (ht *homeQuotas) storePart(head dynconfig.Head, records []*dynconfig.Record, beside []state.Write, was uint64) (version uint64, err error) {
	put, err := state.Put(headKey, head)
	if err != nil {
		return was, err
	}
	writes := append([]state.Write{put}, beside...)
	for _, r := range records {
		if put, err = state.Put(homePrefix+r.Name, r); err != nil {
			return was, err
		}
		writes = append(writes, put)
	}
	version, err = ht.settle(headKey, was, []state.Condition{{Key: headKey, Version: was}}, writes)
	if err != nil {
		return was, err
	}
	return version, nil
}

// operate answers an operator's request.
func (ht *homeQuotas) operate(op *rpc.Operation, back func(*rpc.Reply)) {
	if !ht.on() {
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
		ht.change(c, op.Dry, back)
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
		ht.change(c, op.Dry, back)
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

// FollowHome answers a region's leader as leader of the home region, and refuses it
// otherwise.
func (c *Controller) FollowHome(ctx context.Context, q *dynconfig.Request) *dynconfig.Reply {
	refused := &dynconfig.Reply{Refused: "not the leader of the home region"}
	r := c.current()
	if r == nil || !c.Entitled(r.term) || !r.takeover.loaded() || !r.homeQuotas.on() {
		return refused
	}
	answer := make(chan *dynconfig.Reply, 1)
	select {
	case r.users <- func() { r.homeQuotas.hear(q, func(p *dynconfig.Reply) { answer <- p }) }:
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
