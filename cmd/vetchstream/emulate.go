package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/spf13/cobra"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/node"
)

// gone is said wherever a cluster is emulated: nobody should take it for one that
// keeps anything.
const gone = "Machines and state service are emulated: nothing runs for real, and all of it is gone at the end."

// emulation are the flags that emulate and demo share.
type emulation struct {
	options  emulate.Options
	length   time.Duration
	troubles string
}

func (e *emulation) flags(cmd *cobra.Command, nodes int) {
	cmd.Flags().IntVar(&e.options.Nodes, "nodes", nodes, "number of controllers, 1 to 9")
	cmd.Flags().IntVar(&e.options.MaxMachines, "machines", 24, "machines that the emulated cloud has, 1 to 1000")
	cmd.Flags().StringVar(&e.options.Listen, "listen", "127.0.0.1:8080", "loopback address of the first controller; the others follow on the next ports")
	cmd.Flags().StringVar(&e.troubles, "troubles", "", "what goes wrong when (JSON list, see docs/operations.md)")
	cmd.Flags().DurationVar(&e.length, "for", 0, "end after that long; 0: on ctrl-C")
}

// play lets the troubles of --troubles happen.
func (e *emulation) play(ctx context.Context, cl *emulate.Cluster) error {
	if e.troubles == "" {
		return nil
	}
	b, err := os.ReadFile(e.troubles)
	if err != nil {
		return fmt.Errorf("troubles: %w", err)
	}
	ts, err := emulate.ParseFaults(b)
	if err != nil {
		return err
	}
	cl.InjectFaults(ctx, ts)
	return nil
}

// until is a context that ends with the command's time or on a signal.
func (e *emulation) until(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	if e.length <= 0 {
		return ctx, stop
	}
	ctx, cancel := context.WithTimeout(ctx, e.length)
	return ctx, func() { cancel(); stop() }
}

func emulateCommands(tuning *string) []*cobra.Command {
	var em emulation
	var out string
	em1 := &cobra.Command{
		Use: "emulate --settings OUT.toml", Short: "Emulate state service, cloud and workers on loopback, for controllers started by hand", Args: noArgs,
		Long: "emulate runs a state service, a cloud and its workers on loopback in real time and writes the settings for the\ncontrollers that are to live on them: OUT.toml, and OUT-2.toml and so on with --nodes.\n\n" + gone,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if out == "" {
				return usageError{errors.New("--settings FILE is needed: that is where the controllers' settings go")}
			}
			em.options.Log = logger()
			cl, err := emulate.Start(em.options)
			if err != nil {
				return usageError{err}
			}
			defer cl.Close()
			files, err := writeSettings(out, cl.Settings)
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			fmt.Fprintln(w, gone)
			for _, f := range files {
				fmt.Fprintf(w, "start a controller: vetchstream --config %s\n", f)
			}
			ctx, stop := em.until(cmd)
			defer stop()
			if err := em.play(ctx, cl); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		},
	}
	em.flags(em1, 1)
	em1.Flags().StringVar(&out, "settings", "", "where to write the settings of the first controller (TOML)")
	return []*cobra.Command{em1, demoCommand(tuning)}
}

// writeSettings writes a file for each controller and returns their names.
func writeSettings(out string, sets []*config.Settings) (files []string, err error) {
	ext := filepath.Ext(out)
	for i, set := range sets {
		name := out
		if i > 0 {
			name = fmt.Sprintf("%s-%d%s", strings.TrimSuffix(out, ext), i+1, ext)
		}
		b, err := toml.Marshal(set)
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

// cluster is an emulation with its controllers, in one process.
type cluster struct {
	*emulate.Cluster
	wg   sync.WaitGroup
	stop context.CancelFunc

	mu     sync.Mutex
	failed error
}

// launch starts an emulation and its controllers.
func launch(ctx context.Context, o emulate.Options, tun *config.Tuning, log *slog.Logger) (*cluster, error) {
	cl, err := emulate.Start(o)
	if err != nil {
		return nil, usageError{err}
	}
	// The controllers end when the cluster is closed, after what watches them.
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	c := &cluster{Cluster: cl, stop: stop}
	for _, set := range cl.Settings {
		c.wg.Go(func() {
			if err := node.Run(ctx, set, tun, node.System(), log); err != nil {
				c.mu.Lock()
				c.failed = errors.Join(c.failed, fmt.Errorf("%s: %w", set.Member, err))
				c.mu.Unlock()
				stop()
			}
		})
	}
	return c, nil
}

// close ends the controllers, then what they lived on, and returns what failed.
func (c *cluster) close() error {
	c.stop()
	c.wg.Wait()
	c.Cluster.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// statusEvery is how often the demo says how it stands.
const statusEvery = 5 * time.Second

func demoCommand(tuning *string) *cobra.Command {
	var em emulation
	demo := &cobra.Command{
		Use: "demo", Short: "Run a whole cluster on this machine: emulated machines and three controllers", Args: noArgs,
		Long: "demo runs three controllers in one process on an emulated state service, cloud and workers, and says how it stands\nuntil ctrl-C. The client commands reach it at their default address.\n\n" + gone,
		RunE: func(cmd *cobra.Command, _ []string) error {
			tun, err := config.LoadTuning(*tuning)
			if err != nil {
				return err
			}
			ctx, stop := em.until(cmd)
			defer stop()
			c, err := launch(ctx, em.options, tun, logger())
			if err != nil {
				return err
			}
			w := cmd.OutOrStdout()
			fmt.Fprintln(w, gone)
			fmt.Fprintf(w, "Clients: --server %s (and %d more controllers on the next ports). ctrl-C ends it.\n", em.options.Listen, em.options.Nodes-1)
			err = em.play(ctx, c.Cluster)
			if err == nil {
				c.watch(ctx, w, em.options.Listen)
			}
			return errors.Join(err, c.close())
		},
	}
	em.flags(demo, 3)
	demo.AddCommand(demoRollout(tuning))
	return demo
}

// watch says how the cluster stands until the context ends or a controller fails.
func (c *cluster) watch(ctx context.Context, w io.Writer, server string) {
	t := time.NewTicker(statusEvery)
	defer t.Stop()
	ended := make(chan struct{})
	go func() { defer close(ended); c.wg.Wait() }()
	begun := time.Now()
	for {
		all, up := c.World.MachineCounts()
		fmt.Fprintf(w, "%4.0f s  clients: %s  machines: %d up, %d booting  tasks started: %d\n", time.Since(begun).Seconds(), server, up, all-up, c.World.Starts())
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-t.C:
		}
	}
}
