package calendar

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures lists the encoded types whose stored form must not change: the records of
// reservations and maintenance windows in the key-value store, their specifications, and their
// statuses in replies of the API.
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
