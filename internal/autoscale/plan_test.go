package autoscale

import (
	"maps"
	"testing"
	"time"

	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// TestScaleOut: what is requested for unmet demand.
func TestScaleOut(t *testing.T) {
	now := time.Unix(1000, 0)
	types := []wire.MachineType{
		{Name: "small", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, BootS: 50, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 64, MemGB: 128, Price: 2.8, SpotPrice: 0.7, BootS: 20, Zones: []string{"a", "b"}},
	}
	want := func(cpus float64, n int, edit func(*UnmetDemand)) UnmetDemand {
		w := UnmetDemand{Demand: &place.Demand{ID: 1, Need: place.Resources{CPUs: cpus, MemGB: 1}, Zone: -1, TasksByZone: make([]int, 2), Spot: true, Total: n}, Count: n, TaskS: 60}
		if edit != nil {
			edit(&w)
		}
		return w
	}
	smallSpot, largeSpot, largeA := Offer{0, 0, true}, Offer{1, 0, true}, Offer{1, 0, false}
	tests := []struct {
		name  string
		wants []UnmetDemand
		edit  func(*Input)
		want  map[Offer]int
	}{
		{"little work, a small machine", []UnmetDemand{want(1, 4, nil)}, nil, map[Offer]int{smallSpot: 1}},
		{"much work, a large one", []UnmetDemand{want(1, 64, nil)}, nil, map[Offer]int{largeSpot: 1}},
		{"no spot machine where the job forbids it", []UnmetDemand{want(60, 1, func(w *UnmetDemand) { w.Demand.Spot = false })}, nil, map[Offer]int{largeA: 1}},
		{"a refused offer is passed over", []UnmetDemand{want(1, 4, nil)}, func(s *Input) { s.Backoff.RecordRefusal(smallSpot, now) }, map[Offer]int{{0, 1, true}: 1}},
		{"what comes is filled first", []UnmetDemand{want(1, 4, nil)}, func(s *Input) {
			s.Pending = []PendingMachine{{smallSpot, place.Resources{CPUs: 4, MemGB: 16}}}
		}, map[Offer]int{}},
		{"too little work waits", []UnmetDemand{want(1, 1, nil)}, nil, map[Offer]int{}},
		{"but not for ever", []UnmetDemand{want(1, 1, func(w *UnmetDemand) { w.WaitedS = 20 })}, nil, map[Offer]int{smallSpot: 1}},
		{"an urgent gang does not wait", []UnmetDemand{want(1, 1, func(w *UnmetDemand) { w.Urgent = true })}, nil, map[Offer]int{smallSpot: 1}},
		{"only the allowed zone", []UnmetDemand{want(1, 4, func(w *UnmetDemand) { w.Demand.Zone = 1 })}, nil, map[Offer]int{{0, 1, true}: 1}},
		{"a job in one zone stays there", []UnmetDemand{want(1, 4, func(w *UnmetDemand) { w.Demand.OneZone, w.Demand.TasksByZone = true, []int{0, 2} })}, nil, map[Offer]int{{0, 1, true}: 1}},
		{"equal offers are spread over zones", []UnmetDemand{want(1, 4, nil)}, func(s *Input) { s.MachinesByZone = []int{3, 1} }, map[Offer]int{{0, 1, true}: 1}},
		{"a gang in one zone gathers where most of its room is", []UnmetDemand{want(3, 3, func(w *UnmetDemand) { w.Urgent, w.Demand.OneZone, w.FitsByZone = true, true, []int{0, 2} })}, nil, map[Offer]int{{0, 1, true}: 1}},
		{"and counts what comes there alone", []UnmetDemand{want(3, 3, func(w *UnmetDemand) { w.Urgent, w.Demand.OneZone, w.FitsByZone = true, true, []int{0, 1} })}, func(s *Input) {
			s.Pending = []PendingMachine{{smallSpot, place.Resources{CPUs: 4, MemGB: 16}}, {Offer{0, 1, true}, place.Resources{CPUs: 4, MemGB: 16}}}
		}, map[Offer]int{{0, 1, true}: 1}},
		{"a gang that has room in one zone rents nothing", []UnmetDemand{want(3, 2, func(w *UnmetDemand) { w.Urgent, w.Demand.OneZone, w.FitsByZone = true, true, []int{0, 2} })}, nil, map[Offer]int{}},
		{"a zone that refuses is not gathered in", []UnmetDemand{want(3, 2, func(w *UnmetDemand) { w.Urgent, w.Demand.OneZone, w.FitsByZone = true, true, []int{0, 1} })}, func(s *Input) {
			for ty := range 2 {
				for _, spot := range []bool{true, false} {
					s.Backoff.RecordRefusal(Offer{ty, 1, spot}, now)
				}
			}
		}, map[Offer]int{smallSpot: 2}},
		{"what fits nowhere rents nothing", []UnmetDemand{want(99, 1, nil)}, nil, map[Offer]int{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := Input{Types: types, ZoneIndex: map[string]int{"a": 0, "b": 1}, Backoff: NewBackoff(), MinFill: 0.5, PatienceS: 15, Now: now}
			if tt.edit != nil {
				tt.edit(&s)
			}
			if got := ScaleOut(s, tt.wants); !maps.Equal(got, tt.want) {
				t.Errorf("rents %v, want %v", got, tt.want)
			}
		})
	}
}
