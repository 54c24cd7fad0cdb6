package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"vetchstream/internal/scale"
)

// errRules ends a run in which a rule of the protocol was broken.
var errRules = errors.New("rules were broken")

// scaleCommand runs real controllers beside hollow workers.
func scaleCommand() *cobra.Command {
	var o scale.Options
	var troubles, output string
	cmd := &cobra.Command{
		Use: "scale", Short: "Measure real controllers of several regions beside workers that run no tasks", Args: noArgs,
		Long: "scale starts the controllers of several regions as processes of this program, on emulated state services and clouds,\nwith thousands of emulated workers and users, and measures what each role takes. See docs/CAPACITY.md.\n\n" + gone,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if output != "table" && output != "json" {
				return flagError{fmt.Errorf("--output %q is neither table nor json", output)}
			}
			if troubles != "" {
				b, err := os.ReadFile(troubles)
				if err != nil {
					return flagError{fmt.Errorf("--troubles: %w", err)}
				}
				if o.Faults, err = scale.ParseFaults(b); err != nil {
					return flagError{err}
				}
			}
			if err := o.Check(); err != nil {
				return flagError{err}
			}
			return runScale(cmd, o, output)
		},
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return flagError{err} })
	f := cmd.Flags()
	f.Float64Var(&o.Factor, "factor", 0.02, "part of the planned size: 1 is 4,600 workers and 3,200 task starts a second")
	f.IntVar(&o.Regions, "regions", scale.PlannedRegions, "number of regions; the first holds a third of the workers")
	f.IntVar(&o.Controllers, "controllers", scale.PlannedControllers, "number of controllers in all regions together")
	f.Float64Var(&o.StartsPerS, "starts", 0, "task starts a second that users ask for; 0: as planned, times the factor")
	f.DurationVar(&o.Duration, "duration", time.Minute, "how long the load lasts")
	f.Float64Var(&o.ChangesPerMinute, "changes", 60, "changes of teams' quotas a minute; the plan has 7 as a mean and 500 in a burst")
	f.Uint64Var(&o.Seed, "seed", 1, "draws the jobs and what troubles hit")
	f.StringVar(&troubles, "troubles", "", "what goes wrong when (JSON list, see docs/CAPACITY.md)")
	f.StringVar(&output, "output", "table", "how to print: table, for people, or json")
	return cmd
}

func runScale(cmd *cobra.Command, o scale.Options, output string) error {
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	if o.Binary == "" {
		if o.Binary, err = os.Executable(); err != nil {
			return err
		}
	}
	o.Log = logger()
	p, err := scale.Run(ctx, o)
	if err != nil {
		return err
	}
	w := cmd.OutOrStdout()
	if output == "json" {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		err = enc.Encode(p)
	} else {
		p.Print(w)
	}
	if len(p.RulesBroken) > 0 {
		return errors.Join(err, errRules)
	}
	return err
}
