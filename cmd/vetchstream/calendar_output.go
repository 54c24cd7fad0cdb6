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

// listReservations prints a table with one line for each reservation.
func listReservations(w io.Writer, all []calendar.Status) {
	table := newTable(w)
	fmt.Fprintln(table, "NAME\tTEAM\tSTATE\tPARTS\tNEXT\tUNTIL\tLEFT\tHELD\tCLAIMER\tLAST")
	for _, s := range all {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%s\t%s\n",
			s.Spec.Name, s.Spec.Team, s.State, s.Spec.Parts, s.Next, s.Until, s.Remaining, s.Held, s.Claimer, lastOutcome(s.Outcomes))
	}
	_ = table.Flush()
}

// listWindows prints a table with one line for each maintenance window.
func listWindows(w io.Writer, all []calendar.WindowStatus) {
	table := newTable(w)
	fmt.Fprintln(table, "NAME\tSTATE\tSTART\tEND\tMACHINES\tBUSY\tMAY BE CUT")
	for _, s := range all {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n",
			s.Spec.Name, s.State, formatMillis(s.From), formatMillis(s.To), s.Machines, s.Busy, len(s.Late))
	}
	_ = table.Flush()
}

// formatMillis formats a Unix time in milliseconds as RFC 3339 in UTC.
func formatMillis(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05Z") }

// lastOutcome describes the latest outcome, or returns "-" if there is none.
func lastOutcome(outcomes []calendar.Outcome) string {
	if len(outcomes) == 0 {
		return "-"
	}
	return describeOutcome(outcomes[len(outcomes)-1])
}

// describeOutcome returns the kind of an outcome and, if it was late, the delay.
func describeOutcome(o calendar.Outcome) string {
	if o.LateS > 0 {
		return fmt.Sprintf("%s by %.0f s", o.Kind, o.LateS)
	}
	return string(o.Kind)
}

// showReservation prints the details of a reservation.
func showReservation(w io.Writer, status *calendar.Status) {
	fmt.Fprintf(w, "%s: %s, %d parts for team %s, %d occurrences left", status.Spec.Name, status.State, status.Spec.Parts, status.Spec.Team, status.Remaining)
	if status.Revoked > 0 {
		fmt.Fprintf(w, ", %d of them revoked by maintenance", status.Revoked)
	}
	fmt.Fprintln(w)
	if status.Next != "" {
		fmt.Fprintf(w, "  next: %s to %s\n", status.Next, status.Until)
	}
	for _, a := range status.Allocations {
		fmt.Fprintf(w, "  machines: %d of %s in %s, for %d parts\n", a.Machines, a.Type, a.Zone, a.Parts)
	}
	if status.Held > 0 {
		fmt.Fprintf(w, "  held now: %d machines\n", status.Held)
	}
	if status.Claimer != "" {
		fmt.Fprintf(w, "  claimed by: %s\n", status.Claimer)
	}
	for _, o := range status.Outcomes {
		fmt.Fprintf(w, "  %s: %s %s\n", formatMillis(o.Start), describeOutcome(o), o.Job)
	}
}

// showWindow prints the details of a maintenance window.
func showWindow(w io.Writer, status *calendar.WindowStatus) {
	fmt.Fprintf(w, "%s: %s, %s to %s, %d machines, %d of them busy\n",
		status.Spec.Name, status.State, formatMillis(status.From), formatMillis(status.To), status.Machines, status.Busy)
	printNames(w, "moved reservations", status.Moved)
	printNames(w, "reservations that lost their capacity", status.Revoked)
	printNames(w, "tasks that may be stopped", status.Late)
}

// printNames prints a title and the names on one line. It prints nothing if there are no names.
func printNames(w io.Writer, title string, names []string) {
	if len(names) > 0 {
		fmt.Fprintf(w, "  %s: %s\n", title, strings.Join(names, ", "))
	}
}

// Width of a timeline and the characters that mark spans in it.
const (
	timelineColumns = 72
	occurrenceMark  = '#'
	windowMark      = '='
)

// timelinePeriod maps times to the columns of a timeline.
type timelinePeriod struct {
	from   time.Time     // start of the first column
	column time.Duration // length of one column
}

// showTimeline draws the next days as a timeline with one line for each reservation and each
// maintenance window.
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

// line returns one line of the timeline, in which mark fills the columns that the spans overlap.
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

// position returns the distance of a Unix time in milliseconds from the start, in columns.
func (p timelinePeriod) position(ms int64) float64 {
	return float64(time.UnixMilli(ms).Sub(p.from)) / float64(p.column)
}

// iCalendar returns the reservations and maintenance windows as an iCalendar document. Each
// occurrence is an event of its own instead of a recurrence rule, so that the result does not
// depend on the daylight-saving rules of the program that reads it.
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
