package dynconfig

// The messages between a region's leader and the leader of the home region, sent over
// gRPC. Their codec tags are the names on the wire: Go names may change, tags may not.

// RegionGrant is a grant as it is sent to a region and stored there.
type RegionGrant struct {
	Team      string `codec:"team"`
	Seq       uint64 `codec:"seq"`
	Revision  uint64 `codec:"revision"`
	Limit     Amount `codec:"limit"`
	Guarantee Amount `codec:"guarantee"`
	// Target is the limit that the region will have once other regions have released it.
	Target  Amount `codec:"wants"`
	Removed bool   `codec:"removed,omitempty"`
}

// TeamReport is what a region reports about a team.
type TeamReport struct {
	Team string `codec:"team"`
	// Seq is that of the grant in force in the region; 0: the platform's file is in force.
	Seq uint64 `codec:"seq"`
	// Limit and Guarantee are those in force in the region.
	Limit     Amount `codec:"limit"`
	Guarantee Amount `codec:"guarantee"`
	// Held is the larger of the limit and of what the team uses there.
	Held Amount `codec:"held"`
	// Busy: the team has jobs there that are not over.
	Busy bool `codec:"busy,omitempty"`
}

// Request is what a region's leader sends to follow the home region.
type Request struct {
	Region string `codec:"region"`
	// Term is that of the region's leader, Number rises with each of its requests. The
	// home region ignores a request that is older than the last one.
	Term   uint64 `codec:"term"`
	Number uint64 `codec:"number"`
	// HomeTerm is the home leader's term to which the region has reported all its teams.
	HomeTerm uint64 `codec:"home"`
	// After is the highest sequence number of grants that the region has stored.
	After uint64 `codec:"after"`
	// Revision is the highest revision of which the region has stored anything.
	Revision uint64 `codec:"revision"`
	// Full: Reports covers all teams that the region knows.
	Full    bool         `codec:"full,omitempty"`
	Reports []TeamReport `codec:"statements,omitempty"`
}

// Reply is the home leader's answer to a Request.
type Reply struct {
	// Refused says why there is no answer: the member does not lead, or its lease does
	// not hold. Empty: the request was accepted.
	Refused string `codec:"refused,omitempty"`
	// Term is the home leader's term.
	Term uint64 `codec:"term"`
	// Resync: the region has to report all its teams to this leader first.
	Resync bool          `codec:"state,omitempty"`
	Grants []RegionGrant `codec:"grants,omitempty"`
	// More: there are further grants.
	More bool `codec:"more,omitempty"`
}
