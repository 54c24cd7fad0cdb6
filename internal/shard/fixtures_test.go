package shard

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures has one row per message type that shard holders and the leader exchange over
// gRPC.
var fixtures = []fixture.Row{
	{File: "sync-request.cbor", Value: fixture.Filled[Request]()},
	{File: "sync-reply.cbor", Value: fixture.Filled[Reply]()},
	{File: "sync-entry.cbor", Value: fixture.Filled[MachineReport]()},
	{File: "sync-call.cbor", Value: fixture.Filled[Call]()},
	{File: "sync-done.cbor", Value: fixture.Filled[CallResult]()},
	{File: "sync-answer.cbor", Value: fixture.Filled[Answer]()},
	{File: "sync-settled.cbor", Value: fixture.Filled[ExitClearance]()},
}

func TestWireFixtures(t *testing.T) { fixture.Check(t, fixtures) }
