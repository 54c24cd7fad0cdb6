package dynconfig

import (
	"testing"
	"time"
)

// followHome runs a number of rounds without faults. In each round all regions send a request and
// store the grants of the reply, and the home region reconciles.
func (w *world) followHome(rounds int) {
	for range rounds {
		for j := range w.regions {
			s := &w.regions[j]
			q := s.replica.Request(s.usage())
			entries := s.replica.HandleReply(q, w.homeReply(q))
			s.store(entries)
			s.applyStored(entries)
		}
		if u := w.home.Step(10); !u.Empty() {
			w.storeHome(u)
		}
	}
}

// TestRoundedPartsComeIntoForce: regions' parts whose sum differs from the limit by a rounding
// error come into force.
func TestRoundedPartsComeIntoForce(t *testing.T) {
	w := newWorld(noGuard)
	part := func(v float64) RegionQuota { return RegionQuota{Limit: &Quota{CPUs: &v}} }
	limit := 0.3
	for i, parts := range [][2]float64{{0.1, 0.2}, {0.2, 0.1}, {0.3, 0}, {0.15, 0.15}} {
		u, refusal := w.home.Propose(&Change{Teams: []TeamChange{{
			Name:    testTeam,
			Limit:   &Quota{CPUs: &limit},
			Regions: map[string]RegionQuota{"a": part(parts[0]), "b": part(parts[1])},
		}}})
		if refusal != nil {
			t.Fatal(refusal)
		}
		w.storeHome(u)
		w.followHome(20)
		for _, r := range w.home.Status(time.Time{}).Regions {
			if r.Revision != uint64(i+1) {
				t.Errorf("parts %v: status %+v, want the last revision in force", parts, r)
			}
		}
		if why := w.Violation(); why != "" {
			t.Error(why)
		}
	}
}

// TestLateJobOfRemovedTeam: if a region reports a job of a removed team after the team's last job
// has ended, the team gets its share back until that job has ended.
func TestLateJobOfRemovedTeam(t *testing.T) {
	w := newWorld(noGuard)
	follow := func(used float64) Amount {
		w.regions[0].used = used
		w.followHome(10)
		share, _ := w.regions[0].replica.Share(testTeam, w.regions[0].usage())
		return share.Limit
	}
	follow(0)
	for _, c := range []*Change{testChanges[0], {Remove: []string{testTeam}}} {
		u, refusal := w.home.Propose(c)
		if refusal != nil {
			t.Fatal(refusal)
		}
		w.storeHome(u)
		follow(0)
	}
	for _, tt := range []struct{ used, want float64 }{{0, 0}, {1, limitCPUs}, {0, 0}} {
		if got := follow(tt.used); got.CPUs != tt.want {
			t.Errorf("limit with %v CPUs in use is %v, want %v", tt.used, got.CPUs, tt.want)
		}
		if _, exists := w.regions[0].replica.Share(testTeam, w.regions[0].usage()); exists {
			t.Error("the removed team exists again in the region")
		}
	}
}

// TestRollback: the change that Rollback returns restores the configuration at a revision.
func TestRollback(t *testing.T) {
	w := newWorld(noGuard)
	w.followHome(2) // every region has reported its teams
	apply := func(c *Change) {
		u, refusal := w.home.Propose(c)
		if refusal != nil {
			t.Fatal(refusal)
		}
		entry := w.home.NewHistoryEntry(u, time.Time{})
		w.storeHome(u)
		w.home.AddHistory(entry)
	}
	other := splitLimit(1, 1)
	other.Teams[0].Name = "blue"
	for _, c := range []*Change{testChanges[0], testChanges[1], other, testChanges[2], {Remove: []string{"blue"}}} {
		apply(c)
	}
	tests := []struct {
		to          uint64
		red         float64 // CPUs of region a's part
		blue        bool
		wantRefusal bool
	}{
		{to: 4, red: 1, blue: true},
		{to: 2, red: 0, blue: false},
		{to: 1, red: 3, blue: false},
		{to: 99, wantRefusal: true},
		{to: 8, wantRefusal: true},
	}
	for _, tt := range tests {
		c, refusal := w.home.Rollback(tt.to)
		if (refusal != nil) != tt.wantRefusal {
			t.Errorf("rollback to revision %d: unexpected result, refusal %v", tt.to, refusal)
		}
		if refusal != nil {
			continue
		}
		apply(c)
		blue := w.home.teams["blue"]
		if got := w.home.teams[testTeam].Shares["a"].Limit.CPUs; got != tt.red || (blue != nil && !blue.Removed) != tt.blue {
			t.Errorf("rollback to revision %d: part of team red in region a is %v, team blue exists: %v", tt.to, got, blue != nil && !blue.Removed)
		}
	}
	w.home.history = w.home.history[len(w.home.history)-1:]
	if _, refusal := w.home.Rollback(1); refusal == nil {
		t.Error("a rollback to a revision before the history was not refused")
	}
}
