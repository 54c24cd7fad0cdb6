package autoscale

import (
	"maps"
	"testing"
	"time"

	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// TestScaleOut checks how many machines of which offers ScaleOut requests for unmet demand.
func TestScaleOut(t *testing.T) {
	now := time.Unix(1000, 0)
	types := []wire.MachineType{
		{Name: "small", CPUs: 4, MemGB: 16, Price: 0.2, SpotPrice: 0.05, BootS: 50, Zones: []string{"a", "b"}},
		{Name: "large", CPUs: 64, MemGB: 128, Price: 2.8, SpotPrice: 0.7, BootS: 20, Zones: []string{"a", "b"}},
	}
	demand := func(cpus float64, n int, edit func(*UnmetDemand)) UnmetDemand {
		u := UnmetDemand{Demand: &place.Demand{ID: 1, Need: place.Resources{CPUs: cpus, MemGB: 1}, Zone: -1, TasksByZone: make([]int, 2), Spot: true, Total: n}, Count: n, TaskS: 60}
		if edit != nil {
			edit(&u)
		}
		return u
	}
	smallSpot, largeSpot, largeA := Offer{0, 0, true}, Offer{1, 0, true}, Offer{1, 0, false}
	tests := []struct {
		name  string
		unmet []UnmetDemand
		edit  func(*Input)
		want  map[Offer]int
	}{
		{"tasks that fill a small machine: the small type", []UnmetDemand{demand(1, 4, nil)}, nil, map[Offer]int{smallSpot: 1}},
		{"tasks that fill a large machine: the large type", []UnmetDemand{demand(1, 64, nil)}, nil, map[Offer]int{largeSpot: 1}},
		{"a job that forbids spot machines: an on-demand machine", []UnmetDemand{demand(60, 1, func(u *UnmetDemand) { u.Demand.Spot = false })}, nil, map[Offer]int{largeA: 1}},
		{"an offer that the cloud has refused: the same type in another zone", []UnmetDemand{demand(1, 4, nil)}, func(in *Input) { in.Backoff.RecordRefusal(smallSpot, now) }, map[Offer]int{{0, 1, true}: 1}},
		{"tasks that fit on a pending machine: no request", []UnmetDemand{demand(1, 4, nil)}, func(in *Input) {
			in.Pending = []PendingMachine{{smallSpot, place.Resources{CPUs: 4, MemGB: 16}}}
		}, map[Offer]int{}},
		{"a task that fills less than MinFill: no request yet", []UnmetDemand{demand(1, 1, nil)}, nil, map[Offer]int{}},
		{"a task that fills less than MinFill and has waited over PatienceS: a machine", []UnmetDemand{demand(1, 1, func(u *UnmetDemand) { u.WaitedS = 20 })}, nil, map[Offer]int{smallSpot: 1}},
		{"an urgent task that fills less than MinFill: a machine at once", []UnmetDemand{demand(1, 1, func(u *UnmetDemand) { u.Urgent = true })}, nil, map[Offer]int{smallSpot: 1}},
		{"a job that is confined to a zone: a machine of that zone", []UnmetDemand{demand(1, 4, func(u *UnmetDemand) { u.Demand.Zone = 1 })}, nil, map[Offer]int{{0, 1, true}: 1}},
		{"a one-zone job with running tasks: a machine of their zone", []UnmetDemand{demand(1, 4, func(u *UnmetDemand) { u.Demand.OneZone, u.Demand.TasksByZone = true, []int{0, 2} })}, nil, map[Offer]int{{0, 1, true}: 1}},
		{"offers of equal cost: a machine of the zone with fewer machines", []UnmetDemand{demand(1, 4, nil)}, func(in *Input) { in.MachinesByZone = []int{3, 1} }, map[Offer]int{{0, 1, true}: 1}},
		{"a one-zone gang: a machine of the zone with room for most of its tasks", []UnmetDemand{demand(3, 3, func(u *UnmetDemand) { u.Urgent, u.Demand.OneZone, u.FitsByZone = true, true, []int{0, 2} })}, nil, map[Offer]int{{0, 1, true}: 1}},
		{"a one-zone gang with pending machines in two zones: only those of the chosen zone count", []UnmetDemand{demand(3, 3, func(u *UnmetDemand) { u.Urgent, u.Demand.OneZone, u.FitsByZone = true, true, []int{0, 1} })}, func(in *Input) {
			in.Pending = []PendingMachine{{smallSpot, place.Resources{CPUs: 4, MemGB: 16}}, {Offer{0, 1, true}, place.Resources{CPUs: 4, MemGB: 16}}}
		}, map[Offer]int{{0, 1, true}: 1}},
		{"a one-zone gang with room for all tasks in one zone: no request", []UnmetDemand{demand(3, 2, func(u *UnmetDemand) { u.Urgent, u.Demand.OneZone, u.FitsByZone = true, true, []int{0, 2} })}, nil, map[Offer]int{}},
		{"a one-zone gang whose best zone has refused all offers: machines of another zone", []UnmetDemand{demand(3, 2, func(u *UnmetDemand) { u.Urgent, u.Demand.OneZone, u.FitsByZone = true, true, []int{0, 1} })}, func(in *Input) {
			for typeIndex := range 2 {
				for _, spot := range []bool{true, false} {
					in.Backoff.RecordRefusal(Offer{typeIndex, 1, spot}, now)
				}
			}
		}, map[Offer]int{smallSpot: 2}},
		{"a task that fits on no machine type: no request", []UnmetDemand{demand(99, 1, nil)}, nil, map[Offer]int{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			in := Input{Types: types, ZoneIndex: map[string]int{"a": 0, "b": 1}, Backoff: NewBackoff(), MinFill: 0.5, PatienceS: 15, Now: now}
			if tt.edit != nil {
				tt.edit(&in)
			}
			if got := ScaleOut(in, tt.unmet); !maps.Equal(got, tt.want) {
				t.Errorf("ScaleOut requests %v, want %v", got, tt.want)
			}
		})
	}
}
