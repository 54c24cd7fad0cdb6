package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/node"
)

const (
	// demoNodes is the default of --nodes.
	demoNodes = 3
	// statusInterval is the time between two status lines of the demo.
	statusInterval = 5 * time.Second
)

// cluster is an emulated cluster whose controllers run in this process.
type cluster struct {
	*emulate.Cluster
	controllers sync.WaitGroup
	stop        context.CancelFunc // stops the controllers

	mu  sync.Mutex
	err error // joined errors of the failed controllers
}

// startCluster starts an emulation and its controllers. The controllers run until close is called
// or one of them fails; the end of ctx does not stop them.
func startCluster(ctx context.Context, options emulate.Options, tuning *config.Tuning, log *slog.Logger) (*cluster, error) {
	emulated, err := emulate.Start(options)
	if err != nil {
		return nil, usageError{err}
	}
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	c := &cluster{Cluster: emulated, stop: stop}
	for _, settings := range emulated.Settings {
		c.controllers.Go(func() {
			if err := node.Run(ctx, settings, tuning, node.SystemNetwork(), log); err != nil {
				c.addError(fmt.Errorf("%s: %w", settings.Member, err))
				stop()
			}
		})
	}
	return c, nil
}

func (c *cluster) addError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = errors.Join(c.err, err)
}

// close stops the controllers, then the emulation, and returns the controllers' errors.
func (c *cluster) close() error {
	c.stop()
	c.controllers.Wait()
	c.Cluster.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// demoCommand returns the command that runs a whole cluster in one process.
func demoCommand(tuningFile *string) *cobra.Command {
	var flags emulationFlags
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole cluster on this machine: three controllers and emulated machines",
		Args:  noArgs,
		Long: "demo runs three controllers in one process with an emulated key-value store, cloud and workers, and prints the\n" +
			"status of the cluster until ctrl-C. The client commands reach it at their default address.\n\n" + emulatedNotice,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return flags.runDemo(cmd, *tuningFile)
		},
	}
	flags.register(cmd, demoNodes)
	cmd.AddCommand(demoRolloutCommand(tuningFile))
	return cmd
}

// runDemo runs a cluster and prints its status until the duration of --for has passed, a signal
// arrives or a controller fails.
func (e *emulationFlags) runDemo(cmd *cobra.Command, tuningFile string) error {
	tuning, err := config.LoadTuning(tuningFile)
	if err != nil {
		return err
	}
	ctx, stop := e.runContext(cmd)
	defer stop()
	c, err := startCluster(ctx, e.options, tuning, newLogger())
	if err != nil {
		return err
	}
	w := cmd.OutOrStdout()
	fmt.Fprintln(w, emulatedNotice)
	fmt.Fprintf(w, "Clients: --server %s (%d more controllers listen on the next ports). Press ctrl-C to stop.\n", e.options.Listen, e.options.Controllers-1)
	err = e.injectFaults(ctx, c.Cluster)
	if err == nil {
		c.printStatus(ctx, w, e.options.Listen)
	}
	return errors.Join(err, c.close())
}

// printStatus prints the status of the cluster every statusInterval until the context ends or all
// controllers have stopped.
func (c *cluster) printStatus(ctx context.Context, w io.Writer, server string) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.controllers.Wait()
	}()
	begun := time.Now()
	for {
		all, up := c.World.MachineCounts()
		fmt.Fprintf(w, "%4.0f s  clients: %s  machines: %d up, %d booting  tasks started: %d\n",
			time.Since(begun).Seconds(), server, up, all-up, c.World.Starts())
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-ticker.C:
		}
	}
}
