// Command vetchstream is a cluster scheduler. It contains the controller daemon, a command-line
// client, and emulated clusters for demonstrations and measurements.
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

// version is the program's version. Release builds set it with -ldflags "-X main.version=...".
var version = "0.1.0-dev"

// tuningVariable is the environment variable that sets the default of --tuning.
const tuningVariable = "VETCHSTREAM_TUNING"

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2 // invalid command line
)

// usageError is an invalid command line. run prints it followed by the usage of the command.
type usageError struct{ error }

// flagError is an invalid flag. run prints it on one line, without the usage of the command.
type flagError struct{ error }

func main() {
	os.Exit(run(rootCommand(time.Sleep), os.Stderr))
}

// run executes a command, writes its error, if any, to out, and returns the exit code.
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

// rootCommand returns the vetchstream command with all subcommands. The client calls sleep to wait
// between two attempts of a request.
func rootCommand(sleep func(time.Duration)) *cobra.Command {
	var settingsFile, tuningFile string
	root := &cobra.Command{
		Use:           "vetchstream",
		Short:         "A cluster scheduler: controller daemon and client",
		Long:          "vetchstream runs a controller if --config is given. Its subcommands send requests to a running service.",
		Version:       version,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          noArgs,
		RunE: func(*cobra.Command, []string) error {
			if settingsFile == "" {
				return usageError{errors.New("--config FILE is needed to run a controller")}
			}
			return runController(settingsFile, tuningFile)
		},
	}
	root.Flags().StringVar(&settingsFile, "config", "", "platform settings file (TOML)")
	root.PersistentFlags().StringVar(&tuningFile, "tuning", os.Getenv(tuningVariable), "operators' settings file (JSON); defaults to $"+tuningVariable)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(clientCommands(&tuningFile, sleep)...)
	root.AddCommand(emulateCommands(&tuningFile)...)
	root.AddCommand(scaleCommand())
	return root
}

// noArgs returns a usage error if there are arguments.
func noArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unexpected argument %q", args[0])}
	}
	return nil
}

// exactlyOne returns a usage error unless there is exactly one argument.
func exactlyOne(cmd *cobra.Command, args []string) error {
	if err := cobra.ExactArgs(1)(cmd, args); err != nil {
		return usageError{err}
	}
	return nil
}

// commandContext returns a context derived from the command's that ends on SIGINT or SIGTERM.
func commandContext(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	return signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
}

// newLogger returns a logger that writes to standard error at the level of LOG_LEVEL.
func newLogger() *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: logLevel()}))
}

// logLevel returns the level that LOG_LEVEL names; any value but debug and error means info.
func logLevel() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

// runController runs a controller until SIGINT or SIGTERM.
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
	// gcPercent makes garbage collection less frequent while memory use is below the soft limit.
	gcPercent = 200
	// softMemoryShare is the Go memory limit as a share of the controller's memory. Above the
	// limit, garbage collection becomes frequent, because a process that exceeds its memory is
	// killed.
	softMemoryShare = 0.6
)

// limitRuntime adapts the Go runtime to the resources of a controller, which are a share of one
// core and memoryMB MiB of memory.
func limitRuntime(memoryMB float64) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(memoryMB * softMemoryShare * (1 << 20)))
}
