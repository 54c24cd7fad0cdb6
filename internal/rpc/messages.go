// Package rpc is the gRPC service that controllers offer to each other: pings that tell
// who leads, requests that are forwarded to the leader, the assignment of machines to
// controllers, and the configuration that the home region grants to the others.
//
// Messages are encoded in the CBOR of package wire. A field whose tag has omitempty may
// be absent.
package rpc

import (
	"google.golang.org/grpc/encoding"

	"vetchstream/internal/wire"
)

// codecName is the name of the encoding, which gRPC sends as the content subtype.
const codecName = "cbor"

// codec makes gRPC encode messages in CBOR.
type codec struct{}

func (codec) Marshal(v any) ([]byte, error)   { return wire.Marshal(v) }
func (codec) Unmarshal(b []byte, v any) error { return wire.Unmarshal(b, v) }
func (codec) Name() string                    { return codecName }

func init() { encoding.RegisterCodec(codec{}) }

// pingRequest asks a member for its NodeStatus.
type pingRequest struct{}

// NodeStatus is the response to a ping: what the member knows of the leadership, and
// how it is itself.
type NodeStatus struct {
	Member string `codec:"member"`
	Leader string `codec:"leader"` // the leader that the member knows; empty: none
	Term   uint64 `codec:"term"`   // that leader's term
	// ServesUsers: the load balancer sends users to the member, by those that came lately.
	ServesUsers bool `codec:"serves,omitempty"`
	// Overloaded: the process gets too little processor time.
	Overloaded bool `codec:"behind,omitempty"`
	// ProbeUs is how long the member takes for a piece of work that is the same
	// everywhere, in microseconds; 0: not known.
	ProbeUs int64 `codec:"work_us,omitempty"`
	// StoreReachable: the key-value store has answered the member lately.
	StoreReachable bool `codec:"stored,omitempty"`
}

// RequestKind says who sends a Request and what for.
type RequestKind string

// Kinds of forwarded requests. The last three have an Operation as their body.
const (
	KindSubmit    RequestKind = "submit"   // a user submits a job
	KindStatus    RequestKind = "status"   // a user polls the status of a job
	KindCancel    RequestKind = "abort"    // a user cancels a job
	KindHeartbeat RequestKind = "report"   // a worker sends a wire.Heartbeat
	KindRollout   RequestKind = "rollout"  // an operator's request about roll-outs
	KindCalendar  RequestKind = "calendar" // a request about reservations and maintenance windows
	KindConfig    RequestKind = "config"   // an operator's request about the configuration of the regions
)

// Request is a request of a user, a worker or an operator. It is forwarded by a member
// that does not lead to the leader.
type Request struct {
	Kind RequestKind `codec:"kind"`
	ID   string      `codec:"id,omitempty"`   // of the job, where the kind has one
	Body []byte      `codec:"body,omitempty"` // the client's body as it arrived, or an Operation
	// ForwardedBy is the member that forwards a heartbeat; empty: it came from the worker.
	ForwardedBy string `codec:"via,omitempty"`
}

// Verb is what an Operation does.
type Verb string

// Verbs of operations.
const (
	VerbStart    Verb = "start"
	VerbStatus   Verb = "status"
	VerbList     Verb = "list"
	VerbPause    Verb = "pause"
	VerbResume   Verb = "resume"
	VerbRollback Verb = "undo"
	VerbCancel   Verb = "cancel"
	VerbHistory  Verb = "history" // lists the changes that were made
)

// Operation is an operator's request about a roll-out, the calendar or the
// configuration.
type Operation struct {
	Verb Verb `codec:"verb"`
	// Name is what the request is about: a service, a reservation, a window or a revision.
	// In a list it is the name after which the page begins.
	Name string `codec:"service,omitempty"`
	// Spec is the encoded specification, where the verb needs one.
	Spec []byte `codec:"spec,omitempty"`
	// Team restricts a request about the calendar to that team's reservations; empty: an
	// operator's request.
	Team string `codec:"team,omitempty"`
	// Window: a request about the calendar is about maintenance windows, not reservations.
	Window bool `codec:"window,omitempty"`
	// DryRun: a change of the configuration is only checked.
	DryRun bool `codec:"dry,omitempty"`
}

// Reply is the HTTP response to a Request.
type Reply struct {
	Status     int    `codec:"status"`                // HTTP status
	Body       []byte `codec:"body,omitempty"`        // encoded body
	RetryAfter int    `codec:"retry_after,omitempty"` // seconds; 0: no Retry-After header
	// Final: a refusal that the leader has decided on. It goes to the client as it is,
	// and the member that forwarded the request does not try by itself.
	Final bool `codec:"settled,omitempty"`
	// HasTasks: the worker whose heartbeat is answered has tasks.
	HasTasks bool `codec:"work,omitempty"`
}

// PromiseRequest is sent by a leader that the key-value store does not answer. It asks
// a sibling not to campaign for the leadership for a while.
type PromiseRequest struct {
	Leader string `codec:"leader"` // the leader's member name
	Term   uint64 `codec:"term"`
}

// Promise is the response to a PromiseRequest.
type Promise struct {
	Given bool `codec:"given"`
}
