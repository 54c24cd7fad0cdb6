package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	ics "github.com/arran4/golang-ical"
	"github.com/spf13/cobra"

	"vetchstream/internal/calendar"
)

const (
	reservationPath = "/api/reservations"
	maintenancePath = "/api/maintenance"
)

// calendarCommands are the commands for reservations and maintenance windows.
func calendarCommands(c *client) []*cobra.Command {
	var team string
	about := func(use, short, method, path, suffix string, do func(*cobra.Command, string, string, []byte) error) *cobra.Command {
		return &cobra.Command{Use: use + " NAME", Short: short, Args: one, RunE: func(cmd *cobra.Command, args []string) error {
			return do(cmd, method, path+"/"+url.PathEscape(args[0])+suffix+asTeam(team, "?"), nil)
		}}
	}
	booking := func(cmd *cobra.Command, method, path string, body []byte) error {
		var s calendar.Status
		if err := c.call(cmd, method, path, body, &s); err != nil {
			return err
		}
		return c.print(cmd, s, func(w io.Writer) { showReservation(w, &s) })
	}
	window := func(cmd *cobra.Command, method, path string, body []byte) error {
		var s calendar.WindowStatus
		if err := c.call(cmd, method, path, body, &s); err != nil {
			return err
		}
		return c.print(cmd, s, func(w io.Writer) { showWindow(w, &s) })
	}
	group := func(use, short, verbs string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Long: short + ". See docs/calendar.md.", Args: noArgs,
			RunE: func(*cobra.Command, []string) error { return usageError{errors.New("one of " + verbs + " is needed")} }}
	}
	reserve := group("reserve", "Reserve room at a time", "create, list, show and cancel")
	reserve.AddCommand(
		&cobra.Command{Use: "create FILE", Short: "Make a reservation described in a JSON file (- for standard input)", Args: one,
			RunE: func(cmd *cobra.Command, args []string) error {
				body, err := encodeFile(args[0])
				if err != nil {
					return err
				}
				if _, err := calendar.ParseReservation(body, clientLimits, time.Now()); err != nil {
					return usageError{err}
				}
				return booking(cmd, http.MethodPost, reservationPath+asTeam(team, "?"), body)
			}},
		&cobra.Command{Use: "list", Short: "List the reservations", Args: noArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := c.reservations(cmd, team)
			if err != nil {
				return err
			}
			return c.print(cmd, map[string]any{"reservations": all}, func(w io.Writer) {
				t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
				fmt.Fprintln(t, "NAME\tTEAM\tSTATE\tPARTS\tNEXT\tUNTIL\tLEFT\tHELD\tCLAIMER\tLAST")
				for _, s := range all {
					fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%s\t%s\n", s.Spec.Name, s.Spec.Team, s.State, s.Spec.Parts, s.Next, s.Until, s.Remaining, s.Held, s.Claimer, last(s.Outcomes))
				}
				_ = t.Flush()
			})
		}},
		about("show", "Show a reservation: its machines, its next occurrences, what became of the last", http.MethodGet, reservationPath, "", booking),
		about("cancel", "Cancel a reservation; what runs goes on as ordinary work", http.MethodPost, reservationPath, "/cancel", booking))
	maintenance := group("maintenance", "Plan the service of machines", "plan, list, show and cancel")
	maintenance.AddCommand(
		&cobra.Command{Use: "plan FILE", Short: "Plan a maintenance window described in a JSON file (- for standard input)", Args: one,
			RunE: func(cmd *cobra.Command, args []string) error {
				body, err := encodeFile(args[0])
				if err != nil {
					return err
				}
				if _, err := calendar.ParseWindow(body, clientLimits, time.Now()); err != nil {
					return usageError{err}
				}
				return window(cmd, http.MethodPost, maintenancePath+asTeam(team, "?"), body)
			}},
		&cobra.Command{Use: "list", Short: "List the maintenance windows", Args: noArgs, RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := c.windows(cmd, team)
			if err != nil {
				return err
			}
			return c.print(cmd, map[string]any{"windows": all}, func(w io.Writer) {
				t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
				fmt.Fprintln(t, "NAME\tSTATE\tSTART\tEND\tMACHINES\tBUSY\tMAY BE CUT")
				for _, s := range all {
					fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\n", s.Spec.Name, s.State, clock(s.From), clock(s.To), s.Machines, s.Busy, len(s.Late))
				}
				_ = t.Flush()
			})
		}},
		about("show", "Show a maintenance window: its machines, and what it may cut off", http.MethodGet, maintenancePath, "", window),
		about("cancel", "Cancel a maintenance window", http.MethodPost, maintenancePath, "/cancel", window))
	both := group("calendar", "Show or export the calendar", "show and export")
	var days int
	show := &cobra.Command{Use: "show", Short: "Show the calendar as a timeline", Args: noArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		if days < 1 || days > 400 {
			return usageError{errors.New("--days is not from 1 to 400")}
		}
		all, ws, err := c.calendar(cmd, team)
		if err != nil {
			return err
		}
		return c.print(cmd, map[string]any{"reservations": all, "windows": ws}, func(w io.Writer) { timeline(w, all, ws, time.Now(), days) })
	}}
	show.Flags().IntVar(&days, "days", 7, "how many days ahead")
	export := &cobra.Command{Use: "export", Short: "Write the calendar as iCalendar (RFC 5545)", Args: noArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		all, ws, err := c.calendar(cmd, team)
		if err != nil {
			return err
		}
		return iCalendar(all, ws, time.Now()).SerializeTo(cmd.OutOrStdout())
	}}
	both.AddCommand(show, export)
	cmds := []*cobra.Command{reserve, maintenance, both}
	for _, cmd := range cmds {
		cmd.PersistentFlags().StringVar(&team, "team", "", "see and change this team's reservations alone")
	}
	return cmds
}

// clientLimits are those of the client's own look at a file: the service's are its
// operators'.
var clientLimits = calendar.Limits{HorizonDays: 400, Occurrences: 1000}

// asTeam is the part of a query that restricts a request to a team.
func asTeam(team, sep string) string {
	if team == "" {
		return ""
	}
	return sep + "team=" + url.QueryEscape(team)
}

// reservations reads all pages.
func (c *client) reservations(cmd *cobra.Command, team string) ([]calendar.Status, error) {
	all := []calendar.Status{}
	for after := ""; ; after = all[len(all)-1].Spec.Name {
		var page struct {
			Reservations []calendar.Status `codec:"reservations"`
			More         bool              `codec:"more"`
		}
		if err := c.call(cmd, http.MethodGet, reservationPath+"?after="+after+asTeam(team, "&"), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Reservations...)
		if !page.More || len(page.Reservations) == 0 {
			return all, nil
		}
	}
}

// windows reads all pages.
func (c *client) windows(cmd *cobra.Command, team string) ([]calendar.WindowStatus, error) {
	all := []calendar.WindowStatus{}
	for after := ""; ; after = all[len(all)-1].Spec.Name {
		var page struct {
			Windows []calendar.WindowStatus `codec:"windows"`
			More    bool                    `codec:"more"`
		}
		if err := c.call(cmd, http.MethodGet, maintenancePath+"?after="+after+asTeam(team, "&"), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Windows...)
		if !page.More || len(page.Windows) == 0 {
			return all, nil
		}
	}
}

func (c *client) calendar(cmd *cobra.Command, team string) ([]calendar.Status, []calendar.WindowStatus, error) {
	all, err := c.reservations(cmd, team)
	if err != nil {
		return nil, nil, err
	}
	ws, err := c.windows(cmd, team)
	return all, ws, err
}

// clock is a time of day in milliseconds, for people.
func clock(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05Z") }

// last is the last outcome.
func last(past []calendar.Outcome) string {
	if len(past) == 0 {
		return "-"
	}
	o := past[len(past)-1]
	if o.LateS > 0 {
		return fmt.Sprintf("%s by %.0f s", o.Kind, o.LateS)
	}
	return string(o.Kind)
}

// showReservation is a reservation for people.
func showReservation(w io.Writer, s *calendar.Status) {
	fmt.Fprintf(w, "%s: %s, %d parts for team %s, %d occurrences left", s.Spec.Name, s.State, s.Spec.Parts, s.Spec.Team, s.Remaining)
	if s.Revoked > 0 {
		fmt.Fprintf(w, ", %d of them retired by maintenance", s.Revoked)
	}
	fmt.Fprintln(w)
	if s.Next != "" {
		fmt.Fprintf(w, "  next: %s to %s\n", s.Next, s.Until)
	}
	for _, x := range s.Allocations {
		fmt.Fprintf(w, "  machines: %d of %s in %s, for %d parts\n", x.Machines, x.Type, x.Zone, x.Parts)
	}
	if s.Held > 0 {
		fmt.Fprintf(w, "  held now: %d machines\n", s.Held)
	}
	if s.Claimer != "" {
		fmt.Fprintf(w, "  claimed by: %s\n", s.Claimer)
	}
	for _, o := range s.Outcomes {
		fmt.Fprintf(w, "  %s: %s %s\n", clock(o.Start), last([]calendar.Outcome{o}), o.Job)
	}
}

// showWindow is a maintenance window for people.
func showWindow(w io.Writer, s *calendar.WindowStatus) {
	fmt.Fprintf(w, "%s: %s, %s to %s, %d machines, %d of them busy\n", s.Spec.Name, s.State, clock(s.From), clock(s.To), s.Machines, s.Busy)
	for _, x := range []struct {
		what  string
		names []string
	}{{"reservations that moved", s.Moved}, {"reservations that lost their room", s.Retired}, {"tasks that may be cut off", s.Late}} {
		if len(x.names) > 0 {
			fmt.Fprintf(w, "  %s: %s\n", x.what, strings.Join(x.names, ", "))
		}
	}
}

// columns is how wide a timeline is.
const columns = 72

// timeline draws entries over the days ahead: # where there is an occurrence, x where
// a window took its room.
func timeline(w io.Writer, all []calendar.Status, ws []calendar.WindowStatus, now time.Time, days int) {
	from := now.UTC().Truncate(time.Hour)
	each := time.Duration(days) * 24 * time.Hour / columns
	fmt.Fprintf(w, "from %s, each column %s\n", from.Format(time.RFC3339), each.Round(time.Minute))
	width := len("maintenance")
	for _, s := range all {
		width = max(width, len(s.Spec.Name))
	}
	for _, s := range ws {
		width = max(width, len(s.Spec.Name))
	}
	row := func(name string, spans []calendar.Span, mark byte) {
		line := []byte(strings.Repeat(".", columns))
		for _, s := range spans {
			a := float64(time.UnixMilli(s.From).Sub(from)) / float64(each)
			b := float64(time.UnixMilli(s.To).Sub(from)) / float64(each)
			for i := max(0, int(math.Floor(a))); i < min(columns, int(math.Ceil(b))); i++ {
				line[i] = mark
			}
		}
		fmt.Fprintf(w, "%-*s  %s\n", width, name, line)
	}
	slices.SortFunc(all, func(a, b calendar.Status) int { return strings.Compare(a.Spec.Name, b.Spec.Name) })
	for _, s := range all {
		row(s.Spec.Name, s.Occurrences, '#')
	}
	if len(ws) > 0 {
		fmt.Fprintln(w, "maintenance")
	}
	for _, s := range ws {
		row(s.Spec.Name, []calendar.Span{{From: s.From, To: s.To}}, '=')
	}
}

// iCalendar is the calendar in the form that calendar programs read. Recurrences are
// written out, so that a program's own rules of daylight saving do not enter.
func iCalendar(all []calendar.Status, ws []calendar.WindowStatus, now time.Time) *ics.Calendar {
	cal := ics.NewCalendarFor("vetchstream")
	cal.SetMethod(ics.MethodPublish)
	event := func(id, summary, text string, s calendar.Span) {
		e := cal.AddEvent(id)
		e.SetDtStampTime(now)
		e.SetStartAt(time.UnixMilli(s.From))
		e.SetEndAt(time.UnixMilli(s.To))
		e.SetSummary(summary)
		e.SetDescription(text)
	}
	for _, s := range all {
		for _, x := range s.Occurrences {
			event(fmt.Sprintf("%s-%d@vetchstream", s.Spec.Name, x.From), s.Spec.Name+" ("+s.Spec.Team+")", fmt.Sprintf("%d parts of %g CPUs", s.Spec.Parts, s.Spec.CPUs), x)
		}
	}
	for _, s := range ws {
		event("window-"+s.Spec.Name+"@vetchstream", "maintenance: "+s.Spec.Name, fmt.Sprintf("%d machines", s.Machines), calendar.Span{From: s.From, To: s.To})
	}
	return cal
}
