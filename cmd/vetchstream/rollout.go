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
)

// rolloutCommands are the operators' commands for roll-outs.
func rolloutCommands(c *client) *cobra.Command {
	root := &cobra.Command{
		Use: "rollout", Short: "Roll a service out to its next version, batch by batch", Args: noArgs,
		Long: "A roll-out moves a service to its next version in batches, one zone at a time, while health gates pass, and takes\nit back by itself when they fail. See docs/rollouts.md.",
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("one of start, status, list, pause, resume and undo is needed")}
		},
	}
	start := &cobra.Command{
		Use: "start FILE", Short: "Start a roll-out described in a JSON file (- for standard input)", Args: one,
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := encodeFile(args[0])
			if err != nil {
				return err
			}
			if _, err := rollout.Parse(body); err != nil {
				return usageError{err}
			}
			return c.rollout(cmd, http.MethodPost, "/api/rollouts", body)
		},
	}
	var watch bool
	status := &cobra.Command{
		Use: "status SERVICE", Short: "Show a roll-out: its batches, their health, what it waits for", Args: one,
		RunE: func(cmd *cobra.Command, args []string) error {
			if !watch {
				return c.rollout(cmd, http.MethodGet, "/api/rollouts/"+args[0], nil)
			}
			return c.watch(cmd, args[0])
		},
	}
	status.Flags().BoolVar(&watch, "watch", false, "show every change until the roll-out is over; exits with 1 if it is not done then")
	list := &cobra.Command{
		Use: "list", Short: "List the roll-outs", Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var out struct {
				Rollouts []rollout.Status `codec:"rollouts" json:"rollouts"`
			}
			if err := c.call(cmd, http.MethodGet, "/api/rollouts", nil, &out); err != nil {
				return err
			}
			return c.print(cmd, out, func(w io.Writer) {
				t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
				fmt.Fprintln(t, "SERVICE\tSTATE\tBATCH\tCURRENT\tNEXT\tREASON")
				for _, s := range out.Rollouts {
					fmt.Fprintf(t, "%s\t%s\t%d/%d\t%s\t%s\t%s\n", s.Service, s.State, s.Batch, len(s.Batches), s.Current, s.Next, s.Reason)
				}
				_ = t.Flush()
			})
		},
	}
	root.AddCommand(start, status, list)
	for _, v := range [][2]string{{"pause", "Stop a roll-out where it is"}, {"resume", "Go on with a paused roll-out"}, {"undo", "Roll back"}} {
		root.AddCommand(&cobra.Command{Use: v[0] + " SERVICE", Short: v[1], Args: one, RunE: func(cmd *cobra.Command, args []string) error {
			return c.rollout(cmd, http.MethodPost, "/api/rollouts/"+args[0]+"/"+v[0], nil)
		}})
	}
	return root
}

// rollout makes a request and shows the roll-out that it answers with.
func (c *client) rollout(cmd *cobra.Command, method, path string, body []byte) error {
	var s rollout.Status
	if err := c.call(cmd, method, path, body, &s); err != nil {
		return err
	}
	return c.print(cmd, s, func(w io.Writer) { showRollout(w, &s) })
}

// watchEvery is how often a watched roll-out is looked at.
const watchEvery = time.Second

// errNotDone is the end of a watched roll-out that did not come through.
var errNotDone = errors.New("the roll-out is over and not done")

// watch shows a roll-out whenever it changes, until it is over.
func (c *client) watch(cmd *cobra.Command, service string) error {
	last := ""
	for {
		var s rollout.Status
		if err := c.call(cmd, http.MethodGet, "/api/rollouts/"+service, nil, &s); err != nil {
			return err
		}
		sum := s
		sum.SinceS, sum.TookS = 0, 0
		if now := fmt.Sprint(sum); now != last {
			last = now
			if err := c.print(cmd, s, func(w io.Writer) { showRollout(w, &s) }); err != nil {
				return err
			}
		}
		switch state := rollout.State(s.State); {
		case state == rollout.Done:
			return nil
		case state.Over():
			return errNotDone
		}
		c.pause(watchEvery)
	}
}

// showRollout is a roll-out for people.
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
