package dynconfig

// Share is what one region is to have of a team.
type Share struct {
	Limit     Amount `codec:"limit"`
	Guarantee Amount `codec:"guarantee"`
}

// Head is the position of the configuration: the number of its last change, and of the
// last grant of all.
type Head struct {
	Revision uint64 `codec:"revision"`
	Seq      uint64 `codec:"seq"`
}

// TeamRecord is a team as the home region keeps it.
type TeamRecord struct {
	Name string `codec:"name"`
	// Limit is that of all regions together, Shares what each is to have of it; a region
	// that is not named is to have nothing of a team with a limit.
	Limit  Amount           `codec:"limit"`
	Shares map[string]Share `codec:"shares"`
	// Removed: no region takes jobs of the team any more.
	Removed bool `codec:"removed,omitempty"`
	// Adopted: the record was lost, and made anew from what the regions hold. Until the
	// team is changed again it is not known what they are to have.
	Adopted bool `codec:"adopted,omitempty"`
	// Revision is that of the team's last change.
	Revision uint64 `codec:"revision"`
	// Grants are what each region has been told.
	Grants map[string]Grant `codec:"grants"`
}

// Grant is what a region is told of a team. It never tells of more than is held for it.
type Grant struct {
	Seq       uint64 `codec:"seq"`
	Limit     Amount `codec:"limit"`
	Guarantee Amount `codec:"guarantee"`
	// Target is the limit that the region is to have once it is free.
	Target  Amount `codec:"wants"`
	Removed bool   `codec:"removed,omitempty"`
	// Held is the most that the region may use, by an earlier grant or by what has not
	// ended yet, until it says otherwise. The sum of all regions never rises above the
	// team's limit.
	Held Amount `codec:"held"`
}

// configuredShare is what a region is to have.
func (r *TeamRecord) configuredShare(region string) Share {
	s, ok := r.Shares[region]
	if !ok && r.Limit == NoLimit() {
		return Share{Limit: NoLimit()}
	}
	return s
}

// target is the limit that a region is to have, as far as it is known.
func (r *TeamRecord) target(share Share) Amount {
	if r.Adopted {
		return NoLimit()
	}
	return share.Limit
}

// heldByOthers adds up what is held for all regions but one.
func (r *TeamRecord) heldByOthers(but string) (sum Amount) {
	for region, g := range r.Grants {
		if region != but {
			sum = sum.plus(g.Held)
		}
	}
	return sum
}

// clone is a copy that can be changed.
func (r *TeamRecord) clone() *TeamRecord {
	c := *r
	c.Grants = make(map[string]Grant, len(r.Grants))
	for region, g := range r.Grants {
		c.Grants[region] = g
	}
	return &c
}

// RegionGrant is a team as a region keeps it: the last grant that it has stored.
type RegionGrant struct {
	Team      string `codec:"team"`
	Seq       uint64 `codec:"seq"`
	Revision  uint64 `codec:"revision"`
	Limit     Amount `codec:"limit"`
	Guarantee Amount `codec:"guarantee"`
	// Target is the limit that the region is to have once it is free.
	Target  Amount `codec:"wants"`
	Removed bool   `codec:"removed,omitempty"`
}

// TeamReport is what a region says of a team.
type TeamReport struct {
	Team string `codec:"team"`
	// Seq is that of the grant by which the region decides; 0: it decides by its
	// platform's file.
	Seq   uint64 `codec:"seq"`
	Limit Amount `codec:"limit"`
	// Guarantee is what the team is guaranteed there.
	Guarantee Amount `codec:"guarantee"`
	// Held is the larger of the limit and of what the team uses there.
	Held Amount `codec:"held"`
	// Busy: the team has jobs there that are not over.
	Busy bool `codec:"busy,omitempty"`
}

// Request is how a region's leader follows the home region.
type Request struct {
	Region string `codec:"region"`
	// Term is that of the region's leader, and Number rises with each of its requests: the
	// home region heeds none that is older than the last.
	Term   uint64 `codec:"term"`
	Number uint64 `codec:"number"`
	// HomeTerm is the home's term that the region has stated everything to.
	HomeTerm uint64 `codec:"home"`
	// After is the highest sequence of grants that the region has stored.
	After uint64 `codec:"after"`
	// Revision is the highest of which the region has stored anything.
	Revision uint64 `codec:"revision"`
	// Full: the statements are of all teams that the region knows.
	Full    bool         `codec:"full,omitempty"`
	Reports []TeamReport `codec:"statements,omitempty"`
}

// Reply is the home leader's answer.
type Reply struct {
	// Refused says why there is no answer: the member does not lead, or is not entitled.
	Refused string `codec:"refused,omitempty"`
	// Term is the home leader's.
	Term uint64 `codec:"term"`
	// Resync: the region has to state everything to this leader first.
	Resync bool          `codec:"state,omitempty"`
	Grants []RegionGrant `codec:"grants,omitempty"`
	// More: there are further grants.
	More bool `codec:"more,omitempty"`
}
