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

// homeQuotas decides how teams and their quotas change in all regions. It is active only at the
// leader of the home region.
type homeQuotas struct {
	*core

	home           *dynconfig.Home
	headVersion    uint64    // version of headKey
	storing        bool      // whether an update is being stored
	retryAt        time.Time // earliest time to store the next update after a rejected one
	pendingChanges []*pendingChange
	heldRequests   []*heldRequest
}

// heldRequest is a region's request that is held until there is something to send or its
// deadline has passed.
type heldRequest struct {
	request  *dynconfig.Request
	deadline time.Time
	respond  func(*dynconfig.Reply)
}

const (
	// maxHeldRequests limits the requests that are held at a time.
	maxHeldRequests = 64
	// requestHoldTime is how long a region's request is held. During this time the region
	// cannot report what it releases.
	requestHoldTime = 500 * time.Millisecond
)

func newHomeQuotas(co *core) *homeQuotas { return &homeQuotas{core: co} }

// enabled reports whether this controller belongs to the home region.
func (hq *homeQuotas) enabled() bool {
	regions := &hq.controller.Tuning.Regions
	return regions.Name != "" && regions.Name == regions.Home
}

// readStored reads the stored records. There are none outside the home region.
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

// load loads the records that earlier leaders have stored. A team record that cannot be decoded
// is rebuilt from the reports of the regions.
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

// decodeHead decodes the stored head record. It returns the zero value if there is none or if
// it cannot be decoded.
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

// decodeRecords decodes the stored team records. It omits those that cannot be decoded.
func (hq *homeQuotas) decodeRecords(stored []state.Entry) (records []*dynconfig.TeamRecord) {
	for _, entry := range stored {
		record := &dynconfig.TeamRecord{}
		if err := wire.Unmarshal(entry.Value, record); err != nil || teamRecordPrefix+record.Name != entry.Key {
			hq.log.Error("team record of the configuration cannot be read", "key", entry.Key, "error", err)
			continue
		}
		if record.Grants == nil {
			record.Grants = map[string]dynconfig.Grant{}
		}
		records = append(records, record)
	}
	return records
}

// loadHistory loads the changes that earlier leaders have stored. It omits those that cannot be
// decoded.
func (hq *homeQuotas) loadHistory(stored []state.Entry) {
	var history []*dynconfig.HistoryEntry
	for _, entry := range stored {
		historyEntry := &dynconfig.HistoryEntry{}
		if err := wire.Unmarshal(entry.Value, historyEntry); err != nil {
			hq.log.Error("history entry of the configuration cannot be read", "key", entry.Key, "error", err)
			continue
		}
		history = append(history, historyEntry)
	}
	hq.home.LoadHistory(history)
}

// step answers the held requests that are due and starts to store the next update: pending
// changes first, then the updates that follow from the regions' reports.
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
	if update := hq.home.Step(hq.maxBatchRecords()); !update.Empty() {
		hq.storeUpdate(update, nil, func() { hq.home.Requeue(update) }, func() {})
	}
}

// handleRequest handles a region's request. It holds the request if it cannot be answered at
// once.
func (hq *homeQuotas) handleRequest(request *dynconfig.Request, respond func(*dynconfig.Reply)) {
	now := time.Now()
	if reply := hq.home.HandleRequest(request, now); reply != nil {
		respond(reply)
		return
	}
	if len(hq.heldRequests) >= maxHeldRequests {
		respond(hq.home.Reply(request))
		return
	}
	hq.heldRequests = append(hq.heldRequests, &heldRequest{
		request:  request,
		deadline: now.Add(requestHoldTime),
		respond:  respond,
	})
	hq.step(now)
}

// answerHeld answers the held requests for which there are grants, that report all teams, or
// whose deadline has passed.
func (hq *homeQuotas) answerHeld(now time.Time) {
	held := hq.heldRequests[:0]
	for _, waiting := range hq.heldRequests {
		if now.Before(waiting.deadline) && !waiting.request.Full && !hq.home.HasGrants(waiting.request.Region, waiting.request.After) {
			held = append(held, waiting)
			continue
		}
		waiting.respond(hq.home.Reply(waiting.request))
	}
	hq.heldRequests = held
}

// HandleFollow answers a request of a region's leader if this controller is the leader of the
// home region, and refuses it otherwise.
func (c *Controller) HandleFollow(ctx context.Context, request *dynconfig.Request) *dynconfig.Reply {
	refused := &dynconfig.Reply{Refused: "not the leader of the home region"}
	lt := c.currentTerm()
	if lt == nil || !c.Entitled(lt.term) || !lt.takeover.loaded() || !lt.homeQuotas.enabled() {
		return refused
	}
	reply := queryActor(ctx, lt.core, lt.userInbox, func(respond func(*dynconfig.Reply)) {
		lt.homeQuotas.handleRequest(request, respond)
	})
	if reply == nil || !c.Entitled(lt.term) {
		return refused
	}
	return reply
}
