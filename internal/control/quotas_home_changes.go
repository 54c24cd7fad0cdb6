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

// The leader of the home region handles the requests of operators: changes, roll-backs and
// queries.

const (
	// maxPendingChanges limits the changes that wait to be stored.
	maxPendingChanges = 256
	// teamsPerPage is the maximum number of teams in one page of the list of teams.
	teamsPerPage = 50
	// maxHistoryValueFraction is the fraction of the store's value size limit that a history
	// entry may use. The store measures values in an encoding that is larger than the one used
	// here.
	maxHistoryValueFraction = 0.5
)

// pendingChange is a change that waits to be stored.
type pendingChange struct {
	change  *dynconfig.Change
	dryRun  bool
	respond func(*rpc.Reply)
}

// changeAnswer is the answer to an accepted change.
type changeAnswer struct {
	Revision uint64 `codec:"revision" json:"revision"`
	// DryRun is set if nothing was changed. Revision is then the one that the change would have
	// had.
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
	// More is set if there are teams after the last one of the page.
	More bool `codec:"more"`
}

// handleOperation answers an operator's request.
func (hq *homeQuotas) handleOperation(operation *rpc.Operation, respond func(*rpc.Reply)) {
	if !hq.enabled() {
		respond(reply(http.StatusNotFound, wire.Error{Error: "the settings of this controller name no regions"}))
		return
	}
	switch operation.Verb {
	case rpc.VerbStart:
		change, err := dynconfig.ParseChange(operation.Spec)
		if err != nil {
			respond(reply(http.StatusBadRequest, wire.Error{Error: err.Error()}))
			return
		}
		hq.enqueueChange(change, operation.DryRun, respond)
	case rpc.VerbRollback:
		hq.rollback(operation, respond)
	case rpc.VerbHistory:
		respond(reply(http.StatusOK, historyAnswer{Changes: hq.home.History()}))
	case rpc.VerbStatus:
		respond(reply(http.StatusOK, hq.home.Status(time.Now())))
	case rpc.VerbList:
		teams, more := hq.home.Teams(operation.Name, teamsPerPage)
		respond(reply(http.StatusOK, teamsAnswer{
			Revision: hq.home.Head().Revision,
			Teams:    teams,
			More:     more,
		}))
	default:
		respond(reply(http.StatusBadRequest, wire.Error{Error: "unknown request"}))
	}
}

// rollback undoes all changes after a revision by a new change.
func (hq *homeQuotas) rollback(operation *rpc.Operation, respond func(*rpc.Reply)) {
	revision, err := strconv.ParseUint(operation.Name, 10, 64)
	if err != nil {
		respond(reply(http.StatusBadRequest, wire.Error{Error: "revision: not a number"}))
		return
	}
	change, refusal := hq.home.Rollback(revision)
	if refusal != nil {
		respond(reply(refusal.Status, wire.Error{Error: refusal.Error()}))
		return
	}
	change.Base = hq.home.Head().Revision // the change is refused if another one is stored before it
	hq.enqueueChange(change, operation.DryRun, respond)
}

// enqueueChange queues a change until it can be stored.
func (hq *homeQuotas) enqueueChange(change *dynconfig.Change, dryRun bool, respond func(*rpc.Reply)) {
	if len(hq.pendingChanges) >= maxPendingChanges {
		respond(finalRefusal(Unavailable("too many configuration changes are waiting to be stored")))
		return
	}
	hq.pendingChanges = append(hq.pendingChanges, &pendingChange{
		change:  change,
		dryRun:  dryRun,
		respond: respond,
	})
	hq.step(time.Now())
}

// storeChanges stores as many pending changes as can be joined, under one revision.
func (hq *homeQuotas) storeChanges() {
	joined, accepted := hq.joinChanges()
	if len(accepted) == 0 {
		return
	}
	update, refusal := hq.home.Propose(joined)
	if refusal != nil { // the joined changes exceed the limit of teams
		for _, pending := range accepted {
			hq.refuse(pending, refusal)
		}
		return
	}
	entry, write, err := hq.encodeHistory(hq.home.NewHistoryEntry(update, time.Now()))
	if err != nil {
		for _, pending := range accepted {
			pending.respond(reply(http.StatusInternalServerError, wire.Error{Error: err.Error()}))
		}
		return
	}
	failed := func() {
		for _, pending := range accepted {
			pending.respond(finalRefusal(Unavailable("the change could not be stored")))
		}
	}
	done := func() {
		hq.home.AddHistory(entry)
		hq.controller.Meter.Add(metrics.ConfigChanges, "taken", len(accepted))
		hq.log.Info("configuration changed", "revision", update.Head.Revision, "changes", len(accepted), "teams", len(update.Records))
		for _, pending := range accepted {
			pending.respond(reply(http.StatusOK, changeAnswer{Revision: update.Head.Revision}))
		}
	}
	hq.storeUpdate(update, []state.Write{write}, failed, done)
}

// joinChanges removes pending changes from the queue for as long as they name different teams
// and fit into one transaction. It answers dry runs and refused changes, and joins the others.
func (hq *homeQuotas) joinChanges() (joined *dynconfig.Change, accepted []*pendingChange) {
	joined = &dynconfig.Change{}
	named := map[string]bool{}
	for len(hq.pendingChanges) > 0 {
		pending := hq.pendingChanges[0]
		names := changedTeams(pending.change)
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
		update, refusal := hq.home.Propose(pending.change)
		if refusal != nil {
			hq.refuse(pending, refusal)
			continue
		}
		if pending.dryRun {
			pending.respond(reply(http.StatusOK, changeAnswer{Revision: update.Head.Revision, DryRun: true}))
			continue
		}
		joined.Teams = append(joined.Teams, pending.change.Teams...)
		joined.Remove = append(joined.Remove, pending.change.Remove...)
		accepted = append(accepted, pending)
	}
	return joined, accepted
}

// changedTeams returns the names of the teams that a change modifies or removes.
func changedTeams(change *dynconfig.Change) []string {
	names := make([]string, 0, len(change.Teams)+len(change.Remove))
	for i := range change.Teams {
		names = append(names, change.Teams[i].Name)
	}
	return append(names, change.Remove...)
}

// refuse answers a change with the reason for its refusal.
func (hq *homeQuotas) refuse(pending *pendingChange, refusal *dynconfig.Refusal) {
	hq.controller.Meter.Add(metrics.ConfigChanges, "refused", 1)
	answer := reply(refusal.Status, wire.Error{Error: refusal.Error()})
	if refusal.Status == http.StatusServiceUnavailable {
		answer.RetryAfter = 1
	}
	pending.respond(finalRefusal(answer))
}

// encodeHistory returns the write that stores a history entry, and the entry as stored. It
// omits the earlier configuration if the entry is too large for a value otherwise.
func (hq *homeQuotas) encodeHistory(entry *dynconfig.HistoryEntry) (*dynconfig.HistoryEntry, state.Write, error) {
	key := fmt.Sprintf("%s%03d", historyPrefix, entry.Slot())
	maxBytes := hq.controller.Settings.Facts.State.ValueKB * 1024 * maxHistoryValueFraction
	write, err := state.Put(key, entry)
	if err != nil || float64(len(write.Value)) < maxBytes {
		return entry, write, err
	}
	entry = entry.WithoutBefore()
	write, err = state.Put(key, entry)
	return entry, write, err
}
