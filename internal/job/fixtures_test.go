package job

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures are the records of jobs in the key-value store.
var fixtures = []fixture.Row{
	{File: "job-record.cbor", Value: fixture.Filled[Record]()},
	{File: "job-group-record.cbor", Value: fixture.Filled[Group]()},
	{File: "job-chunk-record.cbor", Value: fixture.Filled[Chunk]()},
	{File: "job-spec.cbor", Value: fixture.Filled[Spec]()},
}

func TestStoredFixtures(t *testing.T) { fixture.Check(t, fixtures) }
