package shard

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures are the messages of shard holders and the leader, sent over gRPC
// between controllers.
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
