package dynconfig

// The leaders of the regions exchange these messages with the leader of the home region over
// gRPC. The codec tags are the names on the wire: Go names may change, tags may not.

// RegionGrant is a grant as the home region sends it to a region, which stores it.
type RegionGrant struct {
	Team      string `codec:"team"`
	Seq       uint64 `codec:"seq"`
	Revision  uint64 `codec:"revision"`
	Limit     Amount `codec:"limit"`
	Guarantee Amount `codec:"guarantee"`
	// Target is the limit that the region gets once other regions have released enough.
	Target  Amount `codec:"wants"`
	Removed bool   `codec:"removed,omitempty"`
}

// TeamReport is a region's report about a team.
type TeamReport struct {
	Team string `codec:"team"`
	// Seq is the sequence number of the grant in force in the region. It is 0 if the platform's
	// file is in force.
	Seq uint64 `codec:"seq"`
	// Limit and Guarantee are the amounts in force in the region.
	Limit     Amount `codec:"limit"`
	Guarantee Amount `codec:"guarantee"`
	// Held is the larger of the limit and the team's usage there.
	Held Amount `codec:"held"`
	// Busy means that the team has jobs there that have not ended.
	Busy bool `codec:"busy,omitempty"`
}

// Request is a message of a region's leader to the leader of the home region. It reports the
// region's teams and asks for new grants.
type Request struct {
	Region string `codec:"region"`
	// Term is the term of the region's leader. Number increases with each of the leader's
	// requests. The home region refuses a request that is not newer than the last one.
	Term   uint64 `codec:"term"`
	Number uint64 `codec:"number"`
	// HomeTerm is the term of the home leader to which the region has reported all its teams.
	HomeTerm uint64 `codec:"home"`
	// After is the highest sequence number of the grants that the region has stored.
	After uint64 `codec:"after"`
	// Revision is the highest revision of the grants that the region has stored.
	Revision uint64 `codec:"revision"`
	// Full means that Reports covers all teams of the region.
	Full    bool         `codec:"full,omitempty"`
	Reports []TeamReport `codec:"statements,omitempty"`
}

// Reply is the home leader's answer to a Request.
type Reply struct {
	// Refused is the reason why the request was refused, such as that the controller does not
	// lead or that its lease has expired. It is empty if the request was accepted.
	Refused string `codec:"refused,omitempty"`
	// Term is the home leader's term.
	Term uint64 `codec:"term"`
	// Resync means that the region has to report all its teams to this home leader first.
	Resync bool          `codec:"state,omitempty"`
	Grants []RegionGrant `codec:"grants,omitempty"`
	// More means that the home leader has further grants for the region.
	More bool `codec:"more,omitempty"`
}
