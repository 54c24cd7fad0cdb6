package control

import (
	"context"
	"errors"
	"time"

	"vetchstream/internal/dynconfig"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Keys of the configuration in the home region's key-value store.
const (
	// teamRecordPrefix is followed by a team's name; the value is a dynconfig.TeamRecord.
	teamRecordPrefix = "t/h/"
	headKey          = "t/head"
	// historyPrefix is followed by the slot of a retained change.
	historyPrefix = "t/c/"
)

// homeQuotas decides how teams and their quotas change in all regions. Only the leader of the
// home region has something to do here.
type homeQuotas struct {
	*core

	home           *dynconfig.Home
	headVersion    uint64    // version of headKey
	storing        bool      // an update is being stored
	retryAt        time.Time // when an update may be stored again after one was rejected
	pendingChanges []*pendingChange
	heldRequests   []*heldRequest
}

// heldRequest is a region's request that is held until there is something to send, or until
// its deadline.
type heldRequest struct {
	request  *dynconfig.Request
	deadline time.Time
	respond  func(*dynconfig.Reply)
}

const (
	// maxHeldRequests bounds the requests that are held at a time.
	maxHeldRequests = 64
	// requestHoldTime is how long a region's request is held. Meanwhile the region reports
	// nothing of what it releases.
	requestHoldTime = 500 * time.Millisecond
)

func newHomeQuotas(co *core) *homeQuotas { return &homeQuotas{core: co} }

// enabled reports whether this is the home region.
func (hq *homeQuotas) enabled() bool {
	r := &hq.controller.Tuning.Regions
	return r.Name != "" && r.Name == r.Home
}

// readStored reads the stored records; none outside the home region.
func (hq *homeQuotas) readStored() (head state.Entry, records, history []state.Entry, err error) {
	if !hq.enabled() {
		return head, nil, nil, nil
	}
	if head, err = hq.controller.State.Get(hq.ctx, headKey); err != nil && !errors.Is(err, state.ErrNotFound) {
		return head, nil, nil, err
	}
	if records, _, err = hq.controller.State.List(hq.ctx, teamRecordPrefix); err != nil {
		return head, nil, nil, err
	}
	history, _, err = hq.controller.State.List(hq.ctx, historyPrefix)
	return head, records, history, err
}

// load takes in what earlier leaders have stored. A record that cannot be read is rebuilt
// from what the regions report.
func (hq *homeQuotas) load(storedHead state.Entry, storedRecords, storedHistory []state.Entry) {
	if !hq.enabled() {
		return
	}
	head := hq.decodeHead(storedHead)
	records := hq.decodeRecords(storedRecords)
	hq.home = dynconfig.NewHome(hq.term, hq.controller.Tuning.Regions.All, head, records)
	hq.headVersion = storedHead.Version
	hq.loadHistory(storedHistory)
}

// decodeHead decodes the stored position; the zero value if there is none, or if it cannot be
// read.
func (hq *homeQuotas) decodeHead(stored state.Entry) (head dynconfig.Head) {
	if stored.Version == 0 {
		return head
	}
	if err := wire.Unmarshal(stored.Value, &head); err != nil {
		hq.log.Error("head record of the configuration cannot be read", "error", err)
		return dynconfig.Head{}
	}
	return head
}

// decodeRecords decodes the stored team records, without those that cannot be read.
func (hq *homeQuotas) decodeRecords(stored []state.Entry) (records []*dynconfig.TeamRecord) {
	for _, entry := range stored {
		r := &dynconfig.TeamRecord{}
		if err := wire.Unmarshal(entry.Value, r); err != nil || teamRecordPrefix+r.Name != entry.Key {
			hq.log.Error("team record of the configuration cannot be read", "key", entry.Key, "error", err)
			continue
		}
		if r.Grants == nil {
			r.Grants = map[string]dynconfig.Grant{}
		}
		records = append(records, r)
	}
	return records
}

// loadHistory takes in the changes that earlier leaders have stored. One that cannot be read
// is left out.
func (hq *homeQuotas) loadHistory(stored []state.Entry) {
	var history []*dynconfig.HistoryEntry
	for _, entry := range stored {
		e := &dynconfig.HistoryEntry{}
		if err := wire.Unmarshal(entry.Value, e); err != nil {
			hq.log.Error("history entry of the configuration cannot be read", "key", entry.Key, "error", err)
			continue
		}
		history = append(history, e)
	}
	hq.home.LoadHistory(history)
}

// step answers held requests, and starts to store the next update: pending changes first,
// then what follows from the regions' reports.
func (hq *homeQuotas) step(now time.Time) {
	if hq.home == nil {
		return
	}
	hq.answerHeld(now)
	if hq.storing || now.Before(hq.retryAt) {
		return
	}
	if len(hq.pendingChanges) > 0 {
		hq.storeChanges()
		return
	}
	if u := hq.home.Step(hq.maxBatchRecords()); !u.Empty() {
		hq.storeUpdate(u, nil, func() { hq.home.Requeue(u) }, func() {})
	}
}

// handleRequest takes in a region's request.
func (hq *homeQuotas) handleRequest(q *dynconfig.Request, respond func(*dynconfig.Reply)) {
	now := time.Now()
	if p := hq.home.HandleRequest(q, now); p != nil {
		respond(p)
		return
	}
	if len(hq.heldRequests) >= maxHeldRequests {
		respond(hq.home.Reply(q))
		return
	}
	hq.heldRequests = append(hq.heldRequests, &heldRequest{
		request:  q,
		deadline: now.Add(requestHoldTime),
		respond:  respond,
	})
	hq.step(now)
}

// answerHeld answers the held requests for which there are grants, that are full, or whose
// deadline has passed.
func (hq *homeQuotas) answerHeld(now time.Time) {
	held := hq.heldRequests[:0]
	for _, r := range hq.heldRequests {
		if now.Before(r.deadline) && !r.request.Full && !hq.home.HasGrants(r.request.Region, r.request.After) {
			held = append(held, r)
			continue
		}
		r.respond(hq.home.Reply(r.request))
	}
	hq.heldRequests = held
}

// HandleFollow answers a request of a region's leader if this node is the leader of the home
// region, and refuses it otherwise.
func (c *Controller) HandleFollow(ctx context.Context, q *dynconfig.Request) *dynconfig.Reply {
	refused := &dynconfig.Reply{Refused: "not the leader of the home region"}
	r := c.currentTerm()
	if r == nil || !c.Entitled(r.term) || !r.takeover.loaded() || !r.homeQuotas.enabled() {
		return refused
	}
	p := queryActor(ctx, r.core, r.userInbox, func(respond func(*dynconfig.Reply)) {
		r.homeQuotas.handleRequest(q, respond)
	})
	if p == nil || !c.Entitled(r.term) {
		return refused
	}
	return p
}
