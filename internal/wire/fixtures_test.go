package wire_test

import (
	"testing"

	"vetchstream/internal/fixture"
	"vetchstream/internal/wire"
)

// fixtures are the messages exchanged with workers, users and the cloud.
var fixtures = []fixture.Row{
	{File: "heartbeat.cbor", Value: fixture.Filled[wire.Report]()},
	{File: "task-report.cbor", Value: fixture.Filled[wire.TaskReport]()},
	{File: "order.cbor", Value: fixture.Filled[wire.Order]()},
	{File: "heartbeat-answer.cbor", Value: fixture.Filled[wire.Answer]()},
	{File: "direct-command.cbor", Value: fixture.Filled[wire.Direct]()},
	{File: "redirect.cbor", Value: fixture.Filled[wire.Redirect]()},
	{File: "job-status.cbor", Value: fixture.Filled[wire.Status]()},
	{File: "error.cbor", Value: fixture.Filled[wire.Error]()},
	{File: "machine-type.cbor", Value: fixture.Filled[wire.MachineType]()},
	{File: "machine-types.cbor", Value: fixture.Filled[wire.MachineTypes]()},
	{File: "cloud-hire.cbor", Value: fixture.Filled[wire.Hire]()},
	{File: "cloud-host-names.cbor", Value: fixture.Filled[wire.HostNames]()},
	{File: "cloud-host.cbor", Value: fixture.Filled[wire.CloudHost]()},
	{File: "cloud-hosts.cbor", Value: fixture.Filled[wire.CloudHosts]()},
}

func TestWireFixtures(t *testing.T) { fixture.Check(t, fixtures) }
