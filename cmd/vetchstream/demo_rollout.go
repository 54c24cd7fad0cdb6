package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/rollout"
	"vetchstream/internal/wire"
)

// demoTime bounds the whole demonstration.
const demoTime = 58 * time.Second

// errDemo marks a demonstration that did not go as it should.
var errDemo = errors.New("the demonstration did not go as it should")

// The service of the demonstration and its builds.
const (
	demoService = "captions"
	demoJob     = "run-500"
	goodJob     = "run-501"
	badJob      = "run-502"
	badImage    = "captions-3"
	demoCopies  = 6
)

func demoRollout(tuning *string) *cobra.Command {
	em := emulation{options: emulate.Options{Nodes: 3, Machines: 24}}
	cmd := &cobra.Command{
		Use: "rollout", Short: "Show a good and a bad roll-out on an emulated cluster, in under a minute", Args: noArgs,
		Long: "rollout runs a cluster as demo does, rolls a service out to a good build and then to a bad one, which turns unhealthy\ntwo seconds after it starts, and reports from the emulated machines' own history which build ran where.\n\n" + gone,
		RunE: func(cmd *cobra.Command, _ []string) error {
			tun, err := config.LoadTuning(*tuning)
			if err != nil {
				return err
			}
			tun.Rollouts.Enabled = true
			em.length = demoTime
			ctx, stop := em.until(cmd)
			defer stop()
			c, err := launch(ctx, em.options, tun, logger())
			if err != nil {
				return err
			}
			c.World.Keep()
			c.World.Behave(badImage, emulate.Image{BadAfter: 2 * time.Second})
			err = playRollouts(ctx, cmd, c, em.options.Listen)
			return errors.Join(err, c.close())
		},
	}
	cmd.Flags().StringVar(&em.options.Listen, "listen", "127.0.0.1:8080", "loopback address of the first controller; the others follow on the next ports")
	return cmd
}

// playRollouts plays the demonstration and reports on it.
func playRollouts(ctx context.Context, cmd *cobra.Command, c *cluster, server string) error {
	w := cmd.OutOrStdout()
	fmt.Fprintln(w, gone)
	pause := func(d time.Duration) {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	cl := &client{server: server, output: "table", pause: pause}
	post := func(path string, doc map[string]any, out any) error {
		b, err := wire.Marshal(doc)
		if err != nil {
			return err
		}
		return cl.call(cmd, http.MethodPost, path, b, out)
	}
	var job wire.Status
	fmt.Fprintf(w, "A service of %d replicas starts.\n", demoCopies)
	if err := post("/api/jobs", map[string]any{"uid": demoJob, "breed": "captions", "owner": "blue", "shape": "daemon", "rank": "standard", "pieces": demoCopies,
		"cpus": 1.0, "accelerators": 0.0, "mem_gb": 1.0, "reel": "captions-1", "image_gb": 0.4, "same_place": false, "apart": false, "loaners": true,
		"guess_s": 0.0, "mark_s": 0.0, "stash_s": 0.0}, &job); err != nil {
		return err
	}
	for ctx.Err() == nil && job.Running < demoCopies {
		pause(200 * time.Millisecond)
		if err := cl.call(cmd, http.MethodGet, "/api/jobs/"+demoJob, nil, &job); err != nil {
			return err
		}
	}
	roll := func(what, id, image string, want rollout.State) error {
		fmt.Fprintf(w, "\nIt is rolled out to %s build %s.\n", what, image)
		var s rollout.Status
		err := post("/api/rollouts", map[string]any{"service": demoService, "from": demoJob, "to": map[string]any{"uid": id, "reel": image},
			"batch": 2, "most_extra": 1, "ready_s": 1.0, "soak_s": 3.0, "deadline_s": 20.0}, &s)
		if err != nil {
			return err
		}
		if err := cl.watch(cmd, demoService); err != nil && !errors.Is(err, errNotDone) {
			return err
		}
		if err := cl.call(cmd, http.MethodGet, "/api/rollouts/"+demoService, nil, &s); err != nil {
			return err
		}
		if rollout.State(s.State) != want {
			return fmt.Errorf("%w: %s is %s", errDemo, image, s.State)
		}
		return nil
	}
	if err := roll("a good", goodJob, "captions-2", rollout.Done); err != nil {
		return err
	}
	if err := roll("a bad", badJob, badImage, rollout.RolledBack); err != nil {
		return err
	}
	return reportRollouts(w, c)
}

// reportRollouts tells from the machines' history which build ran where.
func reportRollouts(w io.Writer, c *cluster) error {
	copies := map[string]map[string]bool{}
	for _, e := range c.World.History() {
		if e.Start {
			if copies[e.Image] == nil {
				copies[e.Image] = map[string]bool{}
			}
			copies[e.Image][e.Task] = true
		}
	}
	fmt.Fprintf(w, "\nReport, from the emulated machines' history:\n  the good build ran as %d of %d replicas\n  the bad build ran as %d, in a batch of at most 2\n  broken rules: %d\n",
		len(copies["captions-2"]), demoCopies, len(copies[badImage]), len(c.World.Broken()))
	if len(copies["captions-2"]) != demoCopies || len(copies[badImage]) > 2 || len(c.World.Broken()) > 0 {
		return errDemo
	}
	return nil
}
