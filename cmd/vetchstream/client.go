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

// clientCommands are the subcommands that talk to a running service.
func clientCommands(tuning *string, pause func(time.Duration)) []*cobra.Command {
	var server string
	one := func(cmd *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(1)(cmd, args); err != nil {
			return usageError{err}
		}
		return nil
	}
	submit := &cobra.Command{
		Use: "submit FILE", Short: "Submit a job described in a JSON file (- for standard input)", Args: one,
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readJSON(args[0])
			if err != nil {
				return err
			}
			body, err := wire.Marshal(doc)
			if err != nil {
				return err
			}
			if _, err := job.ParseSpec(body); err != nil {
				return err
			}
			return call(cmd, pause, http.MethodPost, server, "/api/jobs", body)
		},
	}
	get := &cobra.Command{
		Use: "get JOB", Short: "Show a job's state", Args: one,
		RunE: func(cmd *cobra.Command, args []string) error {
			if !job.ValidID(args[0]) {
				return usageError{fmt.Errorf("%q is not a job id", args[0])}
			}
			return call(cmd, pause, http.MethodGet, server, "/api/jobs/"+args[0], nil)
		},
	}
	abort := &cobra.Command{
		Use: "abort JOB", Short: "Cancel a job", Args: one,
		RunE: func(cmd *cobra.Command, args []string) error {
			if !job.ValidID(args[0]) {
				return usageError{fmt.Errorf("%q is not a job id", args[0])}
			}
			return call(cmd, pause, http.MethodPost, server, "/api/jobs/"+args[0]+"/abort", nil)
		},
	}
	for _, c := range []*cobra.Command{submit, get, abort} {
		c.Flags().StringVar(&server, "server", "127.0.0.1:8080", "address of a controller or of the load balancer")
	}
	check := &cobra.Command{
		Use: "check FILE", Short: "Check a platform settings file, and the operators' settings of --tuning", Args: one,
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := config.Load(args[0]); err != nil {
				return err
			}
			if _, err := config.LoadTuning(*tuning); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		},
	}
	return []*cobra.Command{submit, get, abort, check}
}

func readJSON(path string) (map[string]any, error) {
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
	return doc, nil
}

// tries and callTime bound a client command.
const (
	tries    = 20
	callTime = 5 * time.Second
)

// call makes a request and repeats it while the service asks for patience.
func call(cmd *cobra.Command, pause func(time.Duration), method, server, path string, body []byte) error {
	hc := &http.Client{Timeout: callTime}
	for try := 1; ; try++ {
		status, wait, out, err := once(cmd.Context(), hc, method, "http://"+server+path, body)
		if err == nil && (status == http.StatusOK || status == http.StatusCreated) {
			enc := json.NewEncoder(cmd.OutOrStdout())
			enc.SetIndent("", "  ")
			return enc.Encode(out)
		}
		if err == nil && status >= 400 && status < 500 && status != http.StatusTooManyRequests {
			return fmt.Errorf("%s: %v", http.StatusText(status), out["error"])
		}
		if try == tries {
			if err != nil {
				return err
			}
			return fmt.Errorf("gave up: %s: %v", http.StatusText(status), out["error"])
		}
		pause(wait)
	}
}

func once(ctx context.Context, hc *http.Client, method, url string, body []byte) (status int, wait time.Duration, out map[string]any, err error) {
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
	b, err := io.ReadAll(io.LimitReader(res.Body, 4*wire.MaxBody))
	if err != nil {
		return 0, wait, nil, err
	}
	if len(b) > 0 {
		if err := wire.Unmarshal(b, &out); err != nil {
			return 0, wait, nil, err
		}
	}
	return res.StatusCode, wait, out, nil
}
