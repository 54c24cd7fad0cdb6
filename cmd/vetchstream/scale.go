package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"vetchstream/internal/scale"
)

// errInvariantsViolated is returned if a run has violated an invariant of the protocol.
var errInvariantsViolated = errors.New("invariants were violated")

// scaleFlags holds the flags of the scale command.
type scaleFlags struct {
	options    scale.Options
	faultsFile string // JSON file with the faults to inject; empty: none
	output     string // outputTable or outputJSON
}

// scaleCommand returns the command that measures real controllers with emulated workers, which run
// no tasks.
func scaleCommand() *cobra.Command {
	var flags scaleFlags
	cmd := &cobra.Command{
		Use:   "scale",
		Short: "Measure real controllers of several regions with emulated workers that run no tasks",
		Args:  noArgs,
		Long: "scale starts the controllers of several regions as processes of this program, with emulated key-value stores and clouds,\n" +
			"and thousands of emulated workers and users. It measures the resources that each role uses. See docs/CAPACITY.md.\n\n" + emulatedNotice,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flags.check(); err != nil {
				return flagError{err}
			}
			return flags.run(cmd)
		},
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return flagError{err} })
	flags.register(cmd)
	return cmd
}

// register adds the flags to the command.
func (s *scaleFlags) register(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.Float64Var(&s.options.Factor, "factor", 0.02, "fraction of the planned size: 1 is 4,600 workers and 3,200 task starts a second")
	flags.IntVar(&s.options.Regions, "regions", scale.PlannedRegions, "number of regions; the first holds a third of the workers")
	flags.IntVar(&s.options.Controllers, "controllers", scale.PlannedControllers, "number of controllers in all regions together")
	flags.Float64Var(&s.options.StartsPerS, "starts", 0, "task starts a second that users request; 0: the planned rate times the factor")
	flags.DurationVar(&s.options.Duration, "duration", time.Minute, "duration of the load")
	flags.Float64Var(&s.options.ChangesPerMinute, "changes", 60, "changes of team quotas a minute; the plan has a mean of 7 and bursts of 500")
	flags.Uint64Var(&s.options.Seed, "seed", 1, "seed for drawing the jobs and the targets of faults")
	flags.StringVar(&s.faultsFile, "troubles", "", "file with the faults to inject and their times (JSON list, see docs/CAPACITY.md)")
	flags.StringVar(&s.output, "output", outputTable, outputUsage)
}

// check validates the flags and reads the file of faults. Its error names the invalid flag.
func (s *scaleFlags) check() error {
	if err := checkOutput(s.output); err != nil {
		return err
	}
	if s.faultsFile != "" {
		b, err := os.ReadFile(s.faultsFile)
		if err != nil {
			return fmt.Errorf("--troubles: %w", err)
		}
		if s.options.Faults, err = scale.ParseFaults(b); err != nil {
			return err
		}
	}
	return s.options.Check()
}

// run measures until the load ends or SIGINT or SIGTERM arrives, and prints the report. It returns
// an error if an invariant was violated.
func (s *scaleFlags) run(cmd *cobra.Command) error {
	ctx, stop := commandContext(cmd)
	defer stop()
	if s.options.Binary == "" {
		binary, err := os.Executable()
		if err != nil {
			return err
		}
		s.options.Binary = binary
	}
	s.options.Log = newLogger()
	report, err := scale.Run(ctx, s.options)
	if err != nil {
		return err
	}
	w := cmd.OutOrStdout()
	if s.output == outputJSON {
		err = printJSON(w, report)
	} else {
		report.Print(w)
	}
	if len(report.Violations) > 0 {
		return errors.Join(err, errInvariantsViolated)
	}
	return err
}
