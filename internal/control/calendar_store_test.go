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

// leaderWithReservations is a leader with n reservations of one team, an hour apart, stored by
// an earlier one.
func leaderWithReservations(tb testing.TB, n int) *leaderTerm {
	tb.Helper()
	lt := newTestTerm(tb, config.Team{Name: "red"})
	lt.controller.Tuning.Calendar.Enabled = true
	lt.learn([]wire.MachineType{{Name: "small", CPUs: 4, MemGB: 16, BootS: 60, Zones: []string{"a", "b"}}})
	lt.takeover.allReconciled = true
	unreadable := wire.Raw{0xa0}
	// A record that cannot be read must not prevent the cluster from having a leader.
	bookings := []state.Entry{{Key: bookingPrefix + "broken", Value: unreadable, Version: 1}}
	windows := []state.Entry{{Key: windowPrefix + "broken", Value: unreadable, Version: 1}}
	for i := range n {
		bookings = append(bookings, storedReservation(tb, i, lt.termStart))
	}
	lt.calendarStore.load(bookings, windows)
	if len(lt.calendarStore.bookings) != n {
		tb.Fatalf("%d of %d reservations were loaded", len(lt.calendarStore.bookings), n)
	}
	return lt
}

// storedReservation is the stored reservation of half an hour that begins i+1 hours after a
// time.
func storedReservation(tb testing.TB, i int, now time.Time) state.Entry {
	tb.Helper()
	start := now.UTC().Add(time.Duration(i+1) * time.Hour)
	body, err := wire.Marshal(map[string]any{
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
	spec, err := calendar.ParseReservation(body, calendar.Limits{HorizonDays: 10_000, Occurrences: 10}, now)
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

// TestClaimsOfOccurrences: which job has an occurrence, which jobs wait for its start, and which notice the
// others get.
func TestClaimsOfOccurrences(t *testing.T) {
	type submission struct {
		team, reservation string
		tasks             int
		cpus              float64
		at                time.Duration // of the submission, from the begin of the term
	}
	tests := []struct {
		name   string
		jobs   []submission
		waits  string // the jobs that wait for a slot, by number
		notice string // of the last job
	}{
		{"one", []submission{{"red", "r0", 2, 4, 0}}, "0", ""},
		{"the first of two has it", []submission{{"red", "r0", 2, 4, time.Minute}, {"red", "r0", 2, 4, 0}}, "1", ""},
		{"two slots", []submission{{"red", "r0", 2, 4, 0}, {"red", "r1", 1, 1, 0}}, "0 1", ""},
		{"another team", []submission{{"blue", "r0", 2, 4, 0}}, "", "is another team's"},
		{"too many parts", []submission{{"red", "r0", 3, 4, 0}}, "", "has 2 parts"},
		{"too large", []submission{{"red", "r0", 2, 5, 0}}, "", "has smaller parts"},
		{"no such reservation", []submission{{"red", "r9", 2, 4, 0}}, "", "does not exist"},
		{"over", []submission{{"red", "r0", 2, 4, 2 * time.Hour}}, "", "is over"},
		{"none", []submission{{"red", "", 2, 4, 0}}, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := leaderWithReservations(t, 2)
			var jobs []*job.Job
			for i, a := range tt.jobs {
				jobs = append(jobs, r.jobTable.add(&job.Record{SubmittedMS: r.termStart.Add(a.at).UnixMilli(), Spec: job.Spec{ID: fmt.Sprintf("run-%d", i), Team: a.team,
					ShapeName: "ensemble", PriorityName: "idle", Tasks: a.tasks, CPUs: a.cpus, Reservation: a.reservation}}, 1, r.termStart))
			}
			now := r.termStart.Add(time.Second)
			r.calendarStore.step(now)
			var waits []string
			for i, j := range jobs {
				if r.calendarStore.waitsForStart(j, now) {
					waits = append(waits, fmt.Sprint(i))
				}
			}
			if got := strings.Join(waits, " "); got != tt.waits {
				t.Errorf("jobs %q wait, want %q", got, tt.waits)
			}
			if got := jobs[len(jobs)-1].Notice; !strings.Contains(got, tt.notice) || (tt.notice == "" && got != "") {
				t.Errorf("notice %q, want %q", got, tt.notice)
			}
		})
	}
}

// TestRequiredSeconds: the claimer of a slot needs its machines to the slot's end at most, others
// for as long as they may run.
func TestRequiredSeconds(t *testing.T) {
	r := leaderWithReservations(t, 1)
	now := r.termStart.Add(time.Hour) // the slot begins, and lasts half an hour
	add := func(id, booking string) *job.Job {
		return r.jobTable.add(&job.Record{SubmittedMS: r.termStart.UnixMilli(), Spec: job.Spec{ID: id, Team: "red", ShapeName: "ensemble", PriorityName: "idle",
			Tasks: 2, CPUs: 4, EstimateS: 2400, Reservation: booking}}, 1, r.termStart)
	}
	claimer, other := add("run-1", "r0"), add("run-2", "")
	r.calendarStore.step(now)
	if got := r.reservationHolds.requiredSeconds(claimer, now); got > 1800 {
		t.Errorf("the claimer needs its machines for %.0f s", got)
	}
	if got := r.reservationHolds.requiredSeconds(other, now); got < 4800 {
		t.Errorf("another needs its machines for %.0f s", got)
	}
}

// BenchmarkCalendarStore is one evaluation of the calendar, as it comes four times a second.
func BenchmarkCalendarStore(b *testing.B) {
	for _, n := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := leaderWithReservations(b, n)
			at := r.termStart.Add(time.Second)
			for b.Loop() {
				at = at.Add(calendarInterval)
				r.calendarStore.step(at)
			}
		})
	}
}

// TestNextPage: a list is read by pages in the order of names, and says when there are more.
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
		{"the first page", "", names(0, pageSize), true},
		{"the last page", names(pageSize-1, pageSize)[0], names(pageSize, pageSize+3), false},
		{"after the last name", "s", nil, false},
	}
	for _, tt := range tests {
		all := names(0, pageSize+3)
		slices.Reverse(all)
		if got, more := nextPage(all, tt.after); !slices.Equal(got, tt.want) || more != tt.more {
			t.Errorf("%s: %v, more %t; want %v, more %t", tt.name, got, more, tt.want, tt.more)
		}
	}
}
