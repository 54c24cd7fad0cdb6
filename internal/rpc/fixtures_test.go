package rpc

import (
	"context"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"vetchstream/internal/dynconfig"
	"vetchstream/internal/fixture"
	"vetchstream/internal/shard"
)

// wireFixtures has one row per message type that controllers send each other.
var wireFixtures = []fixture.Row{
	{File: "hello.cbor", Value: fixture.Filled[NodeStatus]()},
	{File: "forward-request.cbor", Value: fixture.Filled[Request]()},
	{File: "forward-reply.cbor", Value: fixture.Filled[Reply]()},
	{File: "operation.cbor", Value: fixture.Filled[Operation]()},
	{File: "promise-request.cbor", Value: fixture.Filled[PromiseRequest]()},
	{File: "promise.cbor", Value: fixture.Filled[Promise]()},
}

func TestWireFixtures(t *testing.T) { fixture.Check(t, wireFixtures) }

// recordingHandler is a Handler that records the last request and returns responses with
// all fields set.
type recordingHandler struct{ request any }

func (h *recordingHandler) NodeStatus() NodeStatus { return *fixture.Filled[NodeStatus]() }
func (h *recordingHandler) HandleForwarded(_ context.Context, request *Request) *Reply {
	h.request = request
	return fixture.Filled[Reply]()
}
func (h *recordingHandler) SyncShard(_ context.Context, request *shard.Request) *shard.Reply {
	h.request = request
	return fixture.Filled[shard.Reply]()
}
func (h *recordingHandler) FollowConfig(_ context.Context, request *dynconfig.Request) *dynconfig.Reply {
	h.request = request
	return fixture.Filled[dynconfig.Reply]()
}
func (h *recordingHandler) Promise(_ context.Context, request *PromiseRequest) *Promise {
	h.request = request
	return fixture.Filled[Promise]()
}

// releasedSyncRequest returns the request of the released version, which has no MachineTokens.
func releasedSyncRequest() *shard.Request {
	request := fixture.Filled[shard.Request]()
	request.MachineTokens = false
	return request
}

// TestServiceFixtures checks that the service and its methods have the expected names on
// the wire, and that each method decodes the request of a released version and encodes a
// response that decodes to the same value.
func TestServiceFixtures(t *testing.T) {
	if service.ServiceName != "vetchstream.Peer" {
		t.Fatalf("service name is %q, want vetchstream.Peer", service.ServiceName)
	}
	rows := []struct {
		method   string
		request  string // name of a fixture; empty if the request has no fields
		want     any    // the request that the handler must get
		response any    // the response that the caller must decode
	}{
		{"Ping", "", nil, fixture.Filled[NodeStatus]()},
		{"Forward", "forward-request.cbor", fixture.Filled[Request](), fixture.Filled[Reply]()},
		{"Promise", "promise-request.cbor", fixture.Filled[PromiseRequest](), fixture.Filled[Promise]()},
		{"Follow", "../../../dynconfig/testdata/fixtures/follow-request.cbor", fixture.Filled[dynconfig.Request](), fixture.Filled[dynconfig.Reply]()},
		{"Sync", "../../../shard/testdata/fixtures/sync-request.cbor", releasedSyncRequest(), fixture.Filled[shard.Reply]()},
	}
	if len(service.Methods) != len(rows) {
		t.Fatalf("service has %d methods, want %d", len(service.Methods), len(rows))
	}
	for i, row := range rows {
		t.Run(row.method, func(t *testing.T) {
			description := service.Methods[i]
			if description.MethodName != row.method {
				t.Fatalf("method %d is %q, want %q", i, description.MethodName, row.method)
			}
			body := []byte{0xa0} // an empty map, which is the request of Ping
			if row.request != "" {
				var err error
				if body, err = os.ReadFile(filepath.Join("testdata", "fixtures", row.request)); err != nil {
					t.Fatal(err)
				}
			}
			handler := &recordingHandler{}
			wireCodec := codec{}
			decode := func(v any) error { return wireCodec.Unmarshal(body, v) }
			response, err := description.Handler(handler, context.Background(), decode, nil)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(handler.request, row.want) {
				t.Fatalf("handler got request %#v, want %#v", handler.request, row.want)
			}
			encoded, err := wireCodec.Marshal(response)
			if err != nil {
				t.Fatal(err)
			}
			got := reflect.New(reflect.TypeOf(row.response).Elem())
			if err := wireCodec.Unmarshal(encoded, got.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got.Interface(), row.response) {
				t.Fatalf("decoded response %#v, want %#v", got.Interface(), row.response)
			}
		})
	}
}
