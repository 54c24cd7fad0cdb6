package main

import (
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

// Values of --output.
const (
	outputTable = "table" // human-readable
	outputJSON  = "json"
)

const outputUsage = "output format: table or json"

// client holds the flags that all subcommands for a running service share, and sends their requests.
type client struct {
	server string              // host:port
	output string              // one of the values of --output
	sleep  func(time.Duration) // waits between two attempts
}

// clientCommands returns the subcommands that send requests to a running service, and the check
// command, which needs none.
func clientCommands(tuningFile *string, sleep func(time.Duration)) []*cobra.Command {
	c := &client{sleep: sleep}
	commands := []*cobra.Command{
		c.submitCommand(),
		c.jobCommand("get JOB", "Show the state of a job", http.MethodGet, ""),
		c.jobCommand("abort JOB", "Cancel a job", http.MethodPost, "/abort"),
		rolloutCommands(c),
		configCommands(c),
	}
	commands = append(commands, calendarCommands(c)...)
	for _, cmd := range commands {
		cmd.PersistentFlags().StringVar(&c.server, "server", "127.0.0.1:8080", "address of a controller or of the load balancer")
		cmd.PersistentFlags().StringVar(&c.output, "output", outputTable, outputUsage)
	}
	return append(commands, checkCommand(tuningFile))
}

func (c *client) submitCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "submit FILE",
		Short: "Submit the job described in a JSON file (- for standard input)",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := encodeFile(args[0])
			if err != nil {
				return err
			}
			if _, err := job.ParseSpec(body); err != nil {
				return err
			}
			return c.showJob(cmd, http.MethodPost, "/api/jobs", body)
		},
	}
}

// jobCommand returns a command that sends a request about one job. The path of the request ends in
// the job's ID and suffix.
func (c *client) jobCommand(use, short, method, suffix string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			id := args[0]
			if !job.ValidID(id) {
				return usageError{fmt.Errorf("%q is not a valid job ID", id)}
			}
			return c.showJob(cmd, method, "/api/jobs/"+id+suffix, nil)
		},
	}
}

// checkCommand returns the command that validates settings files without a running service.
func checkCommand(tuningFile *string) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a platform settings file and the operators' settings file of --tuning",
		Args:  exactlyOne,
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := config.Load(args[0])
			if err != nil {
				return err
			}
			if _, err := config.LoadTuning(*tuningFile); err != nil {
				return err
			}
			for _, line := range settings.Warnings() {
				fmt.Fprintln(cmd.OutOrStdout(), "doubtful:", line)
			}
			fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return nil
		},
	}
}

// showJob sends a request and prints the job status in the response.
func (c *client) showJob(cmd *cobra.Command, method, path string, body []byte) error {
	var status wire.JobStatus
	if err := c.call(cmd, method, path, body, &status); err != nil {
		return err
	}
	doc := map[string]any{"uid": status.ID, "phase": status.Phase, "done": status.Done, "running": status.Running}
	if status.Notice != "" {
		doc["notice"] = status.Notice
	}
	return c.print(cmd, doc, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %s, %d tasks done, %d running\n", status.ID, status.Phase, status.Done, status.Running)
		if status.Notice != "" {
			fmt.Fprintf(w, "  notice: %s\n", status.Notice)
		}
	})
}

// print writes a response in the format that --output selects: v as JSON, or what table prints.
func (c *client) print(cmd *cobra.Command, v any, table func(io.Writer)) error {
	if err := checkOutput(c.output); err != nil {
		return usageError{err}
	}
	w := cmd.OutOrStdout()
	if c.output == outputJSON {
		return printJSON(w, v)
	}
	table(w)
	return nil
}

// checkOutput returns an error unless output is a valid value of --output.
func checkOutput(output string) error {
	if output != outputTable && output != outputJSON {
		return fmt.Errorf("--output %q is neither table nor json", output)
	}
	return nil
}

func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// stdinName is the file name argument that selects standard input.
const stdinName = "-"

// encodeFile reads a JSON object from a file and encodes it as the body of a request.
func encodeFile(path string) ([]byte, error) {
	in := io.Reader(os.Stdin)
	if path != stdinName {
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
	// encoding/json decodes every number as a float64, but the service requires an integer
	// number of tasks.
	const tasksField = "pieces"
	if n, ok := doc[tasksField].(float64); ok && n == math.Trunc(n) && n >= 0 && n <= job.MaxTasks {
		doc[tasksField] = uint64(n)
	}
	return wire.Marshal(doc)
}
