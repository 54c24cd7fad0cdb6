package control

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"vetchstream/internal/dynconfig"
	"vetchstream/internal/metrics"
	"vetchstream/internal/rpc"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// Operators' requests at the home region's leader: changes, roll-backs and queries.

const (
	// maxPendingChanges bounds the changes that wait to be stored.
	maxPendingChanges = 256
	// teamsPerPage bounds a page of teams.
	teamsPerPage = 50
	// maxHistoryValueFraction is the part of the largest value that a history entry may take:
	// the store counts the size in an encoding that is larger than ours.
	maxHistoryValueFraction = 0.5
)

// pendingChange is a change that waits to be stored.
type pendingChange struct {
	change  *dynconfig.Change
	dryRun  bool
	respond func(*rpc.Reply)
}

// changeAnswer is the answer to a change that is accepted.
type changeAnswer struct {
	Revision uint64 `codec:"revision" json:"revision"`
	// DryRun: nothing was changed, the revision is what it would have been.
	DryRun bool `codec:"dry_run,omitempty" json:"dry_run,omitempty"`
}

// historyAnswer is the answer to a request for the history.
type historyAnswer struct {
	Changes []dynconfig.HistorySummary `codec:"changes"`
}

// teamsAnswer is a page of the configured teams.
type teamsAnswer struct {
	Revision uint64                 `codec:"revision"`
	Teams    []dynconfig.TeamStatus `codec:"teams"`
	// More: there are teams after the last one.
	More bool `codec:"more"`
}

// handleOperation answers an operator's request.
func (hq *homeQuotas) handleOperation(op *rpc.Operation, respond func(*rpc.Reply)) {
	if !hq.enabled() {
		respond(reply(http.StatusNotFound, wire.Error{Error: "no regions are named in the settings of this controller"}))
		return
	}
	switch op.Verb {
	case rpc.VerbStart:
		c, err := dynconfig.ParseChange(op.Spec)
		if err != nil {
			respond(reply(http.StatusBadRequest, wire.Error{Error: err.Error()}))
			return
		}
		hq.enqueueChange(c, op.DryRun, respond)
	case rpc.VerbRollback:
		hq.rollback(op, respond)
	case rpc.VerbHistory:
		respond(reply(http.StatusOK, historyAnswer{Changes: hq.home.History()}))
	case rpc.VerbStatus:
		respond(reply(http.StatusOK, hq.home.Status(time.Now())))
	case rpc.VerbList:
		teams, more := hq.home.Teams(op.Name, teamsPerPage)
		respond(reply(http.StatusOK, teamsAnswer{
			Revision: hq.home.Head().Revision,
			Teams:    teams,
			More:     more,
		}))
	default:
		respond(reply(http.StatusBadRequest, wire.Error{Error: "unknown request"}))
	}
}

// rollback undoes what came after a revision by a change of its own.
func (hq *homeQuotas) rollback(op *rpc.Operation, respond func(*rpc.Reply)) {
	revision, err := strconv.ParseUint(op.Name, 10, 64)
	if err != nil {
		respond(reply(http.StatusBadRequest, wire.Error{Error: "revision: not a number"}))
		return
	}
	c, refusal := hq.home.Rollback(revision)
	if refusal != nil {
		respond(reply(refusal.Status, wire.Error{Error: refusal.Error()}))
		return
	}
	c.Base = hq.home.Head().Revision // no other change may come in between
	hq.enqueueChange(c, op.DryRun, respond)
}

// enqueueChange lets a change wait until it can be stored.
func (hq *homeQuotas) enqueueChange(c *dynconfig.Change, dryRun bool, respond func(*rpc.Reply)) {
	if len(hq.pendingChanges) >= maxPendingChanges {
		respond(finalRefusal(Unavailable("many changes of the configuration are being stored")))
		return
	}
	hq.pendingChanges = append(hq.pendingChanges, &pendingChange{
		change:  c,
		dryRun:  dryRun,
		respond: respond,
	})
	hq.step(time.Now())
}

// storeChanges stores pending changes under one revision, as many as can be joined.
func (hq *homeQuotas) storeChanges() {
	joined, accepted := hq.joinChanges()
	if len(accepted) == 0 {
		return
	}
	u, refusal := hq.home.Propose(joined)
	if refusal != nil { // together they are too many teams
		for _, p := range accepted {
			hq.refuse(p, refusal)
		}
		return
	}
	entry, put, err := hq.encodeHistory(hq.home.NewHistoryEntry(u, time.Now()))
	if err != nil {
		for _, p := range accepted {
			p.respond(reply(http.StatusInternalServerError, wire.Error{Error: err.Error()}))
		}
		return
	}
	failed := func() {
		for _, p := range accepted {
			p.respond(finalRefusal(Unavailable("the change could not be stored")))
		}
	}
	done := func() {
		hq.home.AddHistory(entry)
		hq.controller.Meter.Add(metrics.ConfigChanges, "taken", len(accepted))
		hq.log.Info("configuration changed", "revision", u.Head.Revision, "changes", len(accepted), "teams", len(u.Records))
		for _, p := range accepted {
			p.respond(reply(http.StatusOK, changeAnswer{Revision: u.Head.Revision}))
		}
	}
	hq.storeUpdate(u, []state.Write{put}, failed, done)
}

// joinChanges takes pending changes off the queue as far as they name different teams and fit
// one transaction. It answers dry runs and refused changes, and joins the others.
func (hq *homeQuotas) joinChanges() (joined *dynconfig.Change, accepted []*pendingChange) {
	joined = &dynconfig.Change{}
	named := map[string]bool{}
	for len(hq.pendingChanges) > 0 {
		p := hq.pendingChanges[0]
		names := changedTeams(p.change)
		if slices.ContainsFunc(names, func(name string) bool { return named[name] }) {
			break
		}
		if len(accepted) > 0 && len(joined.Teams)+len(joined.Remove)+len(names) > hq.maxBatchRecords() {
			break
		}
		for _, name := range names {
			named[name] = true
		}
		hq.pendingChanges = hq.pendingChanges[1:]
		u, refusal := hq.home.Propose(p.change)
		if refusal != nil {
			hq.refuse(p, refusal)
			continue
		}
		if p.dryRun {
			p.respond(reply(http.StatusOK, changeAnswer{Revision: u.Head.Revision, DryRun: true}))
			continue
		}
		joined.Teams = append(joined.Teams, p.change.Teams...)
		joined.Remove = append(joined.Remove, p.change.Remove...)
		accepted = append(accepted, p)
	}
	return joined, accepted
}

// changedTeams are the names of the teams that a change changes or removes.
func changedTeams(c *dynconfig.Change) []string {
	names := make([]string, 0, len(c.Teams)+len(c.Remove))
	for i := range c.Teams {
		names = append(names, c.Teams[i].Name)
	}
	return append(names, c.Remove...)
}

// refuse answers a change with the reason why it is refused.
func (hq *homeQuotas) refuse(p *pendingChange, refusal *dynconfig.Refusal) {
	hq.controller.Meter.Add(metrics.ConfigChanges, "refused", 1)
	answer := reply(refusal.Status, wire.Error{Error: refusal.Error()})
	if refusal.Status == http.StatusServiceUnavailable {
		answer.RetryAfter = 1
	}
	p.respond(finalRefusal(answer))
}

// encodeHistory returns the write that stores a history entry, and the entry as it is stored:
// without the earlier configuration if that is too large for a value.
func (hq *homeQuotas) encodeHistory(e *dynconfig.HistoryEntry) (*dynconfig.HistoryEntry, state.Write, error) {
	key := fmt.Sprintf("%s%03d", historyPrefix, e.Slot())
	maxBytes := hq.controller.Settings.Facts.State.ValueKB * 1024 * maxHistoryValueFraction
	put, err := state.Put(key, e)
	if err != nil || float64(len(put.Value)) < maxBytes {
		return e, put, err
	}
	e = e.WithoutBefore()
	put, err = state.Put(key, e)
	return e, put, err
}
