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

// gangSlot is a reserved slot with the gang that runs in it.
type gangSlot struct {
	id    string // id of the gang
	start time.Time
	tasks int
	late  time.Duration // delay until all tasks of the gang ran; -1: they have not
}

// faultInterval is the time from the start of a fault until it no longer excuses a late slot.
type faultInterval struct{ from, to time.Time }

// weekSimulation is the simulation of a week.
type weekSimulation struct {
	*calendarSimulation
	plan      weekPlan
	random    *rand.Rand
	begin     time.Time
	slots     []*gangSlot
	windows   map[time.Time]string // start of a maintenance window -> its zone
	submitted map[string]time.Time // bulk job -> time of its submission
	faults    []faultInterval
}

// start starts the controllers and the fleet of the week.
func (plan weekPlan) start(t *testing.T, seed uint64) (*weekSimulation, func()) {
	editCluster := func(cluster *emulate.Config) {
		cluster.MaxMachines = weekMachines
		cluster.Limits = nil
		cluster.Types = []wire.MachineType{
			{Name: "small", CPUs: 4, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 10, Zones: weekZones},
		}
	}
	configure := func(settings *config.Settings, tuning *config.Tuning) {
		settings.Facts.Teams = []config.Team{{Name: "bulk"}, {Name: "t1"}, {Name: "t2"}, {Name: "t3"}, {Name: "t4"}}
		if plan.reservedCPUs > 0 {
			settings.Facts.Teams[0].CPUsMax = weekCPUs - plan.reservedCPUs
		}
		tuning.Calendar.Enabled = plan.calendar
		tuning.Calendar.AssumedCapacity = map[string]int{"small": 6}
		tuning.Calendar.Hold = plan.hold
		tuning.Calendar.Backfill = plan.backfill
		tuning.Calendar.Drain = plan.drain
		tuning.Calendar.HoldS = 60
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

// day returns the start of the day with the index.
func (w *weekSimulation) day(index int) time.Time { return w.begin.Add(time.Duration(index) * dayTime) }

// timestamp returns a time in the format of requests.
func timestamp(at time.Time) string { return at.UTC().Format(time.RFC3339Nano) }

// submitAtTime lets a user submit a job at a time. The declared estimates of bulk jobs are 0.5
// to 2 times the actual run time.
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

// scheduleSlots reserves the slots of a day, if the calendar is enabled, and schedules the
// submission of their gangs.
func (w *weekSimulation) scheduleSlots(dayIndex int) {
	w.t.Helper()
	for i, daily := range dailySlots {
		if daily.day >= 0 && daily.day != dayIndex {
			continue
		}
		slot := &gangSlot{
			id:    fmt.Sprintf("run-%d", 100_000+100*dayIndex+i),
			start: w.day(dayIndex).Add(daily.at),
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
			spec.Reservation = fmt.Sprintf("slot-%d-%d", dayIndex, i)
			at = at.Add(-30 * time.Second)
			w.reserveSlot(slot, &spec)
		}
		w.submitAtTime(at, spec)
	}
}

// reserveSlot creates the reservation that a gang claims.
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
		w.t.Errorf("the request for a reservation got %d, want 201", got)
	}
}

// scheduleDailyMaintenance schedules the termination of a zone's machines on a day. If the
// calendar is enabled, it contains this as a maintenance window.
func (w *weekSimulation) scheduleDailyMaintenance(dayIndex int) {
	w.t.Helper()
	start := w.day(dayIndex).Add(maintenanceOffset)
	zone := weekZones[dayIndex%3]
	w.windows[start] = zone
	if w.plan.calendar {
		got := w.createEntry("/api/maintenance", map[string]any{
			"name":    fmt.Sprintf("night-%d", dayIndex),
			"yard":    zone,
			"drain_s": maintenanceDrain.Seconds(),
			"start":   timestamp(start),
			"end":     timestamp(start.Add(maintenanceLength)),
		})
		if got != 201 {
			w.t.Errorf("the request for a maintenance window got %d, want 201", got)
		}
	}
	w.Go(func() {
		time.Sleep(time.Until(start))
		w.Kill(w.WorkersInZone(zone))
	})
}

// submitBulkJobs schedules the submission of bulk jobs from now until the end of the week.
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

// injectDailyFaults injects a random fault on each day.
func (w *weekSimulation) injectDailyFaults() {
	random, s := w.random, w.simulation
	for dayIndex := range w.plan.days {
		time.Sleep(time.Until(w.day(dayIndex).Add(time.Duration(30+random.IntN(340)) * time.Second)))
		from := time.Now()
		switch random.IntN(5) {
		case 0:
			crashControllers(1)(s)
		case 1:
			crashControllers(3)(s)
		case 2:
			storeOutage(time.Duration(4+random.IntN(8)) * time.Second)(s)
		case 3:
			partitionZone(weekZones[random.IntN(3)], 14*time.Second)(s)
		case 4:
			killMachines(random, 2)(s)
		}
		w.faults = append(w.faults, faultInterval{from, time.Now().Add(faultRecoveryTime)})
	}
}

// observe samples the slots and sums up the machine hours until the week ends.
func (w *weekSimulation) observe(result *weekResult) {
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
		result.idleHours += float64(w.IdleMachines()) / samplesPerS / 3600
		result.upHours += float64(up) / samplesPerS / 3600
	}
}

// evaluateSlots counts the slots that started on time, and those that no fault disturbed.
func (w *weekSimulation) evaluateSlots(result *weekResult) {
	tolerance := calendar.StartTolerance(2, 100)
	for _, slot := range w.slots {
		result.slots++
		onTime := slot.late >= 0 && slot.late <= tolerance
		if onTime {
			result.onTime++
		}
		disturbs := func(interval faultInterval) bool {
			return interval.from.Before(slot.start.Add(tolerance)) && interval.to.After(slot.start.Add(-15*time.Second))
		}
		if slices.ContainsFunc(w.faults, disturbs) {
			continue
		}
		result.undisturbed++
		if onTime {
			result.undisturbedOnTime++
		} else {
			result.lateSlots = append(result.lateSlots, fmt.Sprintf("%s at %s: %s", slot.id, slot.start.Sub(w.begin), slot.late.Round(100*time.Millisecond)))
		}
	}
}
