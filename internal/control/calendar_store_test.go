package control

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/calendar"
	"vetchstream/internal/config"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// leaderWithReservations returns a leader that has loaded n reservations of one team, which
// start one hour apart, and skipped records that cannot be decoded.
func leaderWithReservations(tb testing.TB, n int) *leaderTerm {
	tb.Helper()
	lt := newTestTerm(tb, config.Team{Name: "red"})
	lt.controller.Tuning.Calendar.Enabled = true
	lt.updatePriceList([]wire.MachineType{{Name: "small", CPUs: 4, MemGB: 16, BootS: 60, Zones: []string{"a", "b"}}})
	lt.takeover.allReconciled = true
	undecodable := wire.Raw{0xa0}
	// Such records must not prevent a controller from becoming the leader.
	bookings := []state.Entry{{Key: bookingPrefix + "broken", Value: undecodable, Version: 1}}
	windows := []state.Entry{{Key: windowPrefix + "broken", Value: undecodable, Version: 1}}
	for i := range n {
		bookings = append(bookings, storedReservation(tb, i, lt.termStart))
	}
	lt.calendarStore.load(bookings, windows)
	if len(lt.calendarStore.bookings) != n {
		tb.Fatalf("loaded %d reservations, want %d", len(lt.calendarStore.bookings), n)
	}
	return lt
}

// storedReservation returns the stored record of a reservation of half an hour that starts
// i+1 hours after now.
func storedReservation(tb testing.TB, i int, now time.Time) state.Entry {
	tb.Helper()
	start := now.UTC().Add(time.Duration(i+1) * time.Hour)
	encoded, err := wire.Marshal(map[string]any{
		"name":   fmt.Sprintf("r%d", i),
		"team":   "red",
		"parts":  2,
		"cpus":   4.0,
		"mem_gb": 4.0,
		"start":  start.Format(time.RFC3339),
		"end":    start.Add(30 * time.Minute).Format(time.RFC3339),
	})
	if err != nil {
		tb.Fatal(err)
	}
	spec, err := calendar.ParseReservation(encoded, calendar.Limits{HorizonDays: 10_000, Occurrences: 10}, now)
	if err != nil {
		tb.Fatal(err)
	}
	rec := calendar.NewRecord(&calendar.Booking{
		Reservation: spec,
		Seq:         uint64(i),
		Allocations: []calendar.Allocation{{Type: "small", Zone: "a", Machines: 2, Parts: 2}},
	}, now)
	put, err := state.Put(bookingPrefix+spec.Name, rec)
	if err != nil {
		tb.Fatal(err)
	}
	return state.Entry{Key: put.Put, Value: put.Value, Version: 1}
}

// TestClaimsOfOccurrences checks which jobs wait for the start of the occurrence that they
// claim, and which notice a job gets whose claim matches no occurrence.
func TestClaimsOfOccurrences(t *testing.T) {
	type submission struct {
		team, reservation string
		tasks             int
		cpus              float64
		at                time.Duration // of the submission, since the start of the term
	}
	tests := []struct {
		name   string
		jobs   []submission
		waits  string // indices of the jobs that wait for their occurrence, in ascending order
		notice string // part of the last job's notice; empty if it has none
	}{
		{"a single job with a claim waits", []submission{{"red", "r0", 2, 4, 0}}, "0", ""},
		{"of two jobs with the same claim, the one submitted first waits", []submission{{"red", "r0", 2, 4, time.Minute}, {"red", "r0", 2, 4, 0}}, "1", ""},
		{"two jobs with claims on different reservations wait", []submission{{"red", "r0", 2, 4, 0}, {"red", "r1", 1, 1, 0}}, "0 1", ""},
		{"a job of another team does not wait and gets a notice", []submission{{"blue", "r0", 2, 4, 0}}, "", "is another team's"},
		{"a job with more tasks than the reservation has parts does not wait and gets a notice", []submission{{"red", "r0", 3, 4, 0}}, "", "has 2 parts"},
		{"a job whose tasks are larger than the parts does not wait and gets a notice", []submission{{"red", "r0", 2, 5, 0}}, "", "has smaller parts"},
		{"a job that claims an unknown reservation does not wait and gets a notice", []submission{{"red", "r9", 2, 4, 0}}, "", "does not exist"},
		{"a job that was submitted after the end of the reservation does not wait and gets a notice", []submission{{"red", "r0", 2, 4, 2 * time.Hour}}, "", "is over"},
		{"a job without a claim does not wait and gets no notice", []submission{{"red", "", 2, 4, 0}}, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			lt := leaderWithReservations(t, 2)
			var jobs []*job.Job
			for i, submitted := range tt.jobs {
				jobs = append(jobs, lt.jobTable.add(&job.Record{SubmittedMS: lt.termStart.Add(submitted.at).UnixMilli(), Spec: job.Spec{ID: fmt.Sprintf("run-%d", i), Team: submitted.team,
					ShapeName: "ensemble", PriorityName: "idle", Tasks: submitted.tasks, CPUs: submitted.cpus, Reservation: submitted.reservation}}, 1, lt.termStart))
			}
			now := lt.termStart.Add(time.Second)
			lt.calendarStore.step(now)
			var waits []string
			for i, j := range jobs {
				if lt.calendarStore.waitsForStart(j, now) {
					waits = append(waits, fmt.Sprint(i))
				}
			}
			if got := strings.Join(waits, " "); got != tt.waits {
				t.Errorf("the jobs with indices %q wait for their occurrence, want %q", got, tt.waits)
			}
			if got := jobs[len(jobs)-1].Notice; !strings.Contains(got, tt.notice) || (tt.notice == "" && got != "") {
				t.Errorf("the last job has the notice %q, want one with %q", got, tt.notice)
			}
		})
	}
}

// TestRequiredSeconds checks that the claimer of an occurrence requires its machines at most
// until the end of the occurrence, and another job for its maximum run time.
func TestRequiredSeconds(t *testing.T) {
	lt := leaderWithReservations(t, 1)
	now := lt.termStart.Add(time.Hour) // start of the occurrence, which lasts half an hour
	add := func(id, booking string) *job.Job {
		return lt.jobTable.add(&job.Record{SubmittedMS: lt.termStart.UnixMilli(), Spec: job.Spec{ID: id, Team: "red", ShapeName: "ensemble", PriorityName: "idle",
			Tasks: 2, CPUs: 4, EstimateS: 2400, Reservation: booking}}, 1, lt.termStart)
	}
	claimer, other := add("run-1", "r0"), add("run-2", "")
	lt.calendarStore.step(now)
	if got := lt.reservationHolds.requiredSeconds(claimer, now); got > 1800 {
		t.Errorf("the claimer requires its machines for %.0f s, want at most the 1800 s of the occurrence", got)
	}
	if got := lt.reservationHolds.requiredSeconds(other, now); got < 4800 {
		t.Errorf("a job without a claim requires its machines for %.0f s, want at least 4800 s, twice its estimate", got)
	}
}

// BenchmarkCalendarStore measures one evaluation of the calendar, which the leader performs
// four times a second.
func BenchmarkCalendarStore(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lt := leaderWithReservations(b, n)
			now := lt.termStart.Add(time.Second)
			for b.Loop() {
				now = now.Add(calendarInterval)
				lt.calendarStore.step(now)
			}
		})
	}
}

// TestNextPage checks that a list is divided into pages in the order of the names, and that
// each page reports whether more names follow.
func TestNextPage(t *testing.T) {
	names := func(from, to int) (out []string) {
		for i := from; i < to; i++ {
			out = append(out, fmt.Sprintf("r%03d", i))
		}
		return out
	}
	tests := []struct {
		name  string
		after string
		want  []string
		more  bool
	}{
		{"the first page is full and more names follow", "", names(0, pageSize), true},
		{"the second page holds the remaining names", names(pageSize-1, pageSize)[0], names(pageSize, pageSize+3), false},
		{"a page after the last name is empty", "s", nil, false},
	}
	for _, tt := range tests {
		all := names(0, pageSize+3)
		slices.Reverse(all)
		if got, more := nextPage(all, tt.after); !slices.Equal(got, tt.want) || more != tt.more {
			t.Errorf("%s: page %v, more %t; want page %v, more %t", tt.name, got, more, tt.want, tt.more)
		}
	}
}
