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

// rolloutPath is the path of the requests about roll-outs.
const rolloutPath = "/api/rollouts"

// rolloutCommands are the operators' commands for roll-outs.
func rolloutCommands(c *client) *cobra.Command {
	root := &cobra.Command{
		Use:   "rollout",
		Short: "Roll a service out to its next version, batch by batch",
		Long: "A roll-out moves a service to its next version in batches, one zone at a time, while health gates pass, and takes\n" +
			"it back by itself when they fail. See docs/rollouts.md.",
		Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("one of start, status, list, pause, resume and undo is needed")}
		},
	}
	root.AddCommand(
		c.rolloutStartCommand(),
		c.rolloutStatusCommand(),
		c.rolloutListCommand(),
		c.rolloutVerbCommand(rpc.VerbPause, "Stop a roll-out where it is"),
		c.rolloutVerbCommand(rpc.VerbResume, "Go on with a paused roll-out"),
		c.rolloutVerbCommand(rpc.VerbRollback, "Roll back"),
	)
	return root
}

// rolloutStartCommand starts a roll-out.
func (c *client) rolloutStartCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "start FILE",
		Short: "Start a roll-out described in a JSON file (- for standard input)",
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

// rolloutStatusCommand shows a roll-out, once or until it is over.
func (c *client) rolloutStatusCommand() *cobra.Command {
	var watch bool
	status := &cobra.Command{
		Use:   "status SERVICE",
		Short: "Show a roll-out: its batches, their health, what it waits for",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			if !watch {
				return c.rollout(cmd, http.MethodGet, rolloutPath+"/"+args[0], nil)
			}
			return c.watchRollout(cmd, args[0])
		},
	}
	status.Flags().BoolVar(&watch, "watch", false, "show every change until the roll-out is over; exits with 1 if it is not done then")
	return status
}

// rolloutListCommand lists the roll-outs.
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

// rolloutVerbCommand makes a request about a roll-out that is under way.
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

// rollout makes a request and shows the roll-out in the reply.
func (c *client) rollout(cmd *cobra.Command, method, path string, body []byte) error {
	var s rollout.Status
	if err := c.call(cmd, method, path, body, &s); err != nil {
		return err
	}
	return c.print(cmd, s, func(w io.Writer) { showRollout(w, &s) })
}

// watchInterval is how often a watched roll-out is requested.
const watchInterval = time.Second

// errRolloutNotDone is returned for a watched roll-out that ended in another state than done.
var errRolloutNotDone = errors.New("the roll-out is over and not done")

// watchRollout shows a roll-out whenever it changes, until it is over.
func (c *client) watchRollout(cmd *cobra.Command, service string) error {
	shown := ""
	for {
		var s rollout.Status
		if err := c.call(cmd, http.MethodGet, rolloutPath+"/"+service, nil, &s); err != nil {
			return err
		}
		if summary := summarize(s); summary != shown {
			shown = summary
			if err := c.print(cmd, s, func(w io.Writer) { showRollout(w, &s) }); err != nil {
				return err
			}
		}
		switch state := rollout.State(s.State); {
		case state == rollout.Done:
			return nil
		case state.Ended():
			return errRolloutNotDone
		}
		c.sleep(watchInterval)
	}
}

// summarize is what has to differ for a roll-out to be shown again: all but its times.
func summarize(s rollout.Status) string {
	s.SinceS = 0
	s.TookS = 0
	return fmt.Sprint(s)
}

// listRollouts prints roll-outs as a table.
func listRollouts(w io.Writer, all []rollout.Status) {
	t := newTable(w)
	fmt.Fprintln(t, "SERVICE\tSTATE\tBATCH\tCURRENT\tNEXT\tREASON")
	for _, s := range all {
		fmt.Fprintf(t, "%s\t%s\t%d/%d\t%s\t%s\t%s\n", s.Service, s.State, s.Batch, len(s.Batches), s.Current, s.Next, s.Reason)
	}
	_ = t.Flush()
}

// showRollout prints a roll-out and its batches.
func showRollout(w io.Writer, s *rollout.Status) {
	fmt.Fprintf(w, "%s: %s, batch %d of %d, %.0f s", s.Service, s.State, s.Batch, len(s.Batches), s.TookS)
	fmt.Fprintf(w, " (runs %s, other version %s)\n", s.Current, s.Next)
	if s.Reason != "" {
		fmt.Fprintf(w, "  because: %s\n", s.Reason)
	}
	if s.WaitingFor != "" {
		fmt.Fprintf(w, "  waits for: %s\n", s.WaitingFor)
	}
	t := tabwriter.NewWriter(w, 2, 4, 2, ' ', 0)
	fmt.Fprintln(t, "  BATCH\tZONE\tREPLICAS\tRUNNING\tHEALTHY\tUNHEALTHY\tLOST\tFAILURES")
	for i, b := range s.Batches {
		zone := b.Zone
		if strings.TrimSpace(zone) == "" {
			zone = "any"
		}
		fmt.Fprintf(t, "  %d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", i+1, zone, b.Replicas, b.Running, b.Healthy, b.Unhealthy, b.Lost, b.Failures)
	}
	_ = t.Flush()
}
