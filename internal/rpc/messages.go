// Package rpc implements the gRPC service and client between controllers. It carries
// pings with the current leader, client requests that are forwarded to the leader, the
// assignment of machines to controllers, promises not to campaign, and the configuration
// that the home region grants to the other regions.
//
// Messages use the CBOR encoding of package wire. A field with omitempty in its tag may
// be absent.
package rpc

import (
	"google.golang.org/grpc/encoding"

	"vetchstream/internal/wire"
)

// codecName is the name of the codec. gRPC sends it as the content subtype.
const codecName = "cbor"

// codec is the gRPC codec for CBOR.
type codec struct{}

func (codec) Marshal(v any) ([]byte, error)      { return wire.Marshal(v) }
func (codec) Unmarshal(body []byte, v any) error { return wire.Unmarshal(body, v) }
func (codec) Name() string                       { return codecName }

func init() { encoding.RegisterCodec(codec{}) }

// pingRequest asks a member for its NodeStatus.
type pingRequest struct{}

// NodeStatus is the response to a ping: the leader that the member knows, and the
// member's own health.
type NodeStatus struct {
	Member string `codec:"member"`
	Leader string `codec:"leader"` // the leader that the member knows; empty if it knows none
	Term   uint64 `codec:"term"`   // that leader's term
	// ServesUsers reports whether the member has recently received requests of users,
	// which means that the load balancer routes users to it.
	ServesUsers bool `codec:"serves,omitempty"`
	// Overloaded reports whether the process gets too little processor time.
	Overloaded bool `codec:"behind,omitempty"`
	// ProbeUs is the time that the member takes for a fixed piece of work, in microseconds.
	// The work is the same on all members. 0 means that the time is not known.
	ProbeUs int64 `codec:"work_us,omitempty"`
	// StoreReachable reports whether the key-value store has recently responded to the
	// member.
	StoreReachable bool `codec:"stored,omitempty"`
}

// RequestKind is the kind of a forwarded request: its sender and its purpose.
type RequestKind string

// Kinds of forwarded requests. The body of the last three kinds is an Operation.
const (
	KindSubmit    RequestKind = "submit"   // a user submits a job
	KindStatus    RequestKind = "status"   // a user polls a job's status
	KindCancel    RequestKind = "abort"    // a user cancels a job
	KindHeartbeat RequestKind = "report"   // a worker sends a wire.Heartbeat
	KindRollout   RequestKind = "rollout"  // an operator controls roll-outs or lists them
	KindCalendar  RequestKind = "calendar" // a team or an operator manages reservations or maintenance windows
	KindConfig    RequestKind = "config"   // an operator reads or changes the configuration of the regions
)

// Request is a request of a user, a worker or an operator that a follower forwards to
// the leader.
type Request struct {
	Kind RequestKind `codec:"kind"`
	ID   string      `codec:"id,omitempty"`   // ID of the job, if the request names one
	Body []byte      `codec:"body,omitempty"` // unchanged body of the client's request, or an Operation
	// ForwardedBy is the member that forwards a heartbeat. It is empty if the worker sent
	// the heartbeat to the leader itself.
	ForwardedBy string `codec:"via,omitempty"`
}

// Verb is the action of an Operation.
type Verb string

// Verbs of an Operation.
const (
	VerbStart    Verb = "start"
	VerbStatus   Verb = "status"
	VerbList     Verb = "list"
	VerbPause    Verb = "pause"
	VerbResume   Verb = "resume"
	VerbRollback Verb = "undo"
	VerbCancel   Verb = "cancel"
	VerbHistory  Verb = "history" // list past changes
)

// Operation is an operator's request about a roll-out, the calendar or the
// configuration.
type Operation struct {
	Verb Verb `codec:"verb"`
	// Name is the name of a service, a reservation, a maintenance window or a revision. For
	// VerbList, the page starts after this name.
	Name string `codec:"service,omitempty"`
	// Spec is the encoded specification, if the verb needs one.
	Spec []byte `codec:"spec,omitempty"`
	// Team restricts a KindCalendar request to the team's reservations. It is empty for a
	// request of an operator.
	Team string `codec:"team,omitempty"`
	// Window means that a KindCalendar request is about maintenance windows, not about
	// reservations.
	Window bool `codec:"window,omitempty"`
	// DryRun means that a change of the configuration is validated but not applied.
	DryRun bool `codec:"dry,omitempty"`
}

// Reply is the HTTP response to a Request.
type Reply struct {
	Status     int    `codec:"status"`                // HTTP status code
	Body       []byte `codec:"body,omitempty"`        // encoded response body
	RetryAfter int    `codec:"retry_after,omitempty"` // seconds; 0 means no Retry-After header
	// Final marks a refusal that the leader has decided on. The follower passes it on to
	// the client unchanged and does not handle the request itself.
	Final bool `codec:"settled,omitempty"`
	// HasTasks reports whether the worker that sent the heartbeat has tasks.
	HasTasks bool `codec:"work,omitempty"`
}

// PromiseRequest is sent by a leader that gets no response from the key-value store. It
// asks a sibling not to campaign for the leadership for a limited time.
type PromiseRequest struct {
	Leader string `codec:"leader"` // the leader's member name
	Term   uint64 `codec:"term"`
}

// Promise is the response to a PromiseRequest.
type Promise struct {
	Given bool `codec:"given"`
}
