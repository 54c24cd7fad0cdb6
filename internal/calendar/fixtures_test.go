package calendar

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures are the records of reservations and maintenance windows stored in
// the consensus-backed key-value store, their specifications, and what the API
// shows of them.
var fixtures = []fixture.Row{
	{File: "reservation-record.cbor", Value: fixture.Filled[Record]()},
	{File: "window-record.cbor", Value: fixture.Filled[WindowRecord]()},
	{File: "reservation-spec.cbor", Value: fixture.Filled[Reservation]()},
	{File: "window-spec.cbor", Value: fixture.Filled[Window]()},
	{File: "span.cbor", Value: fixture.Filled[Span]()},
	{File: "occurrence-outcome.cbor", Value: fixture.Filled[Outcome]()},
	{File: "calendar-share.cbor", Value: fixture.Filled[Allocation]()},
	{File: "reservation-status.cbor", Value: fixture.Filled[Status]()},
	{File: "window-status.cbor", Value: fixture.Filled[WindowStatus]()},
}

func TestStoredFixtures(t *testing.T) { fixture.Check(t, fixtures) }
