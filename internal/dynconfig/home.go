package dynconfig

import "slices"

// MaxTeams bounds the teams, removed ones included: a region reports all of them in one
// message.
const MaxTeams = 1000

// Home is the configuration at the leader of the home region, for one term.
type Home struct {
	term      uint64
	regions   []string
	head      Head
	teams     map[string]*TeamRecord
	followers map[string]*follower // by region
	dirty     map[string]bool      // names of teams that the next Step looks at
	history   []*HistoryEntry      // retained changes, by revision
}

// NewHome starts a term with what earlier leaders have stored.
func NewHome(term uint64, regions []string, head Head, records []*TeamRecord) *Home {
	h := &Home{
		term:      term,
		regions:   slices.Clone(regions),
		head:      head,
		teams:     map[string]*TeamRecord{},
		followers: map[string]*follower{},
		dirty:     map[string]bool{},
	}
	for _, r := range records {
		h.teams[r.Name] = r
		h.dirty[r.Name] = true
	}
	for _, region := range regions {
		h.followers[region] = &follower{
			reports: map[string]TeamReport{},
			pending: map[string]uint64{},
		}
	}
	for name := range h.teams {
		h.updatePending(name)
	}
	return h
}

// Head is the stored position.
func (h *Home) Head() Head { return h.head }

// Update is what has to be stored at the home region before it takes effect.
type Update struct {
	Head    Head
	Records []*TeamRecord
}

// Empty reports whether there is nothing to store.
func (u *Update) Empty() bool { return len(u.Records) == 0 }

// Apply puts an update that is stored into effect.
func (h *Home) Apply(u Update) {
	h.head = Head{
		Revision: max(h.head.Revision, u.Head.Revision),
		Seq:      max(h.head.Seq, u.Head.Seq),
	}
	for _, r := range u.Records {
		h.teams[r.Name] = r
		h.updatePending(r.Name)
		// Lowering one region's grant may allow another's to be raised without a further
		// report.
		h.dirty[r.Name] = true
	}
}

// Requeue lets Step look again at the teams of an update that could not be stored.
func (h *Home) Requeue(u Update) {
	for _, r := range u.Records {
		h.dirty[r.Name] = true
	}
}

// recordFromReports builds the record of a team for which none is stored from what the
// regions report of it, by their platforms' files or by grants; nil: no region knows it.
func (h *Home) recordFromReports(name string) *TeamRecord {
	record := &TeamRecord{Name: name, Shares: map[string]Share{}, Grants: map[string]Grant{}}
	for _, region := range h.regions {
		report, ok := h.followers[region].reports[name]
		if !ok {
			continue
		}
		record.Limit = record.Limit.plus(report.Limit)
		record.Shares[region] = Share{Limit: report.Limit, Guarantee: report.Guarantee}
	}
	if len(record.Shares) == 0 {
		return nil
	}
	return record
}
