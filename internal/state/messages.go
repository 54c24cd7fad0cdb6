package state

import "vetchstream/internal/wire"

// Entry is a key with its value, the revision that last wrote it (Version) and
// the lease it is bound to (0: none).
type Entry struct {
	Key     string   `codec:"key"`
	Value   wire.Raw `codec:"data"`
	Version uint64   `codec:"stamp"`
	Lease   uint64   `codec:"tenure"`
}

// Condition is a condition of a compare-and-swap transaction: the key is at Version;
// Version 0 means that the key is absent.
type Condition struct {
	Key     string `codec:"key"`
	Version uint64 `codec:"stamp"`
}

// Write is one write of a transaction: it stores Value under the key Put, bound
// to Lease if that is not 0, or deletes the key Delete.
type Write struct {
	Put    string   `codec:"put,omitempty"`
	Value  wire.Raw `codec:"data,omitempty"`
	Lease  uint64   `codec:"tenure,omitempty"`
	Delete string   `codec:"drop,omitempty"`
}

// Put returns a write that stores v, encoded as CBOR, under key. The error is
// the encoder's.
func Put(key string, v any) (Write, error) {
	b, err := wire.Marshal(v)
	if err != nil {
		return Write{}, err
	}
	return Write{Put: key, Value: b}, nil
}

// Txn is a compare-and-swap transaction: the writes are applied together if
// every condition holds, and none is applied otherwise.
type Txn struct {
	If     []Condition `codec:"if"`
	Writes []Write     `codec:"writes"`
}

// listPage is one page of a listing.
type listPage struct {
	Entries  []Entry `codec:"entries"`
	More     bool    `codec:"more"`
	Revision uint64  `codec:"epoch"`
}

// commitResponse is the response to a transaction that was applied.
type commitResponse struct {
	Revision uint64 `codec:"epoch"` // the revision of its changes
}

// conflictResponse is the response to a transaction whose conditions do not hold.
type conflictResponse struct {
	FailedKeys []string `codec:"failed"` // the keys of these conditions
}

// leaseRequest asks for a new lease.
type leaseRequest struct {
	TTLMs int64 `codec:"ttl_ms"`
}

// leaseResponse is the response to a leaseRequest.
type leaseResponse struct {
	Lease uint64 `codec:"tenure"`
}

// watchResponse is the response to a watch.
type watchResponse struct {
	Revision uint64  `codec:"epoch"` // the revision to watch from next
	Events   []Event `codec:"events"`
}

// Event is a change that a watch reports.
type Event struct {
	Put string `codec:"put"` // the key that was written; empty: a key was deleted
}
