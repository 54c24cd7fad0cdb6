package control

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures are the controller's records in the key-value store and its response to
// a configuration change. Records that other packages define are in the fixtures of
// those packages.
var fixtures = []fixture.Row{
	{File: "registry-page-record.cbor", Value: fixture.Filled[pageRecord]()},
	{File: "registry-host-record.cbor", Value: fixture.Filled[hostRecord]()},
	{File: "registry-note-record.cbor", Value: fixture.Filled[jobHostsRecord]()},
	{File: "machine-types-record.cbor", Value: fixture.Filled[typesRecord]()},
	{File: "config-change-answer.cbor", Value: fixture.Filled[changeAnswer]()},
}

func TestStoredFixtures(t *testing.T) { fixture.Check(t, fixtures) }
