package shard

import "vetchstream/internal/wire"

// The messages between a shard holder and the leader, sent over gRPC. Their codec
// tags are the names on the wire that PROTOCOL gives: Go names may change, tags never.

// Request is a request of a holder to the leader. A holder has one request in flight at
// a time, so the requests up to this one have all that it did before the last reply
// that it has handled.
type Request struct {
	// Member is the holder's member name, Zone its zone.
	Member string `codec:"member"`
	Zone   string `codec:"zone"`
	// Incarnation is the incarnation of the member's process: a later one is higher.
	Incarnation uint64 `codec:"life"`
	// Seq numbers the requests of one incarnation from 1; the leader refuses a request
	// that is not higher than the last.
	Seq uint64 `codec:"seq"`
	// Term and Number are those of the last reply that the member has handled; 0: none.
	Term      uint64 `codec:"term"`
	LastReply uint64 `codec:"number"`
	// Capacity is how many machines the member can deal with, Calls how many direct
	// commands it can have in flight.
	Capacity int `codec:"room"`
	MaxCalls int `codec:"calls"`
	// Overloaded: the process gets too little processor time.
	Overloaded bool `codec:"behind,omitempty"`
	// PreviousMachines are the machines that the member held in an earlier term: their
	// workers are connected to it.
	PreviousMachines []string `codec:"have,omitempty"`
	// Reports are the reports, and CallResults the results of direct commands, that the
	// leader has not acknowledged yet.
	Reports     []MachineReport `codec:"entries,omitempty"`
	CallResults []CallResult    `codec:"done,omitempty"`
	// Truncated: reports were left out because of the size of the request.
	Truncated bool `codec:"more,omitempty"`
}

// MachineReport is what a machine has reported since the last request that had a reply.
type MachineReport struct {
	// Machine names the machine; Session and Seq are those of its last report.
	Machine string `codec:"host"`
	Session uint64 `codec:"shift"`
	Seq     uint64 `codec:"tick"`
	// AgeMs is how long before the request the report came, in milliseconds.
	AgeMs int64 `codec:"age_ms"`
	// Heartbeat is the encoded report; empty: it differs from the last one in its number
	// alone.
	Heartbeat []byte `codec:"report,omitempty"`
}

// Call is a direct command that the holder is to send.
type Call struct {
	// ID names the call in its CallResult; Addr is the worker's address, Body the encoded
	// command.
	ID   uint64 `codec:"id"`
	Addr string `codec:"addr"`
	Body []byte `codec:"body"`
}

// CallResult is the result of a Call.
type CallResult struct {
	// ID is that of the Call, Status the HTTP status of its answer.
	ID     uint64 `codec:"id"`
	Status int    `codec:"status"`
	// Reached: the command may have reached the worker.
	Reached bool `codec:"reached,omitempty"`
	// Heartbeat is the worker's encoded answer; empty: none.
	Heartbeat []byte `codec:"report,omitempty"`
}

// Answer is the leader's answer to a report that has changed. The holder sends it if
// the worker still waits for it.
type Answer struct {
	// Machine, Session and Seq name the report that is answered, Orders the answer.
	Machine  string         `codec:"host"`
	Session  uint64         `codec:"shift"`
	Seq      uint64         `codec:"tick"`
	Commands []wire.Command `codec:"orders"`
}

// ExitClearance names exits of a machine that the worker may forget.
type ExitClearance struct {
	// Machine names the machine, Clears the clear orders of its exits.
	Machine  string         `codec:"host"`
	Commands []wire.Command `codec:"clears"`
}

// Reply is the leader's answer to a request. Term 0: the node does not lead, or
// the request is not the member's newest.
type Reply struct {
	// Term is the leader's term; Number counts the replies to the member in it.
	Term   uint64 `codec:"term"`
	Number uint64 `codec:"number"`
	// GrantMs is how long the grant holds, in milliseconds, counted from before the
	// request was sent; 0: the member may not answer any machine.
	GrantMs int64 `codec:"for_ms"`
	// Reset: the member is to forget what it held before.
	Reset bool `codec:"fresh,omitempty"`
	// Add and Drop name the machines that the shard gains and loses, Calls the
	// direct commands to send, Answers the leader's answers to reports, and
	// Clearances the exits that workers may forget.
	Add        []string        `codec:"add,omitempty"`
	Drop       []string        `codec:"drop,omitempty"`
	Calls      []Call          `codec:"calls,omitempty"`
	Answers    []Answer        `codec:"answers,omitempty"`
	Clearances []ExitClearance `codec:"settled,omitempty"`
}
