package dynconfig

import (
	"cmp"
	"slices"
	"time"
)

// maxGrantsPerReply bounds the grants in one reply.
const maxGrantsPerReply = 64

// follower is the state of a region at the leader of the home region.
type follower struct {
	// reported means that the region has reported all its teams to this leader.
	reported bool
	// reports are the region's last reports, by team.
	reports map[string]TeamReport
	// storedSeq is the highest sequence number of the grants that the region has stored,
	// newestSeq the highest one of the grants for the region.
	storedSeq uint64
	newestSeq uint64
	// term and number identify the region's last request, which arrived at lastRequest.
	term        uint64
	number      uint64
	lastRequest time.Time
	// pending are the teams whose shares are not in force in the region, with the first revision
	// that is not in force for the team.
	pending map[string]uint64
	// revision is the last revision that is completely in force in the region, since
	// revisionSince.
	revision      uint64
	revisionSince time.Time
}

// HandleRequest processes a region's request. It returns a reply if the request is refused or
// has to be repeated with reports of all teams. If the reply is nil, the caller answers with
// Reply, at once or as soon as HasGrants reports new grants.
func (h *Home) HandleRequest(request *Request, now time.Time) *Reply {
	f := h.followers[request.Region]
	if f == nil {
		return &Reply{Refused: "region " + request.Region + " is not known at the home region"}
	}
	if request.Term < f.term || (request.Term == f.term && request.Number <= f.number) {
		return &Reply{Refused: "a later request of the region was answered"}
	}
	f.term = request.Term
	f.number = request.Number
	f.lastRequest = now
	if !request.Full && (!f.reported || request.HomeTerm != h.term) {
		f.reported = false
		return &Reply{Term: h.term, Resync: true}
	}
	if request.Full {
		f.reported = true
		clear(f.reports)
		for name := range h.teams {
			h.dirty[name] = true
		}
	}
	f.storedSeq = request.After
	// If the home region's store has lost its last writes, new changes and grants still need
	// higher numbers than those that the region has stored.
	h.head.Seq = max(h.head.Seq, request.After)
	h.head.Revision = max(h.head.Revision, request.Revision)
	for _, report := range request.Reports {
		f.reports[report.Team] = report
		h.dirty[report.Team] = true
		h.updatePending(report.Team)
	}
	h.trackRevision(request.Region, now)
	return nil
}

// Reply returns the reply to a request that HandleRequest has accepted. It holds stored grants
// only.
func (h *Home) Reply(request *Request) *Reply {
	f := h.followers[request.Region]
	if f.term != request.Term || f.number != request.Number {
		return &Reply{Refused: "a later request of the region was heard"}
	}
	grants, more := h.grantsAfter(request.Region, request.After)
	return &Reply{Term: h.term, Grants: grants, More: more}
}

// grantsAfter returns a region's grants after a sequence number, in order, at most
// maxGrantsPerReply. more reports whether there are further ones.
func (h *Home) grantsAfter(region string, after uint64) (out []RegionGrant, more bool) {
	for _, r := range h.teams {
		g, ok := r.Grants[region]
		if !ok || g.Seq <= after {
			continue
		}
		out = append(out, RegionGrant{
			Team:      r.Name,
			Seq:       g.Seq,
			Revision:  r.Revision,
			Limit:     g.Limit,
			Guarantee: g.Guarantee,
			Target:    g.Target,
			Removed:   g.Removed,
		})
	}
	slices.SortFunc(out, func(a, b RegionGrant) int { return cmp.Compare(a.Seq, b.Seq) })
	if len(out) > maxGrantsPerReply {
		return out[:maxGrantsPerReply], true
	}
	return out, false
}

// HasGrants reports whether a region has grants after a sequence number.
func (h *Home) HasGrants(region string, after uint64) bool {
	f := h.followers[region]
	return f != nil && f.newestSeq > after
}
