package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"vetchstream/internal/rollout"
	"vetchstream/internal/rpc"
)

// rolloutPath is the path prefix of the service's roll-out routes.
const rolloutPath = "/api/rollouts"

// rolloutCommands returns the rollout command and its subcommands, which are for operators.
func rolloutCommands(c *client) *cobra.Command {
	root := &cobra.Command{
		Use:   "rollout",
		Short: "Move a service to its next version, batch by batch",
		Long: "A roll-out moves a service to its next version in batches, one zone at a time, while health gates pass, and rolls\n" +
			"the service back automatically when a gate fails. See docs/rollouts.md.",
		Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("missing subcommand: one of start, status, list, pause, resume and undo is needed")}
		},
	}
	root.AddCommand(
		c.rolloutStartCommand(),
		c.rolloutStatusCommand(),
		c.rolloutListCommand(),
		c.rolloutVerbCommand(rpc.VerbPause, "Pause a roll-out in its current batch"),
		c.rolloutVerbCommand(rpc.VerbResume, "Resume a paused roll-out"),
		c.rolloutVerbCommand(rpc.VerbRollback, "Roll a service back to its previous version"),
	)
	return root
}

// rolloutStartCommand returns the command that starts a roll-out.
func (c *client) rolloutStartCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "start FILE",
		Short: "Start the roll-out described in a JSON file (- for standard input)",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := encodeFile(args[0])
			if err != nil {
				return err
			}
			if _, err := rollout.Parse(body); err != nil {
				return usageError{err}
			}
			return c.rollout(cmd, http.MethodPost, rolloutPath, body)
		},
	}
}

// rolloutStatusCommand returns the command that shows a roll-out, once or at every change until it
// ends.
func (c *client) rolloutStatusCommand() *cobra.Command {
	var watch bool
	status := &cobra.Command{
		Use:   "status SERVICE",
		Short: "Show a roll-out: its batches, their health and the condition it waits for",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			if !watch {
				return c.rollout(cmd, http.MethodGet, rolloutPath+"/"+args[0], nil)
			}
			return c.watchRollout(cmd, args[0])
		},
	}
	status.Flags().BoolVar(&watch, "watch", false, "print every change until the roll-out ends; exit with 1 unless it ends as done")
	return status
}

// rolloutListCommand returns the command that lists the roll-outs.
func (c *client) rolloutListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the roll-outs",
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var list struct {
				Rollouts []rollout.Status `codec:"rollouts" json:"rollouts"`
			}
			if err := c.call(cmd, http.MethodGet, rolloutPath, nil, &list); err != nil {
				return err
			}
			return c.print(cmd, list, func(w io.Writer) { listRollouts(w, list.Rollouts) })
		},
	}
}

// rolloutVerbCommand returns the command that sends a verb, such as pause, to an active roll-out.
func (c *client) rolloutVerbCommand(verb rpc.Verb, short string) *cobra.Command {
	return &cobra.Command{
		Use:   string(verb) + " SERVICE",
		Short: short,
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.rollout(cmd, http.MethodPost, rolloutPath+"/"+args[0]+"/"+string(verb), nil)
		},
	}
}

// rollout sends a request and prints the roll-out in the response.
func (c *client) rollout(cmd *cobra.Command, method, path string, body []byte) error {
	var status rollout.Status
	if err := c.call(cmd, method, path, body, &status); err != nil {
		return err
	}
	return c.print(cmd, status, func(w io.Writer) { showRollout(w, &status) })
}

// watchInterval is the time between two status requests for a watched roll-out.
const watchInterval = time.Second

// errRolloutNotDone is returned if a watched roll-out ends in any state but done.
var errRolloutNotDone = errors.New("the roll-out ended without being done")

// watchRollout polls a roll-out and prints it at every change until it ends.
func (c *client) watchRollout(cmd *cobra.Command, service string) error {
	shown := ""
	for {
		var status rollout.Status
		if err := c.call(cmd, http.MethodGet, rolloutPath+"/"+service, nil, &status); err != nil {
			return err
		}
		if summary := summarize(status); summary != shown {
			shown = summary
			if err := c.print(cmd, status, func(w io.Writer) { showRollout(w, &status) }); err != nil {
				return err
			}
		}
		switch state := rollout.State(status.State); {
		case state == rollout.Done:
			return nil
		case state.Ended():
			return errRolloutNotDone
		}
		c.sleep(watchInterval)
	}
}

// summarize returns a string that changes with every field of the status except its durations,
// which grow with every request.
func summarize(s rollout.Status) string {
	s.SinceS = 0
	s.TookS = 0
	return fmt.Sprint(s)
}

// listRollouts prints a table with one line for each roll-out.
func listRollouts(w io.Writer, all []rollout.Status) {
	table := newTable(w)
	fmt.Fprintln(table, "SERVICE\tSTATE\tBATCH\tCURRENT\tNEXT\tREASON")
	for _, s := range all {
		fmt.Fprintf(table, "%s\t%s\t%d/%d\t%s\t%s\t%s\n", s.Service, s.State, s.Batch, len(s.Batches), s.Current, s.Next, s.Reason)
	}
	_ = table.Flush()
}

// showRollout prints the status of a roll-out and a table of its batches.
func showRollout(w io.Writer, status *rollout.Status) {
	fmt.Fprintf(w, "%s: %s, batch %d of %d, %.0f s", status.Service, status.State, status.Batch, len(status.Batches), status.TookS)
	fmt.Fprintf(w, " (runs %s, other version %s)\n", status.Current, status.Next)
	if status.Reason != "" {
		fmt.Fprintf(w, "  reason: %s\n", status.Reason)
	}
	if status.WaitingFor != "" {
		fmt.Fprintf(w, "  waiting for: %s\n", status.WaitingFor)
	}
	table := tabwriter.NewWriter(w, 2, 4, 2, ' ', 0)
	fmt.Fprintln(table, "  BATCH\tZONE\tREPLICAS\tRUNNING\tHEALTHY\tUNHEALTHY\tLOST\tFAILURES")
	for i, b := range status.Batches {
		zone := b.Zone
		if strings.TrimSpace(zone) == "" {
			zone = "any"
		}
		fmt.Fprintf(table, "  %d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", i+1, zone, b.Replicas, b.Running, b.Healthy, b.Unhealthy, b.Lost, b.Failures)
	}
	_ = table.Flush()
}
