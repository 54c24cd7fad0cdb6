package dynconfig

// The home region stores these records. The codec tags are the names in the store: Go names may
// change, tags may not.

// Share is the part of a team's limit that is configured for one region, and the team's guarantee
// there.
type Share struct {
	Limit     Amount `codec:"limit"`
	Guarantee Amount `codec:"guarantee"`
}

// Head holds the numbers of the last change and of the last grant.
type Head struct {
	// Revision is the number of the last change.
	Revision uint64 `codec:"revision"`
	// Seq is the sequence number of the last grant, counted over all teams and regions.
	Seq uint64 `codec:"seq"`
}

// TeamRecord is a team as the home region stores it.
type TeamRecord struct {
	Name string `codec:"name"`
	// Limit holds for all regions together.
	Limit Amount `codec:"limit"`
	// Shares are the configured parts of the limit, by region. A region that is not named gets
	// nothing, or is unlimited if the team is.
	Shares map[string]Share `codec:"shares"`
	// Removed means that no region accepts jobs of the team any more.
	Removed bool `codec:"removed,omitempty"`
	// Adopted means that the record was lost and rebuilt from the regions' reports. The
	// configured shares are unknown until the team is changed again.
	Adopted bool `codec:"adopted,omitempty"`
	// Revision is the number of the team's last change.
	Revision uint64 `codec:"revision"`
	// Grants are the last grants of the regions, by region.
	Grants map[string]Grant `codec:"grants"`
}

// Grant is the part of a team's limit that a region may use now. It never exceeds the amount that
// is held for the region.
type Grant struct {
	Seq       uint64 `codec:"seq"`
	Limit     Amount `codec:"limit"`
	Guarantee Amount `codec:"guarantee"`
	// Target is the limit that the region gets once other regions have released enough.
	Target  Amount `codec:"wants"`
	Removed bool   `codec:"removed,omitempty"`
	// Held is the most that the region may still use, under an earlier grant or by tasks that
	// have not ended, until it reports otherwise. No raise brings the sum over all regions above
	// the team's limit.
	Held Amount `codec:"held"`
}

// configuredShare returns the share of a region according to the team's last change.
func (r *TeamRecord) configuredShare(region string) Share {
	s, ok := r.Shares[region]
	if !ok && r.Limit == NoLimit() {
		return Share{Limit: NoLimit()}
	}
	return s
}

// target returns the limit that a region with this share finally gets. It is unlimited for an
// adopted record, because the configured limit is unknown.
func (r *TeamRecord) target(share Share) Amount {
	if r.Adopted {
		return NoLimit()
	}
	return share.Limit
}

// heldByOthers returns the sum of the amounts that are held for all regions except one.
func (r *TeamRecord) heldByOthers(except string) (sum Amount) {
	for region, g := range r.Grants {
		if region != except {
			sum = sum.plus(g.Held)
		}
	}
	return sum
}

// clone returns a copy of the record with its own grants. The copy shares the map of shares.
func (r *TeamRecord) clone() *TeamRecord {
	c := *r
	c.Grants = make(map[string]Grant, len(r.Grants))
	for region, g := range r.Grants {
		c.Grants[region] = g
	}
	return &c
}
