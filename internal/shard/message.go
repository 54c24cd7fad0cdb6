package shard

import "vetchstream/internal/wire"

// The messages between a shard holder and the leader, sent over gRPC. The codec tags are the
// field names that PROTOCOL defines and must not change; Go names may.

// Request is a request of a holder to the leader. A holder has one request in flight at
// a time. The requests up to this one therefore describe everything that the holder did
// before it handled its last reply.
type Request struct {
	// Member is the holder's member name, Zone its zone.
	Member string `codec:"member"`
	Zone   string `codec:"zone"`
	// Incarnation identifies the member's process. A later process has a higher one.
	Incarnation uint64 `codec:"life"`
	// Seq numbers the requests of one incarnation, starting at 1. The leader refuses a
	// request unless its number is higher than that of the last request.
	Seq uint64 `codec:"seq"`
	// Term and LastReply are the term and the number of the last reply that the holder has
	// handled. They are 0 if there was none.
	Term      uint64 `codec:"term"`
	LastReply uint64 `codec:"number"`
	// Capacity is the number of machines that the holder can handle, MaxCalls the number of
	// direct commands that it can have in flight.
	Capacity int `codec:"room"`
	MaxCalls int `codec:"calls"`
	// MachineTokens means that the holder answers each machine with the token that the leader
	// has given for it. Earlier builds answer all machines with the leader's term.
	MachineTokens bool `codec:"machine_tokens,omitempty"`
	// Overloaded reports whether the process gets too little processor time.
	Overloaded bool `codec:"behind,omitempty"`
	// PreviousMachines names the machines that the member held in an earlier term. Their
	// workers are connected to the member.
	PreviousMachines []string `codec:"have,omitempty"`
	// Reports are the machine reports, and CallResults the results of direct commands, that
	// the leader has not acknowledged yet.
	Reports     []MachineReport `codec:"entries,omitempty"`
	CallResults []CallResult    `codec:"done,omitempty"`
	// Truncated means that the size limit kept some reports out of the request.
	Truncated bool `codec:"more,omitempty"`
}

// MachineReport describes the heartbeats of one machine that the leader has not
// acknowledged.
type MachineReport struct {
	// Machine is the machine's name. Session and Seq are those of its last heartbeat.
	Machine string `codec:"host"`
	Session uint64 `codec:"shift"`
	Seq     uint64 `codec:"tick"`
	// AgeMs is the age of the last heartbeat when the request was made, in milliseconds.
	AgeMs int64 `codec:"age_ms"`
	// Heartbeat is the encoded heartbeat. It is empty if the heartbeat differs from the last
	// one that the leader has acknowledged only in its sequence number.
	Heartbeat []byte `codec:"report,omitempty"`
}

// Call is a direct command that the leader orders the holder to send.
type Call struct {
	// ID identifies the call in its CallResult. Addr is the worker's address, Body the
	// encoded command.
	ID   uint64 `codec:"id"`
	Addr string `codec:"addr"`
	Body []byte `codec:"body"`
}

// CallResult is the result of a Call.
type CallResult struct {
	// ID is the ID of the Call, Status the HTTP status of the worker's response.
	ID     uint64 `codec:"id"`
	Status int    `codec:"status"`
	// Reached means that the command may have reached the worker.
	Reached bool `codec:"reached,omitempty"`
	// Heartbeat is the encoded heartbeat in the worker's response. It is empty if there was
	// no response.
	Heartbeat []byte `codec:"report,omitempty"`
}

// Answer is the leader's answer to a heartbeat that has changed. The holder passes it on
// if the worker is still waiting for it.
type Answer struct {
	// Machine, Session and Seq identify the heartbeat. Commands are the leader's commands
	// to the worker.
	Machine  string         `codec:"host"`
	Session  uint64         `codec:"shift"`
	Seq      uint64         `codec:"tick"`
	Commands []wire.Command `codec:"orders"`
	// Token is the fencing token of the answer. It is 0 from leaders of earlier builds, whose
	// only token is the term.
	Token uint64 `codec:"baton,omitempty"`
}

// ExitClearance lists exited tasks of a machine that its worker may clear.
type ExitClearance struct {
	// Machine is the machine's name. Commands has one wire.CommandClear per exited task.
	Machine  string         `codec:"host"`
	Commands []wire.Command `codec:"clears"`
	// Token is the lowest fencing token that an answer with the commands may have. It is 0
	// from leaders of earlier builds, whose only token is the term.
	Token uint64 `codec:"baton,omitempty"`
}

// Reply is the leader's reply to a request. Term 0 means that the node does not lead or
// that the request is not the member's newest.
type Reply struct {
	// Term is the leader's term. Number counts the leader's replies to the member in the
	// term.
	Term   uint64 `codec:"term"`
	Number uint64 `codec:"number"`
	// FirstToken is the lowest fencing token of the holder's answers. It is 0 from leaders of
	// earlier builds, whose only token is Term.
	FirstToken uint64 `codec:"first_token,omitempty"`
	// GrantMs is the duration of the grant in milliseconds. The grant begins just before the
	// holder sends the request. 0 means that the holder must not answer any machine.
	GrantMs int64 `codec:"for_ms"`
	// Reset tells the holder to discard the machines that it has held so far.
	Reset bool `codec:"fresh,omitempty"`
	// Add and Drop name the machines that join and leave the shard. Calls are direct
	// commands to send, Answers the leader's answers to heartbeats, and Clearances the
	// exited tasks that workers may clear.
	Add        []string        `codec:"add,omitempty"`
	Drop       []string        `codec:"drop,omitempty"`
	Calls      []Call          `codec:"calls,omitempty"`
	Answers    []Answer        `codec:"answers,omitempty"`
	Clearances []ExitClearance `codec:"settled,omitempty"`
}
