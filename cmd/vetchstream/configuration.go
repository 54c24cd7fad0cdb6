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

// configRoute is the path prefix of the service's configuration routes.
const configRoute = "/api/config"

// configCommands returns the commands that change and show the configuration shared by the regions.
func configCommands(c *client) *cobra.Command {
	group := &cobra.Command{
		Use:   "config",
		Short: "Change teams and quotas of all regions at run time",
		Long:  "Change teams and quotas of all regions at run time. See docs/configuration.md.",
		Args:  noArgs,
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("missing subcommand: one of apply, show, status, history and rollback is needed")}
		},
	}
	var dryRun bool
	apply := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply the change described in a JSON file (- for standard input)",
		Args:  exactlyOne,
		RunE:  func(cmd *cobra.Command, args []string) error { return c.applyConfig(cmd, args[0], dryRun) },
	}
	rollback := &cobra.Command{
		Use:   "rollback REVISION",
		Short: "Revert all changes after a revision, in a new revision",
		Args:  exactlyOne,
		RunE:  func(cmd *cobra.Command, args []string) error { return c.rollbackConfig(cmd, args[0], dryRun) },
	}
	for _, cmd := range []*cobra.Command{apply, rollback} {
		cmd.Flags().BoolVar(&dryRun, "dry-run", false, "validate the change without storing it")
	}
	history := &cobra.Command{
		Use:   "history",
		Short: "Show the retained changes, latest first",
		Args:  noArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.configHistory(cmd) },
	}
	show := &cobra.Command{
		Use:   "show",
		Short: "Show the configured teams and the quotas granted to each region",
		Args:  noArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.showConfig(cmd) },
	}
	status := &cobra.Command{
		Use:   "status",
		Short: "Show the revision in force in each region, and the changes that are pending",
		Args:  noArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return c.configStatus(cmd) },
	}
	group.AddCommand(apply, rollback, history, show, status)
	return group
}

// applyConfig applies the change described in a file, or validates it if dryRun is set.
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

// rollbackConfig reverts all changes after a revision, or checks that this is possible if dryRun is
// set.
func (c *client) rollbackConfig(cmd *cobra.Command, revision string, dryRun bool) error {
	if _, err := strconv.ParseUint(revision, 10, 64); err != nil {
		return usageError{fmt.Errorf("%q is not a revision number", revision)}
	}
	return c.requestConfigChange(cmd, configRoute+"/rollback/"+revision, nil, dryRun)
}

// requestConfigChange sends a change to the service and prints the new revision.
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
			fmt.Fprintf(w, "the change is valid and would be stored as revision %d\n", answer.Revision)
			return
		}
		fmt.Fprintf(w, "revision %d is stored; use config status to see in which regions it is in force\n", answer.Revision)
	})
}

// configHistory prints the retained changes, latest first.
func (c *client) configHistory(cmd *cobra.Command) error {
	var history struct {
		Changes []dynconfig.HistorySummary `codec:"changes" json:"changes"`
	}
	if err := c.call(cmd, http.MethodGet, configRoute+"/history", nil, &history); err != nil {
		return err
	}
	return c.print(cmd, history, func(w io.Writer) {
		table := newTable(w)
		fmt.Fprintln(table, "REVISION\tAT\tTEAMS")
		for _, change := range history.Changes {
			teams := strings.Join(change.Teams, " ")
			if more := change.Count - len(change.Teams); more > 0 {
				teams += fmt.Sprintf(" and %d more", more)
			}
			at := time.UnixMilli(change.At).UTC().Format(time.RFC3339)
			fmt.Fprintf(table, "%d\t%s\t%s\n", change.Revision, at, teams)
		}
		_ = table.Flush()
	})
}

// configPage is one page of the configured teams, sorted by name.
type configPage struct {
	Revision uint64                 `codec:"revision" json:"revision"`
	Teams    []dynconfig.TeamStatus `codec:"teams" json:"teams"`
	More     bool                   `codec:"more" json:"-"` // more pages follow
}

// showConfig prints all teams and their quotas in each region.
func (c *client) showConfig(cmd *cobra.Command) error {
	all, err := c.allTeams(cmd)
	if err != nil {
		return err
	}
	return c.print(cmd, all, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d\n", all.Revision)
		table := newTable(w)
		fmt.Fprintln(table, "TEAM\tREVISION\tLIMIT\tREGION\tPART\tGUARANTEE\tTOLD\tHELD")
		for i := range all.Teams {
			printTeam(table, &all.Teams[i])
		}
		_ = table.Flush()
	})
}

// allTeams requests all pages of the configured teams and merges them into one.
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

// printTeam prints one table row for each region of a team.
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

// configStatus prints the revision in force in each region, and the teams whose changes are pending
// with the regions that block them.
func (c *client) configStatus(cmd *cobra.Command) error {
	var status dynconfig.Status
	if err := c.call(cmd, http.MethodGet, configRoute+"/status", nil, &status); err != nil {
		return err
	}
	return c.print(cmd, status, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d\n", status.Revision)
		table := newTable(w)
		fmt.Fprintln(table, "REGION\tREVISION\tFOR\tBEHIND\tHEARD\tWAITING TEAMS")
		for _, r := range status.Regions {
			lastContact := "none since this leader took over"
			if r.SilentS >= 0 {
				lastContact = fmt.Sprintf("%.1f s ago", r.SilentS)
			}
			fmt.Fprintf(table, "%s\t%d\t%.0f s\t%d\t%s\t%d\n", r.Region, r.Revision, r.InForceS, r.Behind, lastContact, r.PendingCount)
		}
		_ = table.Flush()
		for _, r := range status.Regions {
			for _, pending := range r.Pending {
				fmt.Fprintf(w, "%s in %s: quota %s, target %s, blocked by %s\n", pending.Team, r.Region,
					formatQuota(pending.InForce), formatQuota(pending.Target), strings.Join(pending.BlockedBy, ", "))
			}
		}
	})
}

// newTable returns a writer that aligns tab-separated columns. The caller must flush it.
func newTable(w io.Writer) *tabwriter.Writer {
	const minWidth, tabWidth, padding = 0, 4, 2
	return tabwriter.NewWriter(w, minWidth, tabWidth, padding, ' ', 0)
}

// formatQuota formats a quota as "CPUS/GPUS".
func formatQuota(q dynconfig.Quota) string {
	return formatLimit(q.CPUs) + "/" + formatLimit(q.GPUs)
}

// formatLimit formats a limit; it returns "any" if the amount is unlimited.
func formatLimit(amount *float64) string {
	if amount == nil {
		return "any"
	}
	return fmt.Sprintf("%g", *amount)
}
