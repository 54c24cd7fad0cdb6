package shard

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures has one row per message type that shard holders and the leader exchange over
// gRPC.
var fixtures = []fixture.Row{
	{File: "sync-request.cbor", Value: fixture.Filled[Request](), Later: []string{"MachineTokens"}},
	{File: "sync-request-tokens.cbor", Value: fixture.Filled[Request]()},
	{File: "sync-reply.cbor", Value: fixture.Filled[Reply](), Later: []string{"FirstToken", "Answers.Token", "Clearances.Token"}},
	{File: "sync-reply-tokens.cbor", Value: fixture.Filled[Reply]()},
	{File: "sync-entry.cbor", Value: fixture.Filled[MachineReport]()},
	{File: "sync-call.cbor", Value: fixture.Filled[Call]()},
	{File: "sync-done.cbor", Value: fixture.Filled[CallResult]()},
	{File: "sync-answer.cbor", Value: fixture.Filled[Answer](), Later: []string{"Token"}},
	{File: "sync-settled.cbor", Value: fixture.Filled[ExitClearance](), Later: []string{"Token"}},
}

func TestWireFixtures(t *testing.T) { fixture.Check(t, fixtures) }
