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

// demoTimeout limits the duration of the whole demonstration, which is announced as under a minute.
const demoTimeout = 58 * time.Second

// errDemoFailed is returned if a roll-out of the demonstration has an unexpected result.
var errDemoFailed = errors.New("the demonstration had an unexpected result")

// The service of the demonstration, and the jobs and images of its builds.
const (
	demoService   = "captions"
	demoReplicas  = 6
	demoBatchSize = 2
	demoJob       = "run-500"
	demoImage     = "captions-1"
	goodJob       = "run-501"
	goodImage     = "captions-2"
	badJob        = "run-502"
	badImage      = "captions-3"
	// unhealthyAfter is the run time after which a replica of the bad build becomes unhealthy.
	unhealthyAfter = 2 * time.Second
	// demoPollInterval is the time between two status requests while the service starts.
	demoPollInterval = 200 * time.Millisecond
)

// demoRolloutCommand returns the command that demonstrates a roll-out to a good build and one to a
// bad build.
func demoRolloutCommand(tuningFile *string) *cobra.Command {
	flags := emulationFlags{options: emulate.Options{Controllers: 3, MaxMachines: 24}}
	cmd := &cobra.Command{
		Use:   "rollout",
		Short: "Demonstrate a good and a bad roll-out on an emulated cluster, in under a minute",
		Long: "rollout runs a cluster as demo does, rolls a service out to a good build and then to a bad one, which becomes unhealthy\n" +
			"two seconds after it starts, and reports from the history of the emulated machines how many replicas ran each build.\n\n" + emulatedNotice,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			tuning, err := config.LoadTuning(*tuningFile)
			if err != nil {
				return err
			}
			tuning.Rollouts.Enabled = true
			flags.duration = demoTimeout
			ctx, stop := flags.runContext(cmd)
			defer stop()
			c, err := startCluster(ctx, flags.options, tuning, newLogger())
			if err != nil {
				return err
			}
			c.World.RecordHistory()
			c.World.SetImageBehavior(badImage, emulate.ImageBehavior{UnhealthyAfter: unhealthyAfter})
			err = runRolloutDemo(ctx, cmd, c, flags.options.Listen)
			return errors.Join(err, c.close())
		},
	}
	cmd.Flags().StringVar(&flags.options.Listen, "listen", "127.0.0.1:8080", "loopback address of the first controller; the others follow on the next ports")
	return cmd
}

// rolloutDemo is a running demonstration.
type rolloutDemo struct {
	*client
	cmd *cobra.Command
	out io.Writer
}

// runRolloutDemo starts the service, rolls it out to the good and to the bad build, and prints the
// report.
func runRolloutDemo(ctx context.Context, cmd *cobra.Command, c *cluster, server string) error {
	d := &rolloutDemo{
		client: &client{server: server, output: "table", sleep: contextSleep(ctx)},
		cmd:    cmd,
		out:    cmd.OutOrStdout(),
	}
	fmt.Fprintln(d.out, emulatedNotice)
	if err := d.startService(ctx); err != nil {
		return err
	}
	if err := d.rollOutTo("a good", goodJob, goodImage, rollout.Done); err != nil {
		return err
	}
	if err := d.rollOutTo("a bad", badJob, badImage, rollout.RolledBack); err != nil {
		return err
	}
	return reportRollouts(d.out, c)
}

// contextSleep returns a sleep function that returns early when the context ends.
func contextSleep(ctx context.Context) func(time.Duration) {
	return func(d time.Duration) {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// post sends a document in a POST request and decodes the response into reply.
func (d *rolloutDemo) post(path string, doc map[string]any, reply any) error {
	body, err := wire.Marshal(doc)
	if err != nil {
		return err
	}
	return d.call(d.cmd, http.MethodPost, path, body, reply)
}

// startService submits the service and waits until all its replicas run.
func (d *rolloutDemo) startService(ctx context.Context) error {
	fmt.Fprintf(d.out, "Starting a service of %d replicas.\n", demoReplicas)
	spec := map[string]any{
		"uid":          demoJob,
		"breed":        demoService,
		"owner":        "blue",
		"shape":        "daemon",
		"rank":         "standard",
		"pieces":       demoReplicas,
		"cpus":         1.0,
		"accelerators": 0.0,
		"mem_gb":       1.0,
		"reel":         demoImage,
		"image_gb":     0.4,
		"same_place":   false,
		"apart":        false,
		"loaners":      true,
		"guess_s":      0.0,
		"mark_s":       0.0,
		"stash_s":      0.0,
	}
	var job wire.JobStatus
	if err := d.post("/api/jobs", spec, &job); err != nil {
		return err
	}
	for ctx.Err() == nil && job.Running < demoReplicas {
		d.sleep(demoPollInterval)
		if err := d.call(d.cmd, http.MethodGet, "/api/jobs/"+demoJob, nil, &job); err != nil {
			return err
		}
	}
	return nil
}

// rollOutTo rolls the service out to a build and checks that the roll-out ends in state want.
func (d *rolloutDemo) rollOutTo(what, id, image string, want rollout.State) error {
	fmt.Fprintf(d.out, "\nRolling the service out to %s build, %s.\n", what, image)
	spec := map[string]any{
		"service":    demoService,
		"from":       demoJob,
		"to":         map[string]any{"uid": id, "reel": image},
		"batch":      demoBatchSize,
		"most_extra": 1,
		"ready_s":    1.0,
		"soak_s":     3.0,
		"deadline_s": 20.0,
	}
	var status rollout.Status
	if err := d.post(rolloutPath, spec, &status); err != nil {
		return err
	}
	if err := d.watchRollout(d.cmd, demoService); err != nil && !errors.Is(err, errRolloutNotDone) {
		return err
	}
	if err := d.call(d.cmd, http.MethodGet, rolloutPath+"/"+demoService, nil, &status); err != nil {
		return err
	}
	if rollout.State(status.State) != want {
		return fmt.Errorf("%w: the roll-out of %s ended as %s", errDemoFailed, image, status.State)
	}
	return nil
}

// reportRollouts prints from the history of the machines how many replicas ran each build, and
// returns an error if a number is not as expected.
func reportRollouts(w io.Writer, c *cluster) error {
	tasks := map[string]map[string]bool{} // by image, the tasks that started with it
	for _, e := range c.World.History() {
		if !e.Start {
			continue
		}
		if tasks[e.Image] == nil {
			tasks[e.Image] = map[string]bool{}
		}
		tasks[e.Image][e.Task] = true
	}
	good, bad, violations := len(tasks[goodImage]), len(tasks[badImage]), len(c.World.Violations())
	fmt.Fprintf(w, "\nReport from the history of the emulated machines:\n")
	fmt.Fprintf(w, "  replicas that ran the good build: %d of %d\n", good, demoReplicas)
	fmt.Fprintf(w, "  replicas that ran the bad build: %d, in a batch of at most %d\n", bad, demoBatchSize)
	fmt.Fprintf(w, "  invariant violations: %d\n", violations)
	if good != demoReplicas || bad > demoBatchSize || violations > 0 {
		return errDemoFailed
	}
	return nil
}
