package dynconfig

import "slices"

// MaxTeams bounds the number of teams, including removed ones, because a region reports all of
// them in one message.
const MaxTeams = 1000

// Home holds the configuration at the leader of the home region, for one term.
type Home struct {
	term      uint64
	regions   []string
	head      Head
	teams     map[string]*TeamRecord
	followers map[string]*follower // by region
	dirty     map[string]bool      // names of teams that Step has to reconcile
	history   []*HistoryEntry      // retained changes, by revision
}

// NewHome returns the configuration at the start of a term, from the head and the records that
// earlier leaders have stored.
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

// Head returns the numbers of the last change and of the last grant.
func (h *Home) Head() Head { return h.head }

// Update holds the head and the records that the home region has to store before they take
// effect.
type Update struct {
	Head    Head
	Records []*TeamRecord
}

// Empty reports whether there is nothing to store.
func (u *Update) Empty() bool { return len(u.Records) == 0 }

// Apply makes a stored update take effect.
func (h *Home) Apply(u Update) {
	h.head = Head{
		Revision: max(h.head.Revision, u.Head.Revision),
		Seq:      max(h.head.Seq, u.Head.Seq),
	}
	for _, r := range u.Records {
		h.teams[r.Name] = r
		h.updatePending(r.Name)
		// If the update lowers the grant of one region, it may be possible to raise the grant of
		// another one without a further report.
		h.dirty[r.Name] = true
	}
}

// Requeue makes Step reconcile the teams of an update again that could not be stored.
func (h *Home) Requeue(u Update) {
	for _, r := range u.Records {
		h.dirty[r.Name] = true
	}
}

// recordFromReports returns the record of a team that has none in the store. It is built from the
// regions' reports, which follow the platform's file or stored grants. The result is nil if no
// region reports the team.
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
