package dynconfig

import (
	"testing"

	"vetchstream/internal/fixture"
)

// fixtures are the records of the teams' quotas in the key-value store, the messages of Follow
// between controllers, and the configuration changes and statuses of the API.
var fixtures = []fixture.Row{
	{File: "follow-request.cbor", Value: fixture.Filled[Request]()},
	{File: "follow-reply.cbor", Value: fixture.Filled[Reply]()},
	{File: "team-record.cbor", Value: fixture.Filled[TeamRecord]()},
	{File: "team-head.cbor", Value: fixture.Filled[Head]()},
	{File: "team-grant.cbor", Value: fixture.Filled[Grant]()},
	{File: "team-share.cbor", Value: fixture.Filled[Share]()},
	{File: "team-entry.cbor", Value: fixture.Filled[RegionGrant]()},
	{File: "team-statement.cbor", Value: fixture.Filled[TeamReport]()},
	{File: "change-history-entry.cbor", Value: fixture.Filled[HistoryEntry]()},
	{File: "change-history-summary.cbor", Value: fixture.Filled[HistorySummary]()},
	{File: "config-change.cbor", Value: fixture.Filled[Change]()},
	{File: "config-team-change.cbor", Value: fixture.Filled[TeamChange]()},
	{File: "config-part.cbor", Value: fixture.Filled[RegionQuota]()},
	{File: "config-quota.cbor", Value: fixture.Filled[Quota]()},
	{File: "config-refusal.cbor", Value: fixture.Filled[Refusal]()},
	{File: "config-status.cbor", Value: fixture.Filled[Status]()},
	{File: "config-region-status.cbor", Value: fixture.Filled[RegionStatus]()},
	{File: "config-wait.cbor", Value: fixture.Filled[PendingShare]()},
	{File: "config-team-status.cbor", Value: fixture.Filled[TeamStatus]()},
	{File: "config-part-status.cbor", Value: fixture.Filled[RegionQuotaStatus]()},
	{File: "amount.cbor", Value: fixture.Filled[Amount]()},
}

func TestStoredFixtures(t *testing.T) { fixture.Check(t, fixtures) }
