// Command vetchstream is the cluster scheduler's daemon and its client.
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

// usageError marks a mistake in the call, which exits with 2.
type usageError struct{ error }

// flagError marks a flag that cannot be used, which exits with 2 and is told in one line.
type flagError struct{ error }

func main() {
	os.Exit(run(rootCommand(time.Sleep), os.Stderr))
}

// run executes a command line and returns the exit code: 2 for a mistake in the
// call, with help, and 1 for everything else that fails.
func run(root *cobra.Command, out io.Writer) int {
	cmd, err := root.ExecuteC()
	if err == nil {
		return 0
	}
	fmt.Fprintln(out, "vetchstream:", err)
	var flag flagError
	if errors.As(err, &flag) {
		return 2
	}
	var usage usageError
	if errors.As(err, &usage) {
		fmt.Fprintln(out, cmd.UsageString())
		return 2
	}
	return 1
}

// rootCommand makes the command line; pause waits between a client's tries.
func rootCommand(pause func(time.Duration)) *cobra.Command {
	var settings, tuning string
	root := &cobra.Command{
		Use:           "vetchstream",
		Short:         "A cluster scheduler: controller daemon and client",
		Long:          "vetchstream runs a controller with --config, and talks to one with its subcommands.",
		Version:       version,
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings == "" {
				return usageError{fmt.Errorf("--config FILE is needed to run a controller")}
			}
			return daemon(settings, tuning)
		},
	}
	root.Flags().StringVar(&settings, "config", "", "settings file of the platform (TOML)")
	root.PersistentFlags().StringVar(&tuning, "tuning", os.Getenv("VETCHSTREAM_TUNING"), "operators' own settings (JSON); also VETCHSTREAM_TUNING")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(clientCommands(&tuning, pause)...)
	root.AddCommand(emulateCommands(&tuning)...)
	root.AddCommand(scaleCommand())
	return root
}

func noArgs(_ *cobra.Command, args []string) error {
	if len(args) > 0 {
		return usageError{fmt.Errorf("unexpected argument %q", args[0])}
	}
	return nil
}

// logger writes to standard error, as much as LOG_LEVEL says.
func logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level()}))
}

func level() slog.Level {
	switch os.Getenv("LOG_LEVEL") {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	}
	return slog.LevelInfo
}

func daemon(settings, tuning string) error {
	set, err := config.Load(settings)
	if err != nil {
		return err
	}
	tun, err := config.LoadTuning(tuning)
	if err != nil {
		return err
	}
	// One thread runs at a time, and a process over its memory is killed: collect
	// rarely while there is room, and hard when it gets tight.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(200)
	debug.SetMemoryLimit(int64(set.Facts.Resources.RAMMB * 0.6 * (1 << 20)))
	log := logger()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return node.Run(ctx, set, tun, node.SystemNetwork(), log)
}
