package dynconfig

import (
	"maps"
	"slices"
)

// Replica holds the configuration at the leader of a region, for one term.
type Replica struct {
	region        string
	term          uint64
	requestNumber uint64 // of the last request
	// fileShares are the shares of the teams in the platform's file. They are in force for teams
	// without a stored grant.
	fileShares map[string]Share
	teams      map[string]RegionGrant // stored grants, by team
	lastSeq    uint64                 // highest sequence number of the stored grants
	homeTerm   uint64                 // highest term of a home leader that has answered
	// reportedTerm is the term of the home leader to which all teams were reported, acknowledged
	// the last reports that a home leader has answered, by team.
	reportedTerm uint64
	acknowledged map[string]TeamReport
	// unconfirmed means that the region's own store has lost its last writes. A stored limit may
	// have been lowered in the meantime.
	unconfirmed bool
}

// NewReplica returns the configuration at the start of a term, from the grants that earlier
// leaders of the region have stored. restored means that the store has lost its last writes: no
// team starts a task under a limit until the home region has confirmed the limit.
func NewReplica(region string, term uint64, fileShares map[string]Share, grants []RegionGrant, restored bool) *Replica {
	r := &Replica{
		region:       region,
		term:         term,
		fileShares:   fileShares,
		teams:        map[string]RegionGrant{},
		acknowledged: map[string]TeamReport{},
		unconfirmed:  restored,
	}
	for _, g := range grants {
		r.teams[g.Team] = g
		r.lastSeq = max(r.lastSeq, g.Seq)
	}
	return r
}

// UsageFunc returns what a team uses in the region now, including every task that may still be on
// a machine, and whether the team has jobs that have not ended.
type UsageFunc func(team string) (used Amount, busy bool)

// Request returns the next request to the home region. It repeats reports that have not been
// answered.
func (r *Replica) Request(usage UsageFunc) *Request {
	r.requestNumber++
	request := &Request{
		Region:   r.region,
		Term:     r.term,
		Number:   r.requestNumber,
		HomeTerm: r.reportedTerm,
		After:    r.lastSeq,
		Revision: r.Revision(),
		Full:     r.reportedTerm != r.homeTerm || r.homeTerm == 0,
	}
	names := maps.Clone(r.fileShares)
	for name := range r.teams {
		names[name] = Share{}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		report := r.teamReport(name, usage)
		if request.Full || report != r.acknowledged[name] {
			request.Reports = append(request.Reports, report)
		}
	}
	if request.Full {
		request.HomeTerm = r.homeTerm
	}
	return request
}

// teamReport returns the region's present report about a team.
func (r *Replica) teamReport(name string, usage UsageFunc) TeamReport {
	used, busy := usage(name)
	share := r.fileShares[name]
	seq := uint64(0)
	if g, ok := r.teams[name]; ok {
		share = Share{Limit: g.Limit, Guarantee: g.Guarantee}
		seq = g.Seq
	}
	return TeamReport{
		Team:      name,
		Seq:       seq,
		Limit:     share.Limit,
		Guarantee: share.Guarantee,
		Held:      share.Limit.elementMax(used),
		Busy:      busy,
	}
}

// Unconfirmed reports whether the home region has to confirm the region's limits before tasks may
// start under them. The caller has to store this for the next leader.
func (r *Replica) Unconfirmed() bool { return r.unconfirmed }

// HandleReply processes the reply to a request and returns the grants that have to be stored
// before they take effect. It ignores the reply of an earlier home leader.
func (r *Replica) HandleReply(request *Request, reply *Reply) []RegionGrant {
	if reply.Refused != "" || reply.Term < r.homeTerm {
		return nil
	}
	r.homeTerm = reply.Term
	if reply.Resync {
		r.reportedTerm = 0
		return nil
	}
	if request.Full {
		r.reportedTerm = reply.Term
	}
	for _, report := range request.Reports {
		r.acknowledged[report.Team] = report
	}
	var out []RegionGrant
	for _, g := range reply.Grants {
		if g.Seq > r.lastSeq && g.Seq > r.teams[g.Team].Seq {
			out = append(out, g)
		}
	}
	if len(out) == 0 && !reply.More {
		r.unconfirmed = false
	}
	return out
}

// ApplyStored makes stored grants take effect.
func (r *Replica) ApplyStored(grants []RegionGrant) {
	for _, g := range grants {
		if g.Seq > r.teams[g.Team].Seq {
			r.teams[g.Team] = g
		}
		r.lastSeq = max(r.lastSeq, g.Seq)
	}
}

// Share returns a team's present share in the region. exists reports whether the team exists and
// was not removed.
func (r *Replica) Share(team string, usage UsageFunc) (share Share, exists bool) {
	share, exists = r.fileShares[team]
	if g, ok := r.teams[team]; ok {
		share = Share{Limit: g.Limit, Guarantee: g.Guarantee}
		exists = !g.Removed
	}
	if r.unconfirmed && share.Limit != NoLimit() {
		used, _ := usage(team)
		share.Limit = share.Limit.elementMin(used)
		share.Guarantee = share.Guarantee.elementMin(share.Limit)
	}
	return share, exists
}

// Target returns the limit that a team will get in the region, which may be higher than the
// present one. It is unlimited for a grant that is not confirmed or could not be read (sequence
// number 0), because any limit may follow.
func (r *Replica) Target(team string) Amount {
	g, ok := r.teams[team]
	switch {
	case r.unconfirmed, ok && g.Seq == 0:
		return NoLimit()
	case ok:
		return g.Target
	}
	return r.fileShares[team].Limit
}

// LastSeq returns the highest sequence number of the grants in effect.
func (r *Replica) LastSeq() uint64 { return r.lastSeq }

// Revision returns the highest revision of the grants in effect.
func (r *Replica) Revision() (revision uint64) {
	for _, g := range r.teams {
		revision = max(revision, g.Revision)
	}
	return revision
}
