package dynconfig

// The records of the home region. Their codec tags are the names in the store: Go
// names may change, tags may not.

// Share is the part of a team's limit that one region is to have, and what the team is
// guaranteed there.
type Share struct {
	Limit     Amount `codec:"limit"`
	Guarantee Amount `codec:"guarantee"`
}

// Head is the position of the configuration.
type Head struct {
	// Revision numbers the changes; this is that of the last one.
	Revision uint64 `codec:"revision"`
	// Seq numbers the grants of all teams and regions; this is that of the last one.
	Seq uint64 `codec:"seq"`
}

// TeamRecord is a team as the home region stores it.
type TeamRecord struct {
	Name string `codec:"name"`
	// Limit holds over all regions together.
	Limit Amount `codec:"limit"`
	// Shares are the configured parts of the limit, by region. A region that is not
	// named gets nothing, or has no limit where the team has none.
	Shares map[string]Share `codec:"shares"`
	// Removed: no region accepts jobs of the team any more.
	Removed bool `codec:"removed,omitempty"`
	// Adopted: the record was lost and rebuilt from what the regions reported. Until the
	// team is changed again the configured shares are not known.
	Adopted bool `codec:"adopted,omitempty"`
	// Revision is that of the team's last change.
	Revision uint64 `codec:"revision"`
	// Grants are the last grants sent, by region.
	Grants map[string]Grant `codec:"grants"`
}

// Grant is the part of a team's limit that a region is allowed now. It never exceeds
// what is held for the region.
type Grant struct {
	Seq       uint64 `codec:"seq"`
	Limit     Amount `codec:"limit"`
	Guarantee Amount `codec:"guarantee"`
	// Target is the limit that the region will have once other regions have released it.
	Target  Amount `codec:"wants"`
	Removed bool   `codec:"removed,omitempty"`
	// Held is the most that the region may still use, by an earlier grant or by tasks that
	// have not ended, until it reports otherwise. The sum over all regions never rises
	// above the team's limit.
	Held Amount `codec:"held"`
}

// configuredShare is the share that the team's last change gives a region.
func (r *TeamRecord) configuredShare(region string) Share {
	s, ok := r.Shares[region]
	if !ok && r.Limit == NoLimit() {
		return Share{Limit: NoLimit()}
	}
	return s
}

// target is the limit that a region with this share is to reach; an adopted record may
// come to any.
func (r *TeamRecord) target(share Share) Amount {
	if r.Adopted {
		return NoLimit()
	}
	return share.Limit
}

// heldByOthers adds up what is held for all regions except one.
func (r *TeamRecord) heldByOthers(except string) (sum Amount) {
	for region, g := range r.Grants {
		if region != except {
			sum = sum.plus(g.Held)
		}
	}
	return sum
}

// clone copies the record and its grants. The shares are common to both.
func (r *TeamRecord) clone() *TeamRecord {
	c := *r
	c.Grants = make(map[string]Grant, len(r.Grants))
	for region, g := range r.Grants {
		c.Grants[region] = g
	}
	return &c
}
