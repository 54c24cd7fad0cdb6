package main

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	ics "github.com/arran4/golang-ical"

	"vetchstream/internal/calendar"
)

// listReservations prints reservations as a table.
func listReservations(w io.Writer, all []calendar.Status) {
	t := newTable(w)
	fmt.Fprintln(t, "NAME\tTEAM\tSTATE\tPARTS\tNEXT\tUNTIL\tLEFT\tHELD\tCLAIMER\tLAST")
	for _, s := range all {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%s\t%s\n",
			s.Spec.Name, s.Spec.Team, s.State, s.Spec.Parts, s.Next, s.Until, s.Remaining, s.Held, s.Claimer, lastOutcome(s.Outcomes))
	}
	_ = t.Flush()
}

// listWindows prints maintenance windows as a table.
func listWindows(w io.Writer, all []calendar.WindowStatus) {
	t := newTable(w)
	fmt.Fprintln(t, "NAME\tSTATE\tSTART\tEND\tMACHINES\tBUSY\tMAY BE CUT")
	for _, s := range all {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n",
			s.Spec.Name, s.State, formatMillis(s.From), formatMillis(s.To), s.Machines, s.Busy, len(s.Late))
	}
	_ = t.Flush()
}

// formatMillis formats a time of day in milliseconds.
func formatMillis(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05Z") }

// lastOutcome describes the last of the outcomes.
func lastOutcome(outcomes []calendar.Outcome) string {
	if len(outcomes) == 0 {
		return "-"
	}
	return describeOutcome(outcomes[len(outcomes)-1])
}

// describeOutcome describes an outcome.
func describeOutcome(o calendar.Outcome) string {
	if o.LateS > 0 {
		return fmt.Sprintf("%s by %.0f s", o.Kind, o.LateS)
	}
	return string(o.Kind)
}

// showReservation prints a reservation.
func showReservation(w io.Writer, s *calendar.Status) {
	fmt.Fprintf(w, "%s: %s, %d parts for team %s, %d occurrences left", s.Spec.Name, s.State, s.Spec.Parts, s.Spec.Team, s.Remaining)
	if s.Revoked > 0 {
		fmt.Fprintf(w, ", %d of them retired by maintenance", s.Revoked)
	}
	fmt.Fprintln(w)
	if s.Next != "" {
		fmt.Fprintf(w, "  next: %s to %s\n", s.Next, s.Until)
	}
	for _, a := range s.Allocations {
		fmt.Fprintf(w, "  machines: %d of %s in %s, for %d parts\n", a.Machines, a.Type, a.Zone, a.Parts)
	}
	if s.Held > 0 {
		fmt.Fprintf(w, "  held now: %d machines\n", s.Held)
	}
	if s.Claimer != "" {
		fmt.Fprintf(w, "  claimed by: %s\n", s.Claimer)
	}
	for _, o := range s.Outcomes {
		fmt.Fprintf(w, "  %s: %s %s\n", formatMillis(o.Start), describeOutcome(o), o.Job)
	}
}

// showWindow prints a maintenance window.
func showWindow(w io.Writer, s *calendar.WindowStatus) {
	fmt.Fprintf(w, "%s: %s, %s to %s, %d machines, %d of them busy\n",
		s.Spec.Name, s.State, formatMillis(s.From), formatMillis(s.To), s.Machines, s.Busy)
	printNames(w, "reservations that moved", s.Moved)
	printNames(w, "reservations that lost their room", s.Revoked)
	printNames(w, "tasks that may be cut off", s.Late)
}

// printNames prints a line of names, if there are any.
func printNames(w io.Writer, title string, names []string) {
	if len(names) > 0 {
		fmt.Fprintf(w, "  %s: %s\n", title, strings.Join(names, ", "))
	}
}

// Marks and width of a timeline.
const (
	timelineColumns = 72
	occurrenceMark  = '#'
	windowMark      = '='
)

// timelinePeriod is the period that a timeline shows.
type timelinePeriod struct {
	from   time.Time
	column time.Duration
}

// showTimeline draws reservations and windows over the days ahead, a line each.
func showTimeline(w io.Writer, reservations []calendar.Status, windows []calendar.WindowStatus, now time.Time, days int) {
	period := timelinePeriod{
		from:   now.UTC().Truncate(time.Hour),
		column: time.Duration(days) * 24 * time.Hour / timelineColumns,
	}
	fmt.Fprintf(w, "from %s, each column %s\n", period.from.Format(time.RFC3339), period.column.Round(time.Minute))
	width := len("maintenance")
	for _, s := range reservations {
		width = max(width, len(s.Spec.Name))
	}
	for _, s := range windows {
		width = max(width, len(s.Spec.Name))
	}
	slices.SortFunc(reservations, func(a, b calendar.Status) int { return strings.Compare(a.Spec.Name, b.Spec.Name) })
	for _, s := range reservations {
		fmt.Fprintf(w, "%-*s  %s\n", width, s.Spec.Name, period.line(s.Occurrences, occurrenceMark))
	}
	if len(windows) > 0 {
		fmt.Fprintln(w, "maintenance")
	}
	for _, s := range windows {
		spans := []calendar.Span{{From: s.From, To: s.To}}
		fmt.Fprintf(w, "%-*s  %s\n", width, s.Spec.Name, period.line(spans, windowMark))
	}
}

// line draws spans with a mark.
func (p timelinePeriod) line(spans []calendar.Span, mark byte) []byte {
	line := []byte(strings.Repeat(".", timelineColumns))
	for _, s := range spans {
		first := max(0, int(math.Floor(p.position(s.From))))
		end := min(timelineColumns, int(math.Ceil(p.position(s.To))))
		for i := first; i < end; i++ {
			line[i] = mark
		}
	}
	return line
}

// position is how many columns after the begin a time of day in milliseconds is.
func (p timelinePeriod) position(ms int64) float64 {
	return float64(time.UnixMilli(ms).Sub(p.from)) / float64(p.column)
}

// iCalendar is the calendar in the form that calendar programs read. Recurrences are written
// out, so that a program's own rules of daylight saving do not matter.
func iCalendar(reservations []calendar.Status, windows []calendar.WindowStatus, now time.Time) *ics.Calendar {
	cal := ics.NewCalendarFor("vetchstream")
	cal.SetMethod(ics.MethodPublish)
	addEvent := func(id, summary, description string, s calendar.Span) {
		e := cal.AddEvent(id)
		e.SetDtStampTime(now)
		e.SetStartAt(time.UnixMilli(s.From))
		e.SetEndAt(time.UnixMilli(s.To))
		e.SetSummary(summary)
		e.SetDescription(description)
	}
	for _, s := range reservations {
		summary := s.Spec.Name + " (" + s.Spec.Team + ")"
		description := fmt.Sprintf("%d parts of %g CPUs", s.Spec.Parts, s.Spec.CPUs)
		for _, span := range s.Occurrences {
			addEvent(fmt.Sprintf("%s-%d@vetchstream", s.Spec.Name, span.From), summary, description, span)
		}
	}
	for _, s := range windows {
		span := calendar.Span{From: s.From, To: s.To}
		addEvent("window-"+s.Spec.Name+"@vetchstream", "maintenance: "+s.Spec.Name, fmt.Sprintf("%d machines", s.Machines), span)
	}
	return cal
}
