package state

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures are the messages exchanged with the key-value store.
var fixtures = []fixture.Row{
	{File: "entry.cbor", Value: fixture.Filled[Entry]()},
	{File: "condition.cbor", Value: fixture.Filled[Condition]()},
	{File: "write.cbor", Value: fixture.Filled[Write]()},
	{File: "transaction.cbor", Value: fixture.Filled[Txn]()},
	{File: "list-page.cbor", Value: fixture.Filled[listPage]()},
	{File: "watch-event.cbor", Value: fixture.Filled[Event]()},
}

func TestWireFixtures(t *testing.T) { fixture.Check(t, fixtures) }
