package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// errUnreadable marks a stored record that cannot be decoded. The record is left
// unchanged and affects only its own job. Requests about that job are refused, because
// the record may contain a final phase.
var errUnreadable = errors.New("record cannot be decoded")

// readJobRecord reads a job's own record, active or final, and its version from the
// key-value store. The record is nil if the job was never accepted or is stored in a
// group record.
func readJobRecord(ctx context.Context, st *state.Client, id string) (*job.Record, uint64, error) {
	// The active key is read first: a record that moves to its final key between the two
	// reads is found by the second one.
	for _, prefix := range []string{job.ActivePrefix, job.FinalPrefix} {
		entry, err := st.Get(ctx, prefix+id)
		if errors.Is(err, state.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		rec := &job.Record{}
		if err := wire.Unmarshal(entry.Value, rec); err != nil {
			return nil, 0, fmt.Errorf("%w: %s: %w", errUnreadable, entry.Key, err)
		}
		return rec, entry.Version, nil
	}
	return nil, 0, nil
}

// findRecord reads a job's record from the key-value store without the leader's memory;
// the record is nil if there is none. Groups are read first, because an entry moves from
// its group to the job's own key but never back.
func (c *Controller) findRecord(ctx context.Context, id string) (*job.Record, error) {
	rec, groupErr := c.groups.find(ctx, id)
	if rec != nil || (groupErr != nil && !errors.Is(groupErr, errUnreadable)) {
		return rec, groupErr
	}
	rec, _, err := readJobRecord(ctx, c.State, id)
	if rec == nil && err == nil {
		return nil, groupErr // the unreadable group may contain the job
	}
	return rec, err
}

// groupReader finds jobs in group records without the leader's memory. A job's ID does
// not identify its group, so a single listing of all groups serves all waiting callers. A
// caller that arrives during a listing waits for the next one: the current listing may
// return data older than a response that the user has already received from another
// node.
type groupReader struct {
	state *state.Client

	mu      sync.Mutex
	listing bool          // whether a listing is in progress
	next    *groupListing // nil if no caller waits for another listing
}

// groupListing is a listing of all groups for the callers that arrived before it
// started. jobs and err are valid once done is closed.
type groupListing struct {
	done chan struct{}
	jobs map[string]*job.Record // by job ID
	err  error                  // with errUnreadable, jobs holds the entries of the readable groups
}

// listTimeout bounds a listing; its callers time out earlier.
const listTimeout = 3 * time.Second

// find returns a job's entry, or nil if no group contains it. An errUnreadable error
// means that no readable group contains it.
func (gr *groupReader) find(ctx context.Context, id string) (*job.Record, error) {
	listing := gr.joinNextListing()
	select {
	case <-listing.done:
		if rec := listing.jobs[id]; rec != nil {
			return rec, nil
		}
		return nil, listing.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// joinNextListing returns the next listing, and starts it unless another one is in
// progress.
func (gr *groupReader) joinNextListing() *groupListing {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.next == nil {
		gr.next = &groupListing{done: make(chan struct{})}
	}
	listing := gr.next
	if !gr.listing {
		gr.listing = true
		go gr.serveListings()
	}
	return listing
}

// serveListings runs listings one after the other until no caller waits for another.
func (gr *groupReader) serveListings() {
	for {
		listing := gr.takeNextListing()
		if listing == nil {
			return
		}
		listing.jobs, listing.err = gr.list()
		close(listing.done)
	}
}

// takeNextListing returns the listing to run now, or nil if no caller waits for one.
func (gr *groupReader) takeNextListing() *groupListing {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	listing := gr.next
	gr.next = nil
	gr.listing = listing != nil
	return listing
}

// list reads all groups and returns their entries by job ID. With an errUnreadable
// error, the entries of the readable groups are returned.
func (gr *groupReader) list() (map[string]*job.Record, error) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	entries, _, err := gr.state.List(ctx, job.GroupPrefix)
	if err != nil {
		return nil, err
	}
	jobs := map[string]*job.Record{}
	for _, entry := range entries {
		var group job.Group
		if decodeErr := wire.Unmarshal(entry.Value, &group); decodeErr != nil {
			err = fmt.Errorf("%w: %s: %w", errUnreadable, entry.Key, decodeErr)
			continue
		}
		for i := range group.Jobs {
			jobs[group.Jobs[i].Spec.ID] = &group.Jobs[i]
		}
	}
	return jobs, err
}
