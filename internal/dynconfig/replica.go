package dynconfig

import (
	"maps"
	"slices"
)

// Replica is the configuration at the leader of a region, for one term.
type Replica struct {
	region        string
	term          uint64
	requestNumber uint64 // of the last request
	// fileShares are the teams of the platform's file, which hold where nothing was granted.
	fileShares map[string]Share
	teams      map[string]RegionGrant
	lastSeq    uint64
	homeTerm   uint64 // the highest term of a home leader that has answered
	// reportedTerm is the home's term that everything was stated to, said what it was told.
	reportedTerm uint64
	acknowledged map[string]TeamReport
	// unconfirmed: the region's own store has lost its last moments, and may name a limit
	// that was lowered since.
	unconfirmed bool
}

// NewReplica goes on from what earlier leaders of the region have stored. Restored says
// that the store is known to have lost its last moments: then no team starts anything
// under a limit until the home region has spoken.
func NewReplica(region string, term uint64, file map[string]Share, entries []RegionGrant, restored bool) *Replica {
	r := &Replica{region: region, term: term, fileShares: file, teams: map[string]RegionGrant{}, acknowledged: map[string]TeamReport{}, unconfirmed: restored}
	for _, e := range entries {
		r.teams[e.Team] = e
		r.lastSeq = max(r.lastSeq, e.Seq)
	}
	return r
}

// UsageFunc tells what teams use in the region at this moment, everything that may be on a
// machine included, and whether they have jobs that are not over.
type UsageFunc func(team string) (used Amount, busy bool)

// Request is what to ask the home region next: what it has not answered is said again.
func (r *Replica) Request(uses UsageFunc) *Request {
	r.requestNumber++
	q := &Request{Region: r.region, Term: r.term, Number: r.requestNumber, HomeTerm: r.reportedTerm, After: r.lastSeq, Revision: r.Revision(), Full: r.reportedTerm != r.homeTerm || r.homeTerm == 0}
	names := maps.Clone(r.fileShares)
	for name := range r.teams {
		names[name] = Share{}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		s := r.teamReport(name, uses)
		if q.Full || s != r.acknowledged[name] {
			q.Reports = append(q.Reports, s)
		}
	}
	if q.Full {
		q.HomeTerm = r.homeTerm
	}
	return q
}

// teamReport is what the region says of a team now.
func (r *Replica) teamReport(name string, uses UsageFunc) TeamReport {
	used, busy := uses(name)
	share, s := r.fileShares[name], TeamReport{Team: name, Busy: busy}
	if e, ok := r.teams[name]; ok {
		s.Seq, share = e.Seq, Share{e.Limit, e.Guarantee}
	}
	s.Limit, s.Guarantee, s.Held = share.Limit, share.Guarantee, share.Limit.elementMax(used)
	return s
}

// Unconfirmed reports whether the region's limits have to be confirmed by the home region
// before anything starts under them. The next leader must know it as well.
func (r *Replica) Unconfirmed() bool { return r.unconfirmed }

// HandleReply takes in the reply to a request and returns the entries that have to be stored
// now, before they count. A reply of an earlier home leader says nothing.
func (r *Replica) HandleReply(q *Request, p *Reply) []RegionGrant {
	if p.Refused != "" || p.Term < r.homeTerm {
		return nil
	}
	r.homeTerm = p.Term
	if p.Resync {
		r.reportedTerm = 0
		return nil
	}
	if q.Full {
		r.reportedTerm = p.Term
	}
	for _, s := range q.Reports {
		r.acknowledged[s.Team] = s
	}
	var out []RegionGrant
	for _, e := range p.Grants {
		if e.Seq > r.lastSeq && e.Seq > r.teams[e.Team].Seq {
			out = append(out, e)
		}
	}
	if len(out) == 0 && !p.More {
		r.unconfirmed = false
	}
	return out
}

// ApplyStored lets entries count that are stored.
func (r *Replica) ApplyStored(entries []RegionGrant) {
	for _, e := range entries {
		if e.Seq > r.teams[e.Team].Seq {
			r.teams[e.Team] = e
		}
		r.lastSeq = max(r.lastSeq, e.Seq)
	}
}

// Share is what a team has in the region now; known: there is such a team. A team that
// was removed has nothing and takes no jobs.
func (r *Replica) Share(team string, uses UsageFunc) (s Share, known bool) {
	s, known = r.fileShares[team]
	if e, ok := r.teams[team]; ok {
		s, known = Share{e.Limit, e.Guarantee}, !e.Removed
	}
	if r.unconfirmed && s.Limit != NoLimit() {
		used, _ := uses(team)
		s.Limit = s.Limit.elementMin(used)
		s.Guarantee = s.Guarantee.elementMin(s.Limit)
	}
	return s, known
}

// Target is the limit that a team is to have in the region, which may be more than it has
// now; what is not confirmed, or could not be read (sequence 0), may become any.
func (r *Replica) Target(team string) Amount {
	e, ok := r.teams[team]
	switch {
	case r.unconfirmed, ok && e.Seq == 0:
		return NoLimit()
	case ok:
		return e.Target
	}
	return r.fileShares[team].Limit
}

// LastSeq is the highest sequence that counts here.
func (r *Replica) LastSeq() uint64 { return r.lastSeq }

// Revision is the highest revision of which anything counts here.
func (r *Replica) Revision() (revision uint64) {
	for _, e := range r.teams {
		revision = max(revision, e.Revision)
	}
	return revision
}
