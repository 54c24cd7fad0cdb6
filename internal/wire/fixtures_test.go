package wire_test

import (
	"testing"

	"vetchstream/internal/fixture"
	"vetchstream/internal/wire"
)

// fixtures has one row per message type exchanged with workers, users and the cloud.
var fixtures = []fixture.Row{
	{File: "heartbeat.cbor", Value: fixture.Filled[wire.Heartbeat]()},
	{File: "task-report.cbor", Value: fixture.Filled[wire.TaskStatus]()},
	{File: "order.cbor", Value: fixture.Filled[wire.Command]()},
	{File: "heartbeat-answer.cbor", Value: fixture.Filled[wire.HeartbeatResponse]()},
	{File: "direct-command.cbor", Value: fixture.Filled[wire.DirectCommands]()},
	{File: "redirect.cbor", Value: fixture.Filled[wire.Redirect]()},
	{File: "job-status.cbor", Value: fixture.Filled[wire.JobStatus]()},
	{File: "error.cbor", Value: fixture.Filled[wire.Error]()},
	{File: "machine-type.cbor", Value: fixture.Filled[wire.MachineType]()},
	{File: "machine-types.cbor", Value: fixture.Filled[wire.MachineTypes]()},
	{File: "cloud-hire.cbor", Value: fixture.Filled[wire.RentalRequest]()},
	{File: "cloud-host-names.cbor", Value: fixture.Filled[wire.MachineNames]()},
	{File: "cloud-host.cbor", Value: fixture.Filled[wire.CloudMachine]()},
	{File: "cloud-hosts.cbor", Value: fixture.Filled[wire.CloudMachinePage]()},
}

func TestWireFixtures(t *testing.T) { fixture.Check(t, fixtures) }
