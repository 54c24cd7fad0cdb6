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

// wireFixtures are the messages that controllers send each other.
var wireFixtures = []fixture.Row{
	{File: "hello.cbor", Value: fixture.Filled[NodeStatus]()},
	{File: "forward-request.cbor", Value: fixture.Filled[Request]()},
	{File: "forward-reply.cbor", Value: fixture.Filled[Reply]()},
	{File: "operation.cbor", Value: fixture.Filled[Operation]()},
	{File: "promise-request.cbor", Value: fixture.Filled[PromiseRequest]()},
	{File: "promise.cbor", Value: fixture.Filled[Promise]()},
}

func TestWireFixtures(t *testing.T) { fixture.Check(t, wireFixtures) }

// recordingHandler is a Handler that records the request it was given and answers with
// filled values.
type recordingHandler struct{ request any }

func (h *recordingHandler) NodeStatus() NodeStatus { return *fixture.Filled[NodeStatus]() }
func (h *recordingHandler) HandleForwarded(_ context.Context, r *Request) *Reply {
	h.request = r
	return fixture.Filled[Reply]()
}
func (h *recordingHandler) SyncShard(_ context.Context, r *shard.Request) *shard.Reply {
	h.request = r
	return fixture.Filled[shard.Reply]()
}
func (h *recordingHandler) FollowConfig(_ context.Context, r *dynconfig.Request) *dynconfig.Reply {
	h.request = r
	return fixture.Filled[dynconfig.Reply]()
}
func (h *recordingHandler) Promise(_ context.Context, r *PromiseRequest) *Promise {
	h.request = r
	return fixture.Filled[Promise]()
}

// TestServiceFixtures pins the service's name and methods, which are on the
// wire, and feeds each method a fixture request.
func TestServiceFixtures(t *testing.T) {
	if service.ServiceName != "vetchstream.Peer" {
		t.Fatalf("service name %q", service.ServiceName)
	}
	rows := []struct {
		method  string
		request string // a fixture; empty: the method takes no request
		want    any    // the request as the handler must see it
		answer  any    // the answer as the caller must decode it
	}{
		{"Ping", "", nil, fixture.Filled[NodeStatus]()},
		{"Forward", "forward-request.cbor", fixture.Filled[Request](), fixture.Filled[Reply]()},
		{"Promise", "promise-request.cbor", fixture.Filled[PromiseRequest](), fixture.Filled[Promise]()},
		{"Follow", "../../../dynconfig/testdata/fixtures/follow-request.cbor", fixture.Filled[dynconfig.Request](), fixture.Filled[dynconfig.Reply]()},
		{"Sync", "../../../shard/testdata/fixtures/sync-request.cbor", fixture.Filled[shard.Request](), fixture.Filled[shard.Reply]()},
	}
	if len(service.Methods) != len(rows) {
		t.Fatalf("%d methods, want %d", len(service.Methods), len(rows))
	}
	for i, row := range rows {
		t.Run(row.method, func(t *testing.T) {
			m := service.Methods[i]
			if m.MethodName != row.method {
				t.Fatalf("method %d is %q, want %q", i, m.MethodName, row.method)
			}
			body := []byte{0xa0} // an empty map: the request of Ping
			if row.request != "" {
				var err error
				if body, err = os.ReadFile(filepath.Join("testdata", "fixtures", row.request)); err != nil {
					t.Fatal(err)
				}
			}
			h := &recordingHandler{}
			wireCodec := codec{}
			dec := func(v any) error { return wireCodec.Unmarshal(body, v) }
			res, err := m.Handler(h, context.Background(), dec, nil)
			if err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(h.request, row.want) {
				t.Fatalf("handler got %#v, want %#v", h.request, row.want)
			}
			b, err := wireCodec.Marshal(res)
			if err != nil {
				t.Fatal(err)
			}
			got := reflect.New(reflect.TypeOf(row.answer).Elem())
			if err := wireCodec.Unmarshal(b, got.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(got.Interface(), row.answer) {
				t.Fatalf("answer %#v, want %#v", got.Interface(), row.answer)
			}
		})
	}
}
