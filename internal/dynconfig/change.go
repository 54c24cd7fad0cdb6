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

// Change is what an operator asks to be changed. Each team that is named is replaced as
// a whole; the others stay as they are.
type Change struct {
	// Base is the revision that the change was made for: it is refused if another is the
	// last one. 0: any.
	Base  uint64       `codec:"base_revision,omitempty" json:"base_revision,omitempty"`
	Teams []TeamChange `codec:"teams,omitempty" json:"teams,omitempty"`
	// Remove names teams of which no more jobs are to be accepted.
	Remove []string `codec:"remove,omitempty" json:"remove,omitempty"`
}

// TeamChange is the new configuration of a team.
type TeamChange struct {
	Name string `codec:"name" json:"name"`
	// Limit holds over all regions together; a resource that is left out has none.
	Limit *Quota `codec:"limit,omitempty" json:"limit,omitempty"`
	// Regions are the regions' parts of the limit. A region that is not named gets nothing,
	// or has no limit where the team has none.
	Regions map[string]RegionQuota `codec:"regions,omitempty" json:"regions,omitempty"`
}

// RegionQuota is a region's part of a team's limit, and what the team is guaranteed there.
type RegionQuota struct {
	Limit     *Quota `codec:"limit,omitempty" json:"limit,omitempty"`
	Guarantee *Quota `codec:"guarantee,omitempty" json:"guarantee,omitempty"`
}

// Refusal is the error for a change that is not accepted.
type Refusal struct {
	// Status is the HTTP status of the answer.
	Status int
	// Field is the path of the field at fault, Why what is wrong with it.
	Field string
	Why   string
}

// Error implements error.
func (e *Refusal) Error() string { return e.Field + ": " + e.Why }

func refuse(status int, field, format string, a ...any) *Refusal {
	return &Refusal{
		Status: status,
		Field:  field,
		Why:    fmt.Sprintf(format, a...),
	}
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

// Propose returns the update for a change, or why it is refused. The update takes effect
// once it is stored and applied. Its records may be stored in several transactions, since
// the teams do not depend on each other.
func (h *Home) Propose(change *Change) (Update, *Refusal) {
	update := Update{Head: h.head}
	if change.Base != 0 && change.Base != h.head.Revision {
		return update, refuse(http.StatusConflict, "base_revision", "revision %d is in the meantime the last", h.head.Revision)
	}
	if len(change.Teams)+len(change.Remove) == 0 {
		return update, refuse(http.StatusBadRequest, "teams", "nothing is changed")
	}
	records, refusal := h.proposedRecords(change)
	if refusal != nil {
		return update, refusal
	}
	if added := h.countNewTeams(records); len(h.teams)+added > MaxTeams {
		return update, refuse(http.StatusUnprocessableEntity, "teams", "there would be more than %d teams", MaxTeams)
	}
	update.Head.Revision++
	for _, record := range records {
		record.Revision = update.Head.Revision
		if next := h.reconcile(record, &update.Head); next != nil {
			record = next
		}
		update.Records = append(update.Records, record)
	}
	return update, nil
}

// proposedRecords checks the teams of a change and returns their records, in its order.
func (h *Home) proposedRecords(change *Change) ([]*TeamRecord, *Refusal) {
	var records []*TeamRecord
	named := map[string]bool{}
	for i := range change.Teams {
		team := &change.Teams[i]
		field := fmt.Sprintf("teams[%d]", i)
		if named[team.Name] {
			return nil, refuse(http.StatusBadRequest, field+".name", "%q is named twice", team.Name)
		}
		named[team.Name] = true
		record, refusal := h.changedRecord(team, field)
		if refusal != nil {
			return nil, refusal
		}
		records = append(records, record)
	}
	for i, name := range change.Remove {
		field := fmt.Sprintf("remove[%d]", i)
		if named[name] {
			return nil, refuse(http.StatusBadRequest, field, "%q is named twice", name)
		}
		named[name] = true
		record, refusal := h.removedRecord(name, field)
		if refusal != nil {
			return nil, refusal
		}
		records = append(records, record)
	}
	return records, nil
}

// countNewTeams counts the records of teams that are new.
func (h *Home) countNewTeams(records []*TeamRecord) (n int) {
	for _, r := range records {
		if h.teams[r.Name] == nil {
			n++
		}
	}
	return n
}

// baseRecord is a copy of the team's record to change, or an empty one.
func (h *Home) baseRecord(name string) *TeamRecord {
	if r := h.teams[name]; r != nil {
		return r.clone()
	}
	return &TeamRecord{Name: name, Grants: map[string]Grant{}}
}

// changedRecord checks a team's new configuration and returns its record; field is the
// path of the team in the change.
func (h *Home) changedRecord(change *TeamChange, field string) (*TeamRecord, *Refusal) {
	record := h.baseRecord(change.Name)
	record.Removed = false
	record.Adopted = false
	record.Limit = change.Limit.amount(Unlimited)
	record.Shares = map[string]Share{}
	sum := Amount{}
	for _, region := range slices.Sorted(maps.Keys(change.Regions)) {
		path := field + ".regions." + region
		if !slices.Contains(h.regions, region) {
			return nil, refuse(http.StatusUnprocessableEntity, path, "is no region; there are %s", strings.Join(h.regions, ", "))
		}
		quota := change.Regions[region]
		share := Share{
			Limit:     quota.Limit.amount(Unlimited),
			Guarantee: quota.Guarantee.amount(0),
		}
		if !share.Guarantee.within(share.Limit) {
			return nil, refuse(http.StatusUnprocessableEntity, path+".guarantee", "is above the region's part of the limit")
		}
		sum = sum.plus(share.Limit)
		record.Shares[region] = share
	}
	if !sum.within(record.Limit) {
		return nil, refuse(http.StatusUnprocessableEntity, field+".regions", "the parts of the limit add up to %s, more than %s", sum, record.Limit)
	}
	return record, nil
}

// removedRecord checks the removal of a team and returns its record; field is the path of
// the name in the change.
func (h *Home) removedRecord(name, field string) (*TeamRecord, *Refusal) {
	known := h.teams[name] != nil
	for _, region := range h.regions {
		f := h.followers[region]
		if !f.reported {
			return nil, refuse(http.StatusServiceUnavailable, field, "region %s has not said yet whether %q has jobs there", region, name)
		}
		report, ok := f.reports[name]
		known = known || ok
		if report.Busy {
			return nil, refuse(http.StatusUnprocessableEntity, field, "%q has jobs in region %s that are not over", name, region)
		}
	}
	if !known {
		return nil, refuse(http.StatusUnprocessableEntity, field, "%q is no team", name)
	}
	record := h.baseRecord(name)
	if h.teams[name] == nil {
		// Its shares stay as they are until the last of its jobs is over.
		record = h.recordFromReports(name)
	}
	record.Removed = true
	return record, nil
}
