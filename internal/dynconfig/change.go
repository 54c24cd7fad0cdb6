package dynconfig

import (
	_ "embed"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"vetchstream/internal/schema"
)

// Change is what an operator wants to be changed. Each team that is named is replaced as
// a whole; the others stay as they are.
type Change struct {
	// Base is the revision that the change was made for; 0: whichever there is.
	Base  uint64       `codec:"base_revision,omitempty" json:"base_revision,omitempty"`
	Teams []TeamChange `codec:"teams,omitempty" json:"teams,omitempty"`
	// Remove names teams that are to take no jobs any more.
	Remove []string `codec:"remove,omitempty" json:"remove,omitempty"`
}

// TeamChange is a team as it is to be.
type TeamChange struct {
	Name string `codec:"name" json:"name"`
	// Limit is that of all regions together; a resource that is left out has none.
	Limit *Quota `codec:"limit,omitempty" json:"limit,omitempty"`
	// Regions are the parts of the regions. A region that is not named gets nothing, or
	// has no limit where the team has none.
	Regions map[string]RegionQuota `codec:"regions,omitempty" json:"regions,omitempty"`
}

// RegionQuota is a region's part of a team's limit, and what the team is guaranteed there.
type RegionQuota struct {
	Limit     *Quota `codec:"limit,omitempty" json:"limit,omitempty"`
	Guarantee *Quota `codec:"guarantee,omitempty" json:"guarantee,omitempty"`
}

// Quota is an amount in which a resource can be left out.
type Quota struct {
	CPUs *float64 `codec:"cpus,omitempty" json:"cpus,omitempty"`
	GPUs *float64 `codec:"gpus,omitempty" json:"gpus,omitempty"`
}

// amount is the quota with what is left out as none says.
func (q *Quota) amount(none float64) Amount {
	a := Amount{none, none}
	if q != nil && q.CPUs != nil {
		a.CPUs = *q.CPUs
	}
	if q != nil && q.GPUs != nil {
		a.GPUs = *q.GPUs
	}
	return a
}

// Refusal is why a change is not taken, with the status of the answer.
type Refusal struct {
	Status int
	Field  string
	Why    string
}

// Error implements error.
func (e *Refusal) Error() string { return e.Field + ": " + e.Why }

func refuse(status int, field, format string, a ...any) *Refusal {
	return &Refusal{status, field, fmt.Sprintf(format, a...)}
}

//go:embed change.json
var changeSchema []byte

var changes = schema.New("change", changeSchema)

// ParseChange reads an encoded change; an error names the field.
func ParseChange(body []byte) (*Change, error) {
	c := &Change{}
	if err := changes.Decode(body, c, "base_revision"); err != nil {
		return nil, fmt.Errorf("change: %w", err)
	}
	return c, nil
}

// Propose returns the update for a change. It counts once it is stored and applied; a
// transaction may hold a part of its records at a time, since the teams do not depend on
// each other.
func (h *Home) Propose(c *Change) (Update, *Refusal) {
	u := Update{Head: h.head}
	if c.Base != 0 && c.Base != h.head.Revision {
		return u, refuse(http.StatusConflict, "base_revision", "revision %d is in the meantime the last", h.head.Revision)
	}
	if len(c.Teams)+len(c.Remove) == 0 {
		return u, refuse(http.StatusBadRequest, "teams", "nothing is changed")
	}
	u.Head.Revision++
	named := map[string]bool{}
	for i := range c.Teams {
		field := fmt.Sprintf("teams[%d]", i)
		if named[c.Teams[i].Name] {
			return u, refuse(http.StatusBadRequest, field+".name", "%q is named twice", c.Teams[i].Name)
		}
		named[c.Teams[i].Name] = true
		r, err := h.changedRecord(&c.Teams[i], field)
		if err != nil {
			return u, err
		}
		u.Records = append(u.Records, r)
	}
	for i, name := range c.Remove {
		field := fmt.Sprintf("remove[%d]", i)
		if named[name] {
			return u, refuse(http.StatusBadRequest, field, "%q is named twice", name)
		}
		named[name] = true
		r, err := h.removedRecord(name, field)
		if err != nil {
			return u, err
		}
		u.Records = append(u.Records, r)
	}
	if added := h.countNew(u.Records); len(h.teams)+added > MaxTeams {
		return u, refuse(http.StatusUnprocessableEntity, "teams", "there would be more than %d teams", MaxTeams)
	}
	for i, r := range u.Records {
		r.Revision = u.Head.Revision
		if next := h.reconcile(r, &u.Head); next != nil {
			u.Records[i] = next
		}
	}
	return u, nil
}

// countNew counts the records of teams that are new.
func (h *Home) countNew(records []*TeamRecord) (n int) {
	for _, r := range records {
		if h.teams[r.Name] == nil {
			n++
		}
	}
	return n
}

// baseRecord is the record that a change goes on from.
func (h *Home) baseRecord(name string) *TeamRecord {
	if r := h.teams[name]; r != nil {
		return r.clone()
	}
	return &TeamRecord{Name: name, Grants: map[string]Grant{}}
}

// changedRecord checks a team and returns its record.
func (h *Home) changedRecord(c *TeamChange, field string) (*TeamRecord, *Refusal) {
	r := h.baseRecord(c.Name)
	r.Removed, r.Adopted = false, false
	r.Limit, r.Shares = c.Limit.amount(Unlimited), map[string]Share{}
	sum := Amount{}
	for _, region := range slices.Sorted(maps.Keys(c.Regions)) {
		at := field + ".regions." + region
		if !slices.Contains(h.regions, region) {
			return nil, refuse(http.StatusUnprocessableEntity, at, "is no region; there are %s", strings.Join(h.regions, ", "))
		}
		part := c.Regions[region]
		s := Share{Limit: part.Limit.amount(Unlimited), Guarantee: part.Guarantee.amount(0)}
		if !s.Guarantee.within(s.Limit) {
			return nil, refuse(http.StatusUnprocessableEntity, at+".guarantee", "is above the region's part of the limit")
		}
		sum = sum.plus(s.Limit)
		r.Shares[region] = s
	}
	if !sum.within(r.Limit) {
		return nil, refuse(http.StatusUnprocessableEntity, field+".regions", "the parts of the limit add up to %s, more than %s", sum, r.Limit)
	}
	return r, nil
}

// removedRecord checks the removal of a team and returns its record.
func (h *Home) removedRecord(name, field string) (*TeamRecord, *Refusal) {
	known := h.teams[name] != nil
	for _, region := range h.regions {
		f := h.followers[region]
		if !f.reported {
			return nil, refuse(http.StatusServiceUnavailable, field, "region %s has not said yet whether %q has jobs there", region, name)
		}
		s, says := f.reports[name]
		known = known || says
		if s.Busy {
			return nil, refuse(http.StatusUnprocessableEntity, field, "%q has jobs in region %s that are not over", name, region)
		}
	}
	if !known {
		return nil, refuse(http.StatusUnprocessableEntity, field, "%q is no team", name)
	}
	r := h.baseRecord(name)
	if h.teams[name] == nil {
		// What its jobs may use stays as it is until they are over.
		r = h.recordFromReports(name)
	}
	r.Removed = true
	return r, nil
}

// recordFromReports is a team of which there is no record, as the regions say that they have it, by
// their platforms' files or by grants; nil: none does.
func (h *Home) recordFromReports(name string) *TeamRecord {
	r := &TeamRecord{Name: name, Shares: map[string]Share{}, Grants: map[string]Grant{}}
	for _, region := range h.regions {
		if s, ok := h.followers[region].reports[name]; ok {
			r.Limit, r.Shares[region] = r.Limit.plus(s.Limit), Share{s.Limit, s.Guarantee}
		}
	}
	if len(r.Shares) == 0 {
		return nil
	}
	return r
}

// String is the amount for people.
func (a Amount) String() string { return fmt.Sprintf("%g CPUs and %g GPUs", a.CPUs, a.GPUs) }
