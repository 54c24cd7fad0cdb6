package node

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// gangSlot is a slot with its gang.
type gangSlot struct {
	id    string // of the gang
	start time.Time
	tasks int
	late  time.Duration // -1: it never ran whole
}

// faultInterval is from the begin of a fault until it no longer excuses a late slot.
type faultInterval struct{ from, to time.Time }

// weekSimulation is a week that is being played.
type weekSimulation struct {
	*calendarSimulation
	plan      weekPlan
	random    *rand.Rand
	begin     time.Time
	slots     []*gangSlot
	windows   map[time.Time]string // begin of a maintenance -> zone
	submitted map[string]time.Time // ordinary job -> its submission
	faults    []faultInterval
}

// start starts the controllers and the fleet.
func (plan weekPlan) start(t *testing.T, seed uint64) (*weekSimulation, func()) {
	editCluster := func(c *emulate.Config) {
		c.MaxMachines = weekMachines
		c.Limits = nil
		c.Types = []wire.MachineType{
			{Name: "small", CPUs: 4, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 10, Zones: weekZones},
		}
	}
	configure := func(set *config.Settings, tun *config.Tuning) {
		set.Facts.Teams = []config.Team{{Name: "bulk"}, {Name: "t1"}, {Name: "t2"}, {Name: "t3"}, {Name: "t4"}}
		if plan.reservedCPUs > 0 {
			set.Facts.Teams[0].CPUsMax = weekCPUs - plan.reservedCPUs
		}
		tun.Calendar.Enabled = plan.calendar
		tun.Calendar.AssumedCapacity = map[string]int{"small": 6}
		tun.Calendar.Hold = plan.hold
		tun.Calendar.Backfill = plan.backfill
		tun.Calendar.Drain = plan.drain
		tun.Calendar.HoldS = 60
	}
	s, closeAll := newSimulation(t, 1, editCluster, configure)
	s.RecordHistory()
	for i := range weekMachines {
		s.Boot("small", weekZones[i%3], false, 0)
	}
	time.Sleep(5 * time.Second)
	return &weekSimulation{
		calendarSimulation: &calendarSimulation{simulation: s, t: t, client: s.userClient(5 * time.Second)},
		plan:               plan,
		random:             rand.New(rand.NewPCG(seed, 15)),
		begin:              time.Now().Add(weekStartDelay),
		windows:            map[time.Time]string{},
		submitted:          map[string]time.Time{},
	}, closeAll
}

// day is the begin of day d.
func (w *weekSimulation) day(d int) time.Time { return w.begin.Add(time.Duration(d) * dayTime) }

// timestamp is a time as requests give it.
func timestamp(at time.Time) string { return at.UTC().Format(time.RFC3339Nano) }

// submitAtTime lets a user submit a job at a time. Estimates of ordinary work are wrong by up
// to half.
func (w *weekSimulation) submitAtTime(at time.Time, spec job.Spec) {
	declared := spec
	if spec.Team == "bulk" {
		declared.EstimateS = spec.EstimateS * (0.5 + 1.5*w.random.Float64())
	}
	w.DescribeJob(&spec)
	w.Go(func() {
		time.Sleep(time.Until(at))
		if w.submit(w.client, &declared) {
			w.JobAccepted(spec.ID)
		}
	})
}

// scheduleSlots reserves the slots of day d, if there is a calendar, and lets their gangs be
// submitted.
func (w *weekSimulation) scheduleSlots(d int) {
	w.t.Helper()
	for i, daily := range dailySlots {
		if daily.day >= 0 && daily.day != d {
			continue
		}
		slot := &gangSlot{
			id:    fmt.Sprintf("run-%d", 100_000+100*d+i),
			start: w.day(d).Add(daily.at),
			tasks: daily.tasks,
			late:  -1,
		}
		w.slots = append(w.slots, slot)
		spec := job.Spec{
			ID:           slot.id,
			Team:         daily.team,
			ShapeName:    "ensemble",
			PriorityName: "standard",
			Tasks:        daily.tasks,
			CPUs:         4,
			MemGB:        1,
			EstimateS:    40,
			OneZone:      daily.oneZone,
		}
		at := slot.start
		if w.plan.calendar {
			spec.Reservation = fmt.Sprintf("slot-%d-%d", d, i)
			at = at.Add(-30 * time.Second)
			w.reserveSlot(slot, &spec)
		}
		w.submitAtTime(at, spec)
	}
}

// reserveSlot makes the reservation that a gang claims.
func (w *weekSimulation) reserveSlot(slot *gangSlot, gang *job.Spec) {
	w.t.Helper()
	got := w.createEntry("/api/reservations", map[string]any{
		"name":       gang.Reservation,
		"team":       gang.Team,
		"parts":      gang.Tasks,
		"cpus":       4.0,
		"mem_gb":     1.0,
		"same_place": gang.OneZone,
		"start":      timestamp(slot.start),
		"end":        timestamp(slot.start.Add(70 * time.Second)),
		"grace_s":    20.0,
	})
	if got != 201 {
		w.t.Errorf("a reservation got %d", got)
	}
}

// scheduleDailyMaintenance lets a zone's machines be taken away on day d, which the calendar knows
// if there is one.
func (w *weekSimulation) scheduleDailyMaintenance(d int) {
	w.t.Helper()
	start := w.day(d).Add(maintenanceOffset)
	zone := weekZones[d%3]
	w.windows[start] = zone
	if w.plan.calendar {
		got := w.createEntry("/api/maintenance", map[string]any{
			"name":    fmt.Sprintf("night-%d", d),
			"yard":    zone,
			"drain_s": maintenanceDrain.Seconds(),
			"start":   timestamp(start),
			"end":     timestamp(start.Add(maintenanceLength)),
		})
		if got != 201 {
			w.t.Errorf("a window got %d", got)
		}
	}
	w.Go(func() {
		time.Sleep(time.Until(start))
		w.Kill(w.WorkersInZone(zone))
	})
}

// submitBulkJobs lets ordinary work be submitted from now until the end of the week.
func (w *weekSimulation) submitBulkJobs() {
	for i := 0; ; i++ {
		at := time.Now().Add(time.Duration(i) * bulkInterval)
		if at.After(w.day(w.plan.days)) {
			return
		}
		spec := job.Spec{
			ID:           fmt.Sprintf("run-%d", 1000+i),
			Team:         "bulk",
			ShapeName:    "array",
			PriorityName: "standard",
			Tasks:        55 + w.random.IntN(30),
			CPUs:         2,
			MemGB:        1,
			EstimateS:    float64(6 + w.random.IntN(20)),
		}
		w.submitted[spec.ID] = at
		w.submitAtTime(at, spec)
	}
}

// injectDailyFaults injects a drawn fault each day.
func (w *weekSimulation) injectDailyFaults() {
	r, s := w.random, w.simulation
	for d := range w.plan.days {
		time.Sleep(time.Until(w.day(d).Add(time.Duration(30+r.IntN(340)) * time.Second)))
		from := time.Now()
		switch r.IntN(5) {
		case 0:
			crashControllers(1)(s)
		case 1:
			crashControllers(3)(s)
		case 2:
			storeOutage(time.Duration(4+r.IntN(8)) * time.Second)(s)
		case 3:
			partitionZone(weekZones[r.IntN(3)], 14*time.Second)(s)
		case 4:
			killMachines(r, 2)(s)
		}
		w.faults = append(w.faults, faultInterval{from, time.Now().Add(faultRecoveryTime)})
	}
}

// observe watches the slots and adds up the machine hours until the week is over.
func (w *weekSimulation) observe(out *weekResult) {
	const samplesPerS = 4
	for time.Now().Before(w.day(w.plan.days)) {
		time.Sleep(time.Second / samplesPerS)
		for _, slot := range w.slots {
			isObserved := time.Now().After(slot.start.Add(-40*time.Second)) && time.Since(slot.start) < dayTime
			if slot.late < 0 && isObserved && w.RunningTasks(slot.id) == slot.tasks {
				slot.late = max(0, time.Since(slot.start))
			}
		}
		_, up := w.MachineCounts()
		out.idleHours += float64(w.IdleMachines()) / samplesPerS / 3600
		out.upHours += float64(up) / samplesPerS / 3600
	}
}

// evaluateSlots counts the slots that started on time.
func (w *weekSimulation) evaluateSlots(out *weekResult) {
	tolerance := calendar.StartTolerance(2, 100)
	for _, slot := range w.slots {
		out.slots++
		onTime := slot.late >= 0 && slot.late <= tolerance
		if onTime {
			out.onTime++
		}
		disturbs := func(f faultInterval) bool {
			return f.from.Before(slot.start.Add(tolerance)) && f.to.After(slot.start.Add(-15*time.Second))
		}
		if slices.ContainsFunc(w.faults, disturbs) {
			continue
		}
		out.undisturbed++
		if onTime {
			out.undisturbedOnTime++
		} else {
			out.lateSlots = append(out.lateSlots, fmt.Sprintf("%s at %s: %s", slot.id, slot.start.Sub(w.begin), slot.late.Round(100*time.Millisecond)))
		}
	}
}
