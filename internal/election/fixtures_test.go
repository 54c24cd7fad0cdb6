package election

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures are the records that leader election stores in the key-value store.
var fixtures = []fixture.Row{
	{File: "leader-record.cbor", Value: fixture.Filled[leaderRecord]()},
	{File: "term-record.cbor", Value: fixture.Filled[termRecord]()},
}

func TestStoredFixtures(t *testing.T) { fixture.Check(t, fixtures) }
