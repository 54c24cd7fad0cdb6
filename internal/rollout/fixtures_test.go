package rollout

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures are the records of roll-outs that the key-value store holds, and the specifications
// and statuses of roll-outs.
var fixtures = []fixture.Row{
	{File: "rollout-record.cbor", Value: fixture.Filled[Record]()},
	{File: "rollout-batch.cbor", Value: fixture.Filled[Batch]()},
	{File: "rollout-failure.cbor", Value: fixture.Filled[Failure]()},
	{File: "rollout-copy.cbor", Value: fixture.Filled[Instance]()},
	{File: "rollout-view.cbor", Value: fixture.Filled[View]()},
	{File: "rollout-spec.cbor", Value: fixture.Filled[Spec]()},
	{File: "rollout-target.cbor", Value: fixture.Filled[Target]()},
	{File: "rollout-check.cbor", Value: fixture.Filled[Check]()},
	{File: "rollout-status.cbor", Value: fixture.Filled[Status]()},
	{File: "rollout-batch-status.cbor", Value: fixture.Filled[BatchStatus]()},
}

func TestStoredFixtures(t *testing.T) { fixture.Check(t, fixtures) }
