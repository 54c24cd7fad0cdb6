package dynconfig

import (
	"testing"
	"time"
)

// follow lets all regions ask and store so many times, without faults.
func (g *game) follow(times int) {
	for range times {
		for j := range g.sites {
			s := &g.sites[j]
			q := s.replica.Request(s.uses(g))
			entries := s.replica.HandleReply(q, g.answer(q))
			s.put(entries)
			s.counts(entries)
		}
		if u := g.home.Step(10); !u.Empty() {
			g.keep(u)
		}
	}
}

// TestRounding: parts that add up to the limit but for their rounding come into force.
func TestRounding(t *testing.T) {
	g := newGame(none)
	part := func(v float64) RegionQuota { return RegionQuota{Limit: &Quota{CPUs: &v}} }
	limit := 0.3
	for i, parts := range [][2]float64{{0.1, 0.2}, {0.2, 0.1}, {0.3, 0}, {0.15, 0.15}} {
		u, refusal := g.home.Propose(&Change{Teams: []TeamChange{{Name: theTeam, Limit: &Quota{CPUs: &limit}, Regions: map[string]RegionQuota{"a": part(parts[0]), "b": part(parts[1])}}}})
		if refusal != nil {
			t.Fatal(refusal)
		}
		g.keep(u)
		g.follow(20)
		for _, r := range g.home.Status(time.Time{}).Regions {
			if r.Revision != uint64(i+1) {
				t.Errorf("parts %v: %+v", parts, r)
			}
		}
		if why := g.Broken(); why != "" {
			t.Error(why)
		}
	}
}

// TestLateJob: a job of a removed team that shows up after its last one was over gets back
// what the team had, until it is over.
func TestLateJob(t *testing.T) {
	g := newGame(none)
	follow := func(used float64) Amount {
		g.sites[0].used = used
		g.follow(10)
		share, _ := g.sites[0].replica.Share(theTeam, g.sites[0].uses(g))
		return share.Limit
	}
	follow(0)
	for _, c := range []*Change{wanted[0], {Remove: []string{theTeam}}} {
		u, refusal := g.home.Propose(c)
		if refusal != nil {
			t.Fatal(refusal)
		}
		g.keep(u)
		follow(0)
	}
	for _, tt := range []struct{ used, want float64 }{{0, 0}, {1, total}, {0, 0}} {
		if got := follow(tt.used); got.CPUs != tt.want {
			t.Errorf("with %v in use the limit is %v, want %v", tt.used, got.CPUs, tt.want)
		}
		if _, known := g.sites[0].replica.Share(theTeam, g.sites[0].uses(g)); known {
			t.Error("the region takes jobs of it again")
		}
	}
}

// TestRollback: what came after a revision is taken back by a change of its own.
func TestRollback(t *testing.T) {
	g := newGame(none)
	g.follow(2) // every region has said what it holds
	make := func(c *Change) {
		u, refusal := g.home.Propose(c)
		if refusal != nil {
			t.Fatal(refusal)
		}
		p := g.home.NewHistoryEntry(u, time.Time{})
		g.keep(u)
		g.home.AddHistory(p)
	}
	other := parts(1, 1)
	other.Teams[0].Name = "blue"
	for _, c := range []*Change{wanted[0], wanted[1], other, wanted[2], {Remove: []string{"blue"}}} {
		make(c)
	}
	tests := []struct {
		to         uint64
		red        float64 // region a's part
		blue       bool
		impossible bool
	}{{to: 4, red: 1, blue: true}, {to: 2, red: 0, blue: false}, {to: 1, red: 3, blue: false}, {to: 99, impossible: true}, {to: 8, impossible: true}}
	for _, tt := range tests {
		c, refusal := g.home.Rollback(tt.to)
		if (refusal != nil) != tt.impossible {
			t.Errorf("to %d: %v", tt.to, refusal)
		}
		if refusal != nil {
			continue
		}
		make(c)
		blue := g.home.teams["blue"]
		if got := g.home.teams[theTeam].Shares["a"].Limit.CPUs; got != tt.red || (blue != nil && !blue.Removed) != tt.blue {
			t.Errorf("to %d: region a has %v of red, blue is there: %v", tt.to, got, blue != nil && !blue.Removed)
		}
	}
	g.home.history = g.home.history[len(g.home.history)-1:]
	if _, refusal := g.home.Rollback(1); refusal == nil {
		t.Error("went back further than the history")
	}
}
