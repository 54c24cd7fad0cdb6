// Command vetchstream is the cluster scheduler: the controller daemon, its client, and
// emulations to try and to measure it.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"vetchstream/internal/config"
	"vetchstream/internal/node"
)

// version is set by releases with -ldflags "-X main.version=...".
var version = "0.1.0-dev"

// tuningVariable is the environment variable with the default of --tuning.
const tuningVariable = "VETCHSTREAM_TUNING"

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2 // a mistake in the call
)

// usageError is a mistake in the call. It is shown with the command's help.
type usageError struct{ error }

// flagError is a flag that cannot be used. It is shown in one line, without help.
type flagError struct{ error }

func main() {
	os.Exit(run(rootCommand(time.Sleep), os.Stderr))
}

// run executes a command line and returns the exit code. Errors are written to out.
func run(root *cobra.Command, out io.Writer) int {
	cmd, err := root.ExecuteC()
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(out, "vetchstream:", err)
	var flag flagError
	if errors.As(err, &flag) {
		return exitUsage
	}
	var usage usageError
	if errors.As(err, &usage) {
		fmt.Fprintln(out, cmd.UsageString())
		return exitUsage
	}
	return exitFailure
}

// rootCommand returns the command line. The client waits between its attempts with sleep.
func rootCommand(sleep func(time.Duration)) *cobra.Command {
	var settings, tuning string
	root := &cobra.Command{
		Use:           "vetchstream",
		Short:         "A cluster scheduler: controller daemon and client",
		Long:          "vetchstream runs a controller with --config, and talks to one with its subcommands.",
		Version:       version,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          noArgs,
		RunE: func(*cobra.Command, []string) error {
			if settings == "" {
				return usageError{errors.New("--config FILE is needed to run a controller")}
			}
			return runController(settings, tuning)
		},
	}
	root.Flags().StringVar(&settings, "config", "", "settings file of the platform (TOML)")
	root.PersistentFlags().StringVar(&tuning, "tuning", os.Getenv(tuningVariable), "operators' own settings (JSON); also "+tuningVariable)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(clientCommands(&tuning, sleep)...)
	root.AddCommand(emulateCommands(&tuning)...)
	root.AddCommand(scaleCommand())
	return root
}

// noArgs refuses arguments.
func noArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unexpected argument %q", args[0])}
	}
	return nil
}

// exactlyOne requires exactly one argument.
func exactlyOne(cmd *cobra.Command, args []string) error {
	if err := cobra.ExactArgs(1)(cmd, args); err != nil {
		return usageError{err}
	}
	return nil
}

// commandContext returns the context of a command that ends on ctrl-C or SIGTERM.
func commandContext(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

// newLogger returns a newLogger to standard error, with the level that LOG_LEVEL says.
func newLogger() *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()}))
}

func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

// runController runs a controller until ctrl-C or SIGTERM.
func runController(settingsFile, tuningFile string) error {
	settings, err := config.Load(settingsFile)
	if err != nil {
		return err
	}
	tuning, err := config.LoadTuning(tuningFile)
	if err != nil {
		return err
	}
	limitRuntime(settings.Facts.Resources.RAMMB)
	log := newLogger()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return node.Run(ctx, settings, tuning, node.SystemNetwork(), log)
}

const (
	// gcPercent makes garbage collection rare while there is memory.
	gcPercent = 200
	// softMemoryShare is the share of the memory from which on collection becomes
	// frequent: a process that exceeds its memory is killed.
	softMemoryShare = 0.6
)

// limitRuntime fits the Go runtime to a controller's resources: a share of one core, and
// memory in MiB.
func limitRuntime(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryMB * softMemoryShare * (1 << 20)))
}
