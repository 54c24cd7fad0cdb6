package state

import "vetchstream/internal/wire"

// Entry is a key with its value.
type Entry struct {
	Key     string   `codec:"key"`
	Value   wire.Raw `codec:"data"`
	Version uint64   `codec:"stamp"`  // revision of the last write of the key
	Lease   uint64   `codec:"tenure"` // lease that the key is bound to; 0 if none
}

// Condition is a condition of a compare-and-swap transaction: the key must have the
// given version, or be absent if Version is 0.
type Condition struct {
	Key     string `codec:"key"`
	Version uint64 `codec:"stamp"`
}

// Write is one write of a transaction. It either stores Value under the key Put, bound
// to Lease if that is not 0, or deletes the key Delete.
type Write struct {
	Put    string   `codec:"put,omitempty"`
	Value  wire.Raw `codec:"data,omitempty"`
	Lease  uint64   `codec:"tenure,omitempty"`
	Delete string   `codec:"drop,omitempty"`
}

// Put returns a write that stores v, encoded as CBOR, under key. It fails only if v
// cannot be encoded.
func Put(key string, v any) (Write, error) {
	b, err := wire.Marshal(v)
	if err != nil {
		return Write{}, err
	}
	return Write{Put: key, Value: b}, nil
}

// Txn is a compare-and-swap transaction: if every condition holds, all writes are
// applied atomically, otherwise none is.
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
	Revision uint64 `codec:"epoch"` // revision of the transaction's changes
}

// conflictResponse is the response to a transaction whose conditions do not hold.
type conflictResponse struct {
	FailedKeys []string `codec:"failed"` // keys of the conditions that do not hold
}

// leaseRequest is the request for a new lease.
type leaseRequest struct {
	TTLMs int64 `codec:"ttl_ms"`
}

// leaseResponse is the response to a leaseRequest.
type leaseResponse struct {
	Lease uint64 `codec:"tenure"`
}

// watchResponse is the response to a watch.
type watchResponse struct {
	Revision uint64  `codec:"epoch"` // revision that the next watch starts from
	Events   []Event `codec:"events"`
}

// Event is a change of a key, as returned by a watch.
type Event struct {
	Put string `codec:"put"` // key that was written; empty if a key was deleted
}
