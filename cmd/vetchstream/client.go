package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"vetchstream/internal/config"
	"vetchstream/internal/job"
	"vetchstream/internal/wire"
)

// client is what the subcommands that talk to a running service share.
type client struct {
	server string
	output string
	pause  func(time.Duration)
}

// one wants exactly one argument.
func one(cmd *cobra.Command, args []string) error {
	if err := cobra.ExactArgs(1)(cmd, args); err != nil {
		return usageError{err}
	}
	return nil
}

// clientCommands are the subcommands that talk to a running service.
func clientCommands(tuning *string, pause func(time.Duration)) []*cobra.Command {
	c := &client{pause: pause}
	aboutJob := func(use, short, method, suffix string) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: one, RunE: func(cmd *cobra.Command, args []string) error {
			if !job.ValidID(args[0]) {
				return usageError{fmt.Errorf("%q is not a job id", args[0])}
			}
			return c.job(cmd, method, "/api/jobs/"+args[0]+suffix, nil)
		}}
	}
	submit := &cobra.Command{
		Use: "submit FILE", Short: "Submit a job described in a JSON file (- for standard input)", Args: one,
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := encodeFile(args[0])
			if err != nil {
				return err
			}
			if _, err := job.ParseSpec(body); err != nil {
				return err
			}
			return c.job(cmd, http.MethodPost, "/api/jobs", body)
		},
	}
	talk := []*cobra.Command{submit, aboutJob("get JOB", "Show a job's state", http.MethodGet, ""),
		aboutJob("abort JOB", "Cancel a job", http.MethodPost, "/abort"), rolloutCommands(c), configCommands(c)}
	talk = append(talk, calendarCommands(c)...)
	for _, cmd := range talk {
		cmd.PersistentFlags().StringVar(&c.server, "server", "127.0.0.1:8080", "address of a controller or of the load balancer")
		cmd.PersistentFlags().StringVar(&c.output, "output", "table", "how to print: table, for people, or json")
	}
	check := &cobra.Command{
		Use: "check FILE", Short: "Check a platform settings file, and the operators' settings of --tuning", Args: one,
		RunE: func(cmd *cobra.Command, args []string) error {
			set, err := config.Load(args[0])
			if err != nil {
				return err
			}
			if _, err := config.LoadTuning(*tuning); err != nil {
				return err
			}
			for _, line := range set.Warnings() {
				fmt.Fprintln(cmd.OutOrStdout(), "doubtful:", line)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		},
	}
	return append(talk, check)
}

// job makes a request and shows the job that it answers with.
func (c *client) job(cmd *cobra.Command, method, path string, body []byte) error {
	var s wire.JobStatus
	if err := c.call(cmd, method, path, body, &s); err != nil {
		return err
	}
	doc := map[string]any{"uid": s.ID, "phase": s.Phase, "done": s.Done, "running": s.Running}
	if s.Notice != "" {
		doc["notice"] = s.Notice
	}
	return c.print(cmd, doc, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s, %d tasks done, %d running\n", s.ID, s.Phase, s.Done, s.Running)
		if s.Notice != "" {
			fmt.Fprintf(w, "  notice: %s\n", s.Notice)
		}
	})
}

// print shows an answer as the user wants it.
func (c *client) print(cmd *cobra.Command, v any, table func(io.Writer)) error {
	switch c.output {
	case "table":
		table(cmd.OutOrStdout())
		return nil
	case "json":
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	return usageError{fmt.Errorf("--output %q is neither table nor json", c.output)}
}

// encodeFile reads a JSON document (- for standard input) and encodes it as a
// request's body.
func encodeFile(path string) ([]byte, error) {
	in := io.Reader(os.Stdin)
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	var doc map[string]any
	if err := json.NewDecoder(in).Decode(&doc); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	// JSON has one kind of number; counts go out as integers.
	for k, v := range doc {
		if f, ok := v.(float64); ok && k == "pieces" && f == math.Trunc(f) && f >= 0 && f <= job.MaxTasks {
			doc[k] = uint64(f)
		}
	}
	return wire.Marshal(doc)
}

// tries and callTime bound a client command.
const (
	tries    = 20
	callTime = 5 * time.Second
)

// call makes a request, repeats it while the service asks for patience, and reads
// the answer.
func (c *client) call(cmd *cobra.Command, method, path string, body []byte, out any) error {
	if c.output != "table" && c.output != "json" {
		return usageError{fmt.Errorf("--output %q is neither table nor json", c.output)}
	}
	hc := &http.Client{Timeout: callTime}
	for try := 1; ; try++ {
		status, wait, answer, err := once(cmd.Context(), hc, method, "http://"+c.server+path, body)
		if err == nil && (status == http.StatusOK || status == http.StatusCreated) {
			return wire.Unmarshal(answer, out)
		}
		var refusal wire.Error
		if err == nil {
			_ = wire.Unmarshal(answer, &refusal) // a refusal may have no body
			err = fmt.Errorf("%s: %s", http.StatusText(status), refusal.Error)
			if status >= 400 && status < 500 && status != http.StatusTooManyRequests {
				return err
			}
		}
		if try == tries {
			return fmt.Errorf("gave up: %w", err)
		}
		c.pause(wait)
	}
}

// once makes a request once, and says when to come back.
func once(ctx context.Context, hc *http.Client, method, url string, body []byte) (status int, wait time.Duration, answer []byte, err error) {
	wait = time.Second
	if ctx == nil {
		ctx = context.Background()
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, wait, nil, err
	}
	req.Header.Set("Content-Type", wire.ContentType)
	res, err := hc.Do(req)
	if err != nil {
		return 0, wait, nil, err
	}
	defer res.Body.Close()
	if d, perr := time.ParseDuration(res.Header.Get("Retry-After") + "s"); perr == nil && d > 0 && d <= 30*time.Second {
		wait = d
	}
	answer, err = io.ReadAll(io.LimitReader(res.Body, 16*wire.MaxBody))
	return res.StatusCode, wait, answer, err
}
