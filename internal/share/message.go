package share

import "vetchstream/internal/wire"

// Request is what a holder tells the leader and asks of it. A holder has one
// request under way at a time, so all that it did before the last reply it took
// in is in the requests up to this one.
type Request struct {
	Member string `codec:"member"`
	Zone   string `codec:"zone"`
	// Life tells one process of the member from the next; a later one is higher.
	Life uint64 `codec:"life"`
	Seq  uint64 `codec:"seq"`
	// Term and Number are those of the last reply taken in; 0: none.
	Term   uint64 `codec:"term"`
	Number uint64 `codec:"number"`
	// Room is how many machines the member can deal with, Calls how many direct
	// commands it can have under way.
	Room  int `codec:"room"`
	Calls int `codec:"calls"`
	// Behind: the process is short of processor.
	Behind bool `codec:"behind,omitempty"`
	// Have are the machines that the member dealt with in an earlier term: their
	// workers are connected to it.
	Have    []string `codec:"have,omitempty"`
	Entries []Entry  `codec:"entries,omitempty"`
	Done    []Done   `codec:"done,omitempty"`
	// More: entries were left out for the size of the request.
	More bool `codec:"more,omitempty"`
}

// Entry is what a machine has reported since the last request that was answered.
type Entry struct {
	Host    string `codec:"host"`
	Session uint64 `codec:"shift"`
	Seq     uint64 `codec:"tick"`
	// AgeMs is how long before the request the report came, in milliseconds.
	AgeMs int64 `codec:"age_ms"`
	// Report is the encoded report; empty: as the last one, but for its number.
	Report []byte `codec:"report,omitempty"`
}

// Call is a direct command that the holder is to send.
type Call struct {
	ID   uint64 `codec:"id"`
	Addr string `codec:"addr"`
	Body []byte `codec:"body"`
}

// Done is what became of a call.
type Done struct {
	ID     uint64 `codec:"id"`
	Status int    `codec:"status"`
	// Reached: something may have been sent.
	Reached bool   `codec:"reached,omitempty"`
	Report  []byte `codec:"report,omitempty"`
}

// Answer is the leader's answer to a report that said something new. The holder
// gives it if the worker still waits for it.
type Answer struct {
	Host    string       `codec:"host"`
	Session uint64       `codec:"shift"`
	Seq     uint64       `codec:"tick"`
	Orders  []wire.Order `codec:"orders"`
}

// ExitClearance names exits of a machine that the worker may forget.
type ExitClearance struct {
	Host   string       `codec:"host"`
	Clears []wire.Order `codec:"clears"`
}

// Reply is the leader's answer to a request. Term 0: the node does not lead, or
// the request is not the member's newest.
type Reply struct {
	Term   uint64 `codec:"term"`
	Number uint64 `codec:"number"`
	// ForMs is how long the grant holds, in milliseconds, counted from before the
	// request was sent; 0: the member may not answer any machine.
	ForMs int64 `codec:"for_ms"`
	// Fresh: the member is to forget what it held before.
	Fresh      bool            `codec:"fresh,omitempty"`
	Add        []string        `codec:"add,omitempty"`
	Drop       []string        `codec:"drop,omitempty"`
	Calls      []Call          `codec:"calls,omitempty"`
	Answers    []Answer        `codec:"answers,omitempty"`
	Clearances []ExitClearance `codec:"settled,omitempty"`
}
