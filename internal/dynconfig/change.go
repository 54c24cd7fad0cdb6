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

// Change is an operator's request to change the configuration. It replaces the whole
// configuration of each team that it names; the other teams stay as they are.
type Change struct {
	// Base is the revision on which the change is based. The change is refused if another one
	// is the last revision. 0 means that any revision will do.
	Base  uint64       `codec:"base_revision,omitempty" json:"base_revision,omitempty"`
	Teams []TeamChange `codec:"teams,omitempty" json:"teams,omitempty"`
	// Remove names the teams that are removed: no region accepts jobs of them any more.
	Remove []string `codec:"remove,omitempty" json:"remove,omitempty"`
}

// TeamChange is the new configuration of a team.
type TeamChange struct {
	Name string `codec:"name" json:"name"`
	// Limit holds for all regions together. A resource that is omitted is unlimited.
	Limit *Quota `codec:"limit,omitempty" json:"limit,omitempty"`
	// Regions are the parts of the limit, by region. A region that is not named gets nothing,
	// or is unlimited if the team is.
	Regions map[string]RegionQuota `codec:"regions,omitempty" json:"regions,omitempty"`
}

// RegionQuota is a region's part of a team's limit, and the team's guarantee there.
type RegionQuota struct {
	Limit     *Quota `codec:"limit,omitempty" json:"limit,omitempty"`
	Guarantee *Quota `codec:"guarantee,omitempty" json:"guarantee,omitempty"`
}

// Refusal is the error for a change that is not accepted.
type Refusal struct {
	// Status is the HTTP status of the reply.
	Status int
	// Field is the path of the field at fault, Why the reason of the refusal.
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

// ParseChange decodes a change and checks it against the schema. An error names the field.
func ParseChange(body []byte) (*Change, error) {
	c := &Change{}
	if err := changes.Decode(body, c, "base_revision"); err != nil {
		return nil, fmt.Errorf("change: %w", err)
	}
	return c, nil
}

// Propose returns the update for a change, or the refusal of the change. The update takes
// effect once it is stored and applied. Its records may be stored in several transactions,
// because the teams do not depend on each other.
func (h *Home) Propose(change *Change) (Update, *Refusal) {
	update := Update{Head: h.head}
	if change.Base != 0 && change.Base != h.head.Revision {
		return update, refuse(http.StatusConflict, "base_revision", "the last revision is %d, not the one on which the change is based", h.head.Revision)
	}
	if len(change.Teams)+len(change.Remove) == 0 {
		return update, refuse(http.StatusBadRequest, "teams", "the change names no team")
	}
	records, refusal := h.proposedRecords(change)
	if refusal != nil {
		return update, refusal
	}
	if added := h.countNewTeams(records); len(h.teams)+added > MaxTeams {
		return update, refuse(http.StatusUnprocessableEntity, "teams", "the change exceeds the limit of %d teams", MaxTeams)
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

// proposedRecords checks the teams of a change and returns their records, in the order of the
// change.
func (h *Home) proposedRecords(change *Change) ([]*TeamRecord, *Refusal) {
	var records []*TeamRecord
	named := map[string]bool{}
	for i := range change.Teams {
		team := &change.Teams[i]
		field := fmt.Sprintf("teams[%d]", i)
		if named[team.Name] {
			return nil, refuse(http.StatusBadRequest, field+".name", "team %q is named twice", team.Name)
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
			return nil, refuse(http.StatusBadRequest, field, "team %q is named twice", name)
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

// countNewTeams counts the records whose team has no record yet.
func (h *Home) countNewTeams(records []*TeamRecord) (n int) {
	for _, r := range records {
		if h.teams[r.Name] == nil {
			n++
		}
	}
	return n
}

// baseRecord returns a copy of the team's record, or an empty record if there is none.
func (h *Home) baseRecord(name string) *TeamRecord {
	if r := h.teams[name]; r != nil {
		return r.clone()
	}
	return &TeamRecord{Name: name, Grants: map[string]Grant{}}
}

// changedRecord checks a team's new configuration and returns its record. field is the path of
// the team in the change.
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
			return nil, refuse(http.StatusUnprocessableEntity, path, "unknown region; the regions are %s", strings.Join(h.regions, ", "))
		}
		quota := change.Regions[region]
		share := Share{
			Limit:     quota.Limit.amount(Unlimited),
			Guarantee: quota.Guarantee.amount(0),
		}
		if !share.Guarantee.within(share.Limit) {
			return nil, refuse(http.StatusUnprocessableEntity, path+".guarantee", "exceeds the region's part of the limit")
		}
		sum = sum.plus(share.Limit)
		record.Shares[region] = share
	}
	if !sum.within(record.Limit) {
		return nil, refuse(http.StatusUnprocessableEntity, field+".regions", "the parts of the limit add up to %s, more than the limit of %s", sum, record.Limit)
	}
	return record, nil
}

// removedRecord checks the removal of a team and returns its record. field is the path of the
// name in the change.
func (h *Home) removedRecord(name, field string) (*TeamRecord, *Refusal) {
	known := h.teams[name] != nil
	for _, region := range h.regions {
		f := h.followers[region]
		if !f.reported {
			return nil, refuse(http.StatusServiceUnavailable, field, "region %s has not reported yet whether team %q has jobs there", region, name)
		}
		report, ok := f.reports[name]
		known = known || ok
		if report.Busy {
			return nil, refuse(http.StatusUnprocessableEntity, field, "team %q has jobs in region %s that have not ended", name, region)
		}
	}
	if !known {
		return nil, refuse(http.StatusUnprocessableEntity, field, "there is no team %q", name)
	}
	record := h.baseRecord(name)
	if h.teams[name] == nil {
		// The shares stay as the regions report them until the team's last job has ended.
		record = h.recordFromReports(name)
	}
	record.Removed = true
	return record, nil
}
