package main

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"

	"vetchstream/internal/calendar"
)

const (
	reservationPath = "/api/reservations"
	maintenancePath = "/api/maintenance"
	cancelSuffix    = "/cancel"
	// defaultTimelineDays and maxTimelineDays bound the days of a timeline.
	defaultTimelineDays = 7
	maxTimelineDays     = 400
)

// clientLimits are those of the client's own check of a file. The service checks it against
// its operators' limits.
var clientLimits = calendar.Limits{HorizonDays: maxTimelineDays, Occurrences: 1000}

// calendarClient is the commands for reservations and maintenance windows.
type calendarClient struct {
	*client
	team string // see and change this team's reservations alone; empty: an operator
}

// calendarCommands are the commands for reservations and maintenance windows.
func calendarCommands(c *client) []*cobra.Command {
	cc := &calendarClient{client: c}
	cmds := []*cobra.Command{cc.reserveCommand(), cc.maintenanceCommand(), cc.calendarCommand()}
	for _, cmd := range cmds {
		cmd.PersistentFlags().StringVar(&cc.team, "team", "", "see and change this team's reservations alone")
	}
	return cmds
}

// commandGroup is a command that only has subcommands.
func commandGroup(use, short, subcommands string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Long:  short + ". See docs/calendar.md.",
		Args:  noArgs,
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("one of " + subcommands + " is needed")}
		},
	}
}

// reserveCommand is the command for reservations.
func (cc *calendarClient) reserveCommand() *cobra.Command {
	create := &cobra.Command{
		Use:   "create FILE",
		Short: "Make a reservation described in a JSON file (- for standard input)",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := encodeFile(args[0])
			if err != nil {
				return err
			}
			if _, err := calendar.ParseReservation(body, clientLimits, time.Now()); err != nil {
				return usageError{err}
			}
			return cc.reservation(cmd, http.MethodPost, reservationPath+cc.teamQuery("?"), body)
		},
	}
	list := &cobra.Command{
		Use:   "list",
		Short: "List the reservations",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := cc.reservations(cmd)
			if err != nil {
				return err
			}
			doc := map[string]any{"reservations": all}
			return cc.print(cmd, doc, func(w io.Writer) { listReservations(w, all) })
		},
	}
	show := &cobra.Command{
		Use:   "show NAME",
		Short: "Show a reservation: its machines, its next occurrences, what became of the last",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			return cc.reservation(cmd, http.MethodGet, cc.entryPath(reservationPath, args[0], ""), nil)
		},
	}
	cancel := &cobra.Command{
		Use:   "cancel NAME",
		Short: "Cancel a reservation; what runs goes on as ordinary work",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			return cc.reservation(cmd, http.MethodPost, cc.entryPath(reservationPath, args[0], cancelSuffix), nil)
		},
	}
	reserve := commandGroup("reserve", "Reserve room at a time", "create, list, show and cancel")
	reserve.AddCommand(create, list, show, cancel)
	return reserve
}

// maintenanceCommand is the command for maintenance windows.
func (cc *calendarClient) maintenanceCommand() *cobra.Command {
	plan := &cobra.Command{
		Use:   "plan FILE",
		Short: "Plan a maintenance window described in a JSON file (- for standard input)",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := encodeFile(args[0])
			if err != nil {
				return err
			}
			if _, err := calendar.ParseWindow(body, clientLimits, time.Now()); err != nil {
				return usageError{err}
			}
			return cc.window(cmd, http.MethodPost, maintenancePath+cc.teamQuery("?"), body)
		},
	}
	list := &cobra.Command{
		Use:   "list",
		Short: "List the maintenance windows",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := cc.windows(cmd)
			if err != nil {
				return err
			}
			doc := map[string]any{"windows": all}
			return cc.print(cmd, doc, func(w io.Writer) { listWindows(w, all) })
		},
	}
	show := &cobra.Command{
		Use:   "show NAME",
		Short: "Show a maintenance window: its machines, and what it may cut off",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			return cc.window(cmd, http.MethodGet, cc.entryPath(maintenancePath, args[0], ""), nil)
		},
	}
	cancel := &cobra.Command{
		Use:   "cancel NAME",
		Short: "Cancel a maintenance window",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			return cc.window(cmd, http.MethodPost, cc.entryPath(maintenancePath, args[0], cancelSuffix), nil)
		},
	}
	maintenance := commandGroup("maintenance", "Plan the service of machines", "plan, list, show and cancel")
	maintenance.AddCommand(plan, list, show, cancel)
	return maintenance
}

// calendarCommand is the command for the whole calendar.
func (cc *calendarClient) calendarCommand() *cobra.Command {
	var days int
	show := &cobra.Command{
		Use:   "show",
		Short: "Show the calendar as a timeline",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if days < 1 || days > maxTimelineDays {
				return usageError{errors.New("--days is not from 1 to 400")}
			}
			reservations, windows, err := cc.all(cmd)
			if err != nil {
				return err
			}
			doc := map[string]any{"reservations": reservations, "windows": windows}
			return cc.print(cmd, doc, func(w io.Writer) { showTimeline(w, reservations, windows, time.Now(), days) })
		},
	}
	show.Flags().IntVar(&days, "days", defaultTimelineDays, "how many days ahead")
	export := &cobra.Command{
		Use:   "export",
		Short: "Write the calendar as iCalendar (RFC 5545)",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reservations, windows, err := cc.all(cmd)
			if err != nil {
				return err
			}
			return iCalendar(reservations, windows, time.Now()).SerializeTo(cmd.OutOrStdout())
		},
	}
	both := commandGroup("calendar", "Show or export the calendar", "show and export")
	both.AddCommand(show, export)
	return both
}

// teamQuery is the part of a query that restricts a request to the team, after a separator.
func (cc *calendarClient) teamQuery(separator string) string {
	if cc.team == "" {
		return ""
	}
	return separator + "team=" + url.QueryEscape(cc.team)
}

// entryPath is the path of a request about one reservation or window.
func (cc *calendarClient) entryPath(path, name, suffix string) string {
	return path + "/" + url.PathEscape(name) + suffix + cc.teamQuery("?")
}

// reservation makes a request and shows the reservation in the reply.
func (cc *calendarClient) reservation(cmd *cobra.Command, method, path string, body []byte) error {
	var s calendar.Status
	if err := cc.call(cmd, method, path, body, &s); err != nil {
		return err
	}
	return cc.print(cmd, s, func(w io.Writer) { showReservation(w, &s) })
}

// window makes a request and shows the maintenance window in the reply.
func (cc *calendarClient) window(cmd *cobra.Command, method, path string, body []byte) error {
	var s calendar.WindowStatus
	if err := cc.call(cmd, method, path, body, &s); err != nil {
		return err
	}
	return cc.print(cmd, s, func(w io.Writer) { showWindow(w, &s) })
}

// reservations reads all pages of the reservations.
func (cc *calendarClient) reservations(cmd *cobra.Command) ([]calendar.Status, error) {
	all := []calendar.Status{}
	for after := ""; ; after = all[len(all)-1].Spec.Name {
		var page struct {
			Reservations []calendar.Status `codec:"reservations"`
			More         bool              `codec:"more"`
		}
		if err := cc.call(cmd, http.MethodGet, reservationPath+"?after="+after+cc.teamQuery("&"), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Reservations...)
		if !page.More || len(page.Reservations) == 0 {
			return all, nil
		}
	}
}

// windows reads all pages of the maintenance windows.
func (cc *calendarClient) windows(cmd *cobra.Command) ([]calendar.WindowStatus, error) {
	all := []calendar.WindowStatus{}
	for after := ""; ; after = all[len(all)-1].Spec.Name {
		var page struct {
			Windows []calendar.WindowStatus `codec:"windows"`
			More    bool                    `codec:"more"`
		}
		if err := cc.call(cmd, http.MethodGet, maintenancePath+"?after="+after+cc.teamQuery("&"), nil, &page); err != nil {
			return nil, err
		}
		all = append(all, page.Windows...)
		if !page.More || len(page.Windows) == 0 {
			return all, nil
		}
	}
}

// all reads all reservations and maintenance windows.
func (cc *calendarClient) all(cmd *cobra.Command) ([]calendar.Status, []calendar.WindowStatus, error) {
	reservations, err := cc.reservations(cmd)
	if err != nil {
		return nil, nil, err
	}
	windows, err := cc.windows(cmd)
	return reservations, windows, err
}
