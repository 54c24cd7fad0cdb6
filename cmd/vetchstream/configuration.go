package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"vetchstream/internal/dynconfig"
)

// configRoute is the path of the service's routes for the configuration.
const configRoute = "/api/config"

// configCommands returns the commands for the configuration of several regions.
func configCommands(c *client) *cobra.Command {
	group := &cobra.Command{
		Use:   "config",
		Short: "Change teams and quotas while the regions serve",
		Long:  "Change teams and quotas while the regions serve. See docs/configuration.md.",
		Args:  noArgs,
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("one of apply, show, status, history and rollback is needed")}
		},
	}
	var dryRun bool
	apply := &cobra.Command{
		Use:   "apply FILE",
		Short: "Make the change described in a JSON file (- for standard input)",
		Args:  exactlyOne,
		RunE:  func(cmd *cobra.Command, args []string) error { return c.applyConfig(cmd, args[0], dryRun) },
	}
	rollback := &cobra.Command{
		Use:   "rollback REVISION",
		Short: "Take back all that came after a revision, as a change of its own",
		Args:  exactlyOne,
		RunE:  func(cmd *cobra.Command, args []string) error { return c.rollbackConfig(cmd, args[0], dryRun) },
	}
	for _, cmd := range []*cobra.Command{apply, rollback} {
		cmd.Flags().BoolVar(&dryRun, "dry-run", false, "only say whether the change would be taken")
	}
	history := &cobra.Command{
		Use:   "history",
		Short: "Show the changes that are kept, the last one first",
		Args:  noArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.configHistory(cmd) },
	}
	show := &cobra.Command{
		Use:   "show",
		Short: "Show the teams as configured, and what each region is told",
		Args:  noArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.showConfig(cmd) },
	}
	status := &cobra.Command{
		Use:   "status",
		Short: "Show how far each region is, and what waits for whom",
		Args:  noArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.configStatus(cmd) },
	}
	group.AddCommand(apply, rollback, history, show, status)
	return group
}

// applyConfig makes the change described in a file, or only checks it.
func (c *client) applyConfig(cmd *cobra.Command, file string, dryRun bool) error {
	body, err := encodeFile(file)
	if err != nil {
		return err
	}
	if _, err := dynconfig.ParseChange(body); err != nil {
		return usageError{err}
	}
	return c.requestConfigChange(cmd, configRoute, body, dryRun)
}

// rollbackConfig takes back all changes after a revision, or only checks whether it can.
func (c *client) rollbackConfig(cmd *cobra.Command, revision string, dryRun bool) error {
	if _, err := strconv.ParseUint(revision, 10, 64); err != nil {
		return usageError{fmt.Errorf("%q is not a revision", revision)}
	}
	return c.requestConfigChange(cmd, configRoute+"/rollback/"+revision, nil, dryRun)
}

// requestConfigChange requests a change and prints its revision.
func (c *client) requestConfigChange(cmd *cobra.Command, path string, body []byte, dryRun bool) error {
	if dryRun {
		path += "?dry_run=true"
	}
	var answer struct {
		Revision uint64 `codec:"revision" json:"revision"`
		DryRun   bool   `codec:"dry_run" json:"dry_run,omitempty"`
	}
	if err := c.call(cmd, http.MethodPost, path, body, &answer); err != nil {
		return err
	}
	return c.print(cmd, answer, func(w io.Writer) {
		if answer.DryRun {
			fmt.Fprintf(w, "the change would be taken as revision %d\n", answer.Revision)
			return
		}
		fmt.Fprintf(w, "revision %d is stored; config status tells where it is in force\n", answer.Revision)
	})
}

// configHistory prints the changes that are retained, the last one first.
func (c *client) configHistory(cmd *cobra.Command) error {
	var history struct {
		Changes []dynconfig.HistorySummary `codec:"changes" json:"changes"`
	}
	if err := c.call(cmd, http.MethodGet, configRoute+"/history", nil, &history); err != nil {
		return err
	}
	return c.print(cmd, history, func(w io.Writer) {
		t := newTable(w)
		fmt.Fprintln(t, "REVISION\tAT\tTEAMS")
		for _, change := range history.Changes {
			teams := strings.Join(change.Teams, " ")
			if more := change.Count - len(change.Teams); more > 0 {
				teams += fmt.Sprintf(" and %d more", more)
			}
			at := time.UnixMilli(change.At).UTC().Format(time.RFC3339)
			fmt.Fprintf(t, "%d\t%s\t%s\n", change.Revision, at, teams)
		}
		_ = t.Flush()
	})
}

// configPage is a page of the configured teams, by name.
type configPage struct {
	Revision uint64                 `codec:"revision" json:"revision"`
	Teams    []dynconfig.TeamStatus `codec:"teams" json:"teams"`
	More     bool                   `codec:"more" json:"-"` // the list goes on after this page
}

// showConfig prints all teams.
func (c *client) showConfig(cmd *cobra.Command) error {
	all, err := c.allTeams(cmd)
	if err != nil {
		return err
	}
	return c.print(cmd, all, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d\n", all.Revision)
		t := newTable(w)
		fmt.Fprintln(t, "TEAM\tREVISION\tLIMIT\tREGION\tPART\tGUARANTEE\tTOLD\tHELD")
		for i := range all.Teams {
			printTeam(t, &all.Teams[i])
		}
		_ = t.Flush()
	})
}

// allTeams reads all pages of the teams and joins them.
func (c *client) allTeams(cmd *cobra.Command) (configPage, error) {
	all := configPage{Teams: []dynconfig.TeamStatus{}}
	for after := ""; ; {
		var page configPage
		if err := c.call(cmd, http.MethodGet, configRoute+"?after="+url.QueryEscape(after), nil, &page); err != nil {
			return configPage{}, err
		}
		all.Revision = page.Revision
		all.Teams = append(all.Teams, page.Teams...)
		if !page.More || len(page.Teams) == 0 {
			return all, nil
		}
		after = page.Teams[len(page.Teams)-1].Name
	}
}

// printTeam prints a line for each region of a team.
func printTeam(w io.Writer, team *dynconfig.TeamStatus) {
	name := team.Name
	if team.Removed {
		name += " (removed)"
	}
	for _, region := range slices.Sorted(maps.Keys(team.Regions)) {
		part := team.Regions[region]
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", name, team.Revision, formatQuota(team.Limit), region,
			formatQuota(part.Limit), formatQuota(part.Guarantee), formatQuota(part.Granted), formatQuota(part.Held))
	}
}

// configStatus prints which revision is in force in each region, and what it waits for.
func (c *client) configStatus(cmd *cobra.Command) error {
	var s dynconfig.Status
	if err := c.call(cmd, http.MethodGet, configRoute+"/status", nil, &s); err != nil {
		return err
	}
	return c.print(cmd, s, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d\n", s.Revision)
		t := newTable(w)
		fmt.Fprintln(t, "REGION\tREVISION\tFOR\tBEHIND\tHEARD\tWAITING TEAMS")
		for _, r := range s.Regions {
			lastContact := "never by this leader"
			if r.SilentS >= 0 {
				lastContact = fmt.Sprintf("%.1f s ago", r.SilentS)
			}
			fmt.Fprintf(t, "%s\t%d\t%.0f s\t%d\t%s\t%d\n", r.Region, r.Revision, r.InForceS, r.Behind, lastContact, r.PendingCount)
		}
		_ = t.Flush()
		for _, r := range s.Regions {
			for _, wait := range r.Pending {
				fmt.Fprintf(w, "%s of %s has %s, is to have %s, waits for %s\n", wait.Team, r.Region,
					formatQuota(wait.InForce), formatQuota(wait.Target), strings.Join(wait.BlockedBy, ", "))
			}
		}
	})
}

// newTable returns a writer that aligns columns separated by tabs. It must be flushed.
func newTable(w io.Writer) *tabwriter.Writer {
	const minWidth, tabWidth, padding = 0, 4, 2
	return tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)
}

// formatQuota returns a quota as "CPUS/GPUS".
func formatQuota(q dynconfig.Quota) string {
	return formatLimit(q.CPUs) + "/" + formatLimit(q.GPUs)
}

// formatLimit returns an amount, or "any" if it is not limited.
func formatLimit(amount *float64) string {
	if amount == nil {
		return "any"
	}
	return fmt.Sprintf("%g", *amount)
}
