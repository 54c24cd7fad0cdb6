package control

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures are the records of the controller stored in the consensus-backed
// key-value store and its answer to a configuration change; the records that
// other packages define are in their own fixtures.
var fixtures = []fixture.Row{
	{File: "registry-page-record.cbor", Value: fixture.Filled[pageRecord]()},
	{File: "registry-host-record.cbor", Value: fixture.Filled[machineRecord]()},
	{File: "registry-note-record.cbor", Value: fixture.Filled[jobMachinesRecord]()},
	{File: "machine-types-record.cbor", Value: fixture.Filled[typesRecord]()},
	{File: "config-change-answer.cbor", Value: fixture.Filled[changeAnswer]()},
}

func TestStoredFixtures(t *testing.T) { fixture.Check(t, fixtures) }
