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

// errUnreadable is the error of a stored record that does not decode. The record is
// left as it is and affects its own job only. Nothing is said about that job: the
// record may say that it is over.
var errUnreadable = errors.New("record cannot be read")

// readJobRecord reads a job's own record, active or final, from the state service,
// with its version; it is nil if the job was never accepted, or only in a group.
func readJobRecord(ctx context.Context, st *state.Client, id string) (*job.Record, uint64, error) {
	// Active first: a job whose record moves between the two reads is found by the
	// second.
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

// findRecord reads a job's record from the state service for a node that does not
// lead; it is nil if there is none. Groups are read first: an entry moves from its
// group to the job's own key, never back.
func (c *Controller) findRecord(ctx context.Context, id string) (*job.Record, error) {
	rec, groupErr := c.groups.find(ctx, id)
	if rec != nil || (groupErr != nil && !errors.Is(groupErr, errUnreadable)) {
		return rec, groupErr
	}
	rec, _, err := readJobRecord(ctx, c.State, id)
	if rec == nil && err == nil {
		return nil, groupErr // the job may be in the group that cannot be read
	}
	return rec, err
}

// groupReader reads the records of groups for a node that does not lead. A job's ID
// does not tell which group has it, so one listing of all groups serves everyone who
// waits. A caller that comes while a listing is under way waits for the next one:
// what the current one reads may be older than what another node has told the user
// before this request.
type groupReader struct {
	state *state.Client

	mu      sync.Mutex
	listing bool          // a listing is under way
	next    *groupListing // nil: nobody waits for another listing
}

// groupListing is one listing of all groups, for the callers that came before it
// began. The results are valid once done is closed.
type groupListing struct {
	done chan struct{}
	jobs map[string]*job.Record // by job ID
	err  error                  // errUnreadable: the other groups are in jobs
}

// listTimeout bounds a listing; its callers have given up by then.
const listTimeout = 3 * time.Second

// find returns a job's entry, or nil if no group has it. With errUnreadable, no group
// that can be read has it.
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

// joinNextListing returns the next listing, and starts it unless one is under way.
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

// serveListings makes listings, one after the other, for as long as somebody waits
// for one.
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

// takeNextListing returns the listing to be made now, or nil if nobody waits for one.
func (gr *groupReader) takeNextListing() *groupListing {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	listing := gr.next
	gr.next = nil
	gr.listing = listing != nil
	return listing
}

// list reads all groups, and returns their entries by job ID. With errUnreadable,
// the entries are those of the groups that can be read.
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
