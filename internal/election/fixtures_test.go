package election

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures are the records of the leader election stored in the consensus-
// backed key-value store.
var fixtures = []fixture.Row{
	{File: "leader-record.cbor", Value: fixture.Filled[leaderRecord]()},
	{File: "term-record.cbor", Value: fixture.Filled[termRecord]()},
}

func TestStoredFixtures(t *testing.T) { fixture.Check(t, fixtures) }
