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

// emulatedNotice is printed by every command that emulates a cluster, so that users do not
// mistake it for one that keeps their data.
const emulatedNotice = "Machines and key-value store are emulated: no task really runs, and all data is lost at exit."

// emulationFlags holds the flags that the emulate and demo commands share.
type emulationFlags struct {
	options    emulate.Options
	duration   time.Duration // 0: no limit
	faultsFile string        // JSON file with the faults to inject; empty: none
}

// register adds the flags to a command. The default number of controllers is nodes.
func (e *emulationFlags) register(cmd *cobra.Command, nodes int) {
	const defaultMachines = 24
	flags := cmd.Flags()
	flags.IntVar(&e.options.Controllers, "nodes", nodes, "number of controllers, 1 to 9")
	flags.IntVar(&e.options.MaxMachines, "machines", defaultMachines, "number of machines in the emulated cloud, 1 to 1000")
	flags.StringVar(&e.options.Listen, "listen", "127.0.0.1:8080", "loopback address of the first controller; the others follow on the next ports")
	flags.StringVar(&e.faultsFile, "troubles", "", "file with the faults to inject and their times (JSON list, see docs/operations.md)")
	flags.DurationVar(&e.duration, "for", 0, "time after which the command ends; 0: run until interrupted")
}

// injectFaults reads the file of --troubles and injects its faults until the context ends.
func (e *emulationFlags) injectFaults(ctx context.Context, cluster *emulate.Cluster) error {
	if e.faultsFile == "" {
		return nil
	}
	b, err := os.ReadFile(e.faultsFile)
	if err != nil {
		return fmt.Errorf("troubles: %w", err)
	}
	faults, err := emulate.ParseFaults(b)
	if err != nil {
		return err
	}
	cluster.InjectFaults(ctx, faults)
	return nil
}

// runContext returns a context that ends after the duration of --for, or on SIGINT or SIGTERM.
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

// emulateCommands returns the commands that run an emulated cluster.
func emulateCommands(tuningFile *string) []*cobra.Command {
	return []*cobra.Command{emulateCommand(), demoCommand(tuningFile)}
}

// emulateCommand returns the command that emulates a cluster without its controllers.
func emulateCommand() *cobra.Command {
	var flags emulationFlags
	var settingsFile string
	cmd := &cobra.Command{
		Use:   "emulate --settings OUT.toml",
		Short: "Emulate key-value store, cloud and workers on loopback for controllers started separately",
		Args:  noArgs,
		Long: "emulate runs a key-value store, a cloud and its workers on loopback in real time. It writes a settings file for\n" +
			"each controller: OUT.toml for the first, OUT-2.toml and so on for the others (see --nodes).\n\n" + emulatedNotice,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.runEmulation(cmd, settingsFile)
		},
	}
	flags.register(cmd, 1)
	cmd.Flags().StringVar(&settingsFile, "settings", "", "settings file to write for the first controller (TOML)")
	return cmd
}

// runEmulation emulates key-value store, cloud and workers until the duration of --for has passed,
// or until SIGINT or SIGTERM.
func (e *emulationFlags) runEmulation(cmd *cobra.Command, settingsFile string) error {
	if settingsFile == "" {
		return usageError{errors.New("--settings FILE is needed: emulate writes the controllers' settings to it")}
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

// writeSettings writes a settings file for each controller and returns the file names. The first
// is out; the others have -2, -3 and so on before the extension.
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
