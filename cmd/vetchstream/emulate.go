package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
)

// emulatedNotice is shown wherever a cluster is emulated: nobody should take it for one
// that stores anything.
const emulatedNotice = "Machines and state service are emulated: nothing runs for real, and all of it is gone at the end."

// emulationFlags are the flags that emulate and demo share.
type emulationFlags struct {
	options    emulate.Options
	duration   time.Duration // 0: until ctrl-C
	faultsFile string        // file of the troubles; empty: none
}

// register adds the flags to a command; nodes is the default number of controllers.
func (e *emulationFlags) register(cmd *cobra.Command, nodes int) {
	const defaultMachines = 24
	flags := cmd.Flags()
	flags.IntVar(&e.options.Controllers, "nodes", nodes, "number of controllers, 1 to 9")
	flags.IntVar(&e.options.MaxMachines, "machines", defaultMachines, "machines that the emulated cloud has, 1 to 1000")
	flags.StringVar(&e.options.Listen, "listen", "127.0.0.1:8080", "loopback address of the first controller; the others follow on the next ports")
	flags.StringVar(&e.faultsFile, "troubles", "", "what goes wrong when (JSON list, see docs/operations.md)")
	flags.DurationVar(&e.duration, "for", 0, "end after that long; 0: on ctrl-C")
}

// injectFaults starts the troubles of --troubles, which happen until the context ends.
func (e *emulationFlags) injectFaults(ctx context.Context, cluster *emulate.Cluster) error {
	if e.faultsFile == "" {
		return nil
	}
	b, err := os.ReadFile(e.faultsFile)
	if err != nil {
		return fmt.Errorf("troubles: %w", err)
	}
	troubles, err := emulate.ParseFaults(b)
	if err != nil {
		return err
	}
	cluster.InjectFaults(ctx, troubles)
	return nil
}

// runContext returns a context that ends after the duration of --for or on a signal.
func (e *emulationFlags) runContext(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	ctx, stop := commandContext(cmd)
	if e.duration <= 0 {
		return ctx, stop
	}
	ctx, cancel := context.WithTimeout(ctx, e.duration)
	return ctx, func() {
		cancel()
		stop()
	}
}

// emulateCommands returns the commands that emulate what surrounds the controllers.
func emulateCommands(tuning *string) []*cobra.Command {
	return []*cobra.Command{emulateCommand(), demoCommand(tuning)}
}

// emulateCommand returns the command that emulates everything but the controllers.
func emulateCommand() *cobra.Command {
	var flags emulationFlags
	var settingsFile string
	cmd := &cobra.Command{
		Use:   "emulate --settings OUT.toml",
		Short: "Emulate state service, cloud and workers on loopback, for controllers started by hand",
		Args:  noArgs,
		Long: "emulate runs a state service, a cloud and its workers on loopback in real time and writes the settings for the\n" +
			"controllers that are to live on them: OUT.toml, and OUT-2.toml and so on with --nodes.\n\n" + emulatedNotice,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.runEmulation(cmd, settingsFile)
		},
	}
	flags.register(cmd, 1)
	cmd.Flags().StringVar(&settingsFile, "settings", "", "where to write the settings of the first controller (TOML)")
	return cmd
}

// runEmulation emulates state service, cloud and workers until the duration is over or
// ctrl-C.
func (e *emulationFlags) runEmulation(cmd *cobra.Command, settingsFile string) error {
	if settingsFile == "" {
		return usageError{errors.New("--settings FILE is needed: that is where the controllers' settings go")}
	}
	e.options.Log = newLogger()
	cluster, err := emulate.Start(e.options)
	if err != nil {
		return usageError{err}
	}
	defer cluster.Close()
	files, err := writeSettings(settingsFile, cluster.Settings)
	if err != nil {
		return err
	}
	w := cmd.OutOrStdout()
	fmt.Fprintln(w, emulatedNotice)
	for _, file := range files {
		fmt.Fprintf(w, "start a controller: vetchstream --config %s\n", file)
	}
	ctx, stop := e.runContext(cmd)
	defer stop()
	if err := e.injectFaults(ctx, cluster); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// writeSettings writes a settings file for each controller and returns their names:
// out, and then out with -2, -3 and so on before its extension.
func writeSettings(out string, settings []*config.Settings) (files []string, err error) {
	ext := filepath.Ext(out)
	for i, s := range settings {
		name := out
		if i > 0 {
			name = fmt.Sprintf("%s-%d%s", strings.TrimSuffix(out, ext), i+1, ext)
		}
		b, err := toml.Marshal(s)
		if err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		if err := os.WriteFile(name, b, 0o644); err != nil {
			return nil, fmt.Errorf("settings: %w", err)
		}
		files = append(files, name)
	}
	return files, nil
}
