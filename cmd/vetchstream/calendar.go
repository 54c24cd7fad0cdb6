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
	// defaultTimelineDays and maxTimelineDays are the default and the largest value of --days.
	defaultTimelineDays = 7
	maxTimelineDays     = 400
)

// clientLimits are the limits against which the client validates a file before it sends it.
// The service validates it again, against the limits that its operators have set.
var clientLimits = calendar.Limits{HorizonDays: maxTimelineDays, Occurrences: 1000}

// calendarClient implements the commands for reservations and maintenance windows.
type calendarClient struct {
	*client
	team string // restricts requests to this team's reservations; empty for an operator
}

// calendarCommands returns the commands for reservations and maintenance windows.
func calendarCommands(c *client) []*cobra.Command {
	cc := &calendarClient{client: c}
	cmds := []*cobra.Command{cc.reserveCommand(), cc.maintenanceCommand(), cc.calendarCommand()}
	for _, cmd := range cmds {
		cmd.PersistentFlags().StringVar(&cc.team, "team", "", "list and change only the reservations of this team")
	}
	return cmds
}

// commandGroup returns a command that has subcommands and no action of its own.
func commandGroup(use, short, subcommands string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Long:  short + ". See docs/calendar.md.",
		Args:  noArgs,
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("missing subcommand: one of " + subcommands + " is needed")}
		},
	}
}

// reserveCommand returns the reserve command and its subcommands.
func (cc *calendarClient) reserveCommand() *cobra.Command {
	create := &cobra.Command{
		Use:   "create FILE",
		Short: "Create the reservation described in a JSON file (- for standard input)",
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
		Short: "Show a reservation: its machines, its next occurrence and its past outcomes",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			return cc.reservation(cmd, http.MethodGet, cc.entryPath(reservationPath, args[0], ""), nil)
		},
	}
	cancel := &cobra.Command{
		Use:   "cancel NAME",
		Short: "Cancel a reservation; its running tasks continue as ordinary tasks",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			return cc.reservation(cmd, http.MethodPost, cc.entryPath(reservationPath, args[0], cancelSuffix), nil)
		},
	}
	reserve := commandGroup("reserve", "Reserve capacity for a period of time", "create, list, show and cancel")
	reserve.AddCommand(create, list, show, cancel)
	return reserve
}

// maintenanceCommand returns the maintenance command and its subcommands.
func (cc *calendarClient) maintenanceCommand() *cobra.Command {
	plan := &cobra.Command{
		Use:   "plan FILE",
		Short: "Plan the maintenance window described in a JSON file (- for standard input)",
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
		Short: "Show a maintenance window: its machines and the tasks that it may stop",
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
	maintenance := commandGroup("maintenance", "Plan maintenance of machines", "plan, list, show and cancel")
	maintenance.AddCommand(plan, list, show, cancel)
	return maintenance
}

// calendarCommand returns the command that shows or exports reservations and maintenance windows
// together.
func (cc *calendarClient) calendarCommand() *cobra.Command {
	var days int
	show := &cobra.Command{
		Use:   "show",
		Short: "Show the calendar as a timeline",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if days < 1 || days > maxTimelineDays {
				return usageError{errors.New("--days must be from 1 to 400")}
			}
			reservations, windows, err := cc.all(cmd)
			if err != nil {
				return err
			}
			doc := map[string]any{"reservations": reservations, "windows": windows}
			return cc.print(cmd, doc, func(w io.Writer) { showTimeline(w, reservations, windows, time.Now(), days) })
		},
	}
	show.Flags().IntVar(&days, "days", defaultTimelineDays, "number of days to show")
	export := &cobra.Command{
		Use:   "export",
		Short: "Write the calendar to standard output as iCalendar (RFC 5545)",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reservations, windows, err := cc.all(cmd)
			if err != nil {
				return err
			}
			return iCalendar(reservations, windows, time.Now()).SerializeTo(cmd.OutOrStdout())
		},
	}
	group := commandGroup("calendar", "Show or export the calendar", "show and export")
	group.AddCommand(show, export)
	return group
}

// teamQuery returns the query parameter that restricts a request to the team, preceded by
// separator, or an empty string for an operator.
func (cc *calendarClient) teamQuery(separator string) string {
	if cc.team == "" {
		return ""
	}
	return separator + "team=" + url.QueryEscape(cc.team)
}

// entryPath returns the path and query of a request about one reservation or maintenance window.
func (cc *calendarClient) entryPath(path, name, suffix string) string {
	return path + "/" + url.PathEscape(name) + suffix + cc.teamQuery("?")
}

// reservation sends a request and prints the reservation in the response.
func (cc *calendarClient) reservation(cmd *cobra.Command, method, path string, body []byte) error {
	var status calendar.Status
	if err := cc.call(cmd, method, path, body, &status); err != nil {
		return err
	}
	return cc.print(cmd, status, func(w io.Writer) { showReservation(w, &status) })
}

// window sends a request and prints the maintenance window in the response.
func (cc *calendarClient) window(cmd *cobra.Command, method, path string, body []byte) error {
	var status calendar.WindowStatus
	if err := cc.call(cmd, method, path, body, &status); err != nil {
		return err
	}
	return cc.print(cmd, status, func(w io.Writer) { showWindow(w, &status) })
}

// reservations requests all reservations, page by page.
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

// windows requests all maintenance windows, page by page.
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

// all requests all reservations and maintenance windows.
func (cc *calendarClient) all(cmd *cobra.Command) ([]calendar.Status, []calendar.WindowStatus, error) {
	reservations, err := cc.reservations(cmd)
	if err != nil {
		return nil, nil, err
	}
	windows, err := cc.windows(cmd)
	return reservations, windows, err
}
