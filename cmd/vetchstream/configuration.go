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

const configPath = "/api/config"

// configCommands are the commands for the configuration of several regions.
func configCommands(c *client) *cobra.Command {
	group := &cobra.Command{Use: "config", Short: "Change teams and quotas while the regions serve",
		Long: "Change teams and quotas while the regions serve. See docs/configuration.md.", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			return usageError{errors.New("one of apply, show, status, history and rollback is needed")}
		}}
	var dry bool
	apply := &cobra.Command{Use: "apply FILE", Short: "Make the change described in a JSON file (- for standard input)", Args: one,
		RunE: func(cmd *cobra.Command, args []string) error { return c.applyConfig(cmd, args[0], dry) }}
	rollback := &cobra.Command{Use: "rollback REVISION", Short: "Take back all that came after a revision, as a change of its own", Args: one,
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := strconv.ParseUint(args[0], 10, 64); err != nil {
				return usageError{fmt.Errorf("%q is not a revision", args[0])}
			}
			return c.changeConfig(cmd, configPath+"/rollback/"+args[0], nil, dry)
		}}
	for _, cmd := range []*cobra.Command{apply, rollback} {
		cmd.Flags().BoolVar(&dry, "dry-run", false, "only say whether the change would be taken")
	}
	group.AddCommand(apply, rollback,
		&cobra.Command{Use: "history", Short: "Show the changes that are kept, the last one first", Args: noArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return c.configHistory(cmd) }},
		&cobra.Command{Use: "show", Short: "Show the teams as configured, and what each region is told", Args: noArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return c.showConfig(cmd) }},
		&cobra.Command{Use: "status", Short: "Show how far each region is, and what waits for whom", Args: noArgs,
			RunE: func(cmd *cobra.Command, _ []string) error { return c.configStatus(cmd) }})
	return group
}

// applyConfig makes a change, or only checks it.
func (c *client) applyConfig(cmd *cobra.Command, file string, dry bool) error {
	body, err := encodeFile(file)
	if err != nil {
		return err
	}
	if _, err := dynconfig.ParseChange(body); err != nil {
		return usageError{err}
	}
	return c.changeConfig(cmd, configPath, body, dry)
}

// changeConfig asks for a change and shows its revision.
func (c *client) changeConfig(cmd *cobra.Command, path string, body []byte, dry bool) error {
	if dry {
		path += "?dry_run=true"
	}
	var answer struct {
		Revision uint64 `codec:"revision" json:"revision"`
		Dry      bool   `codec:"dry_run" json:"dry_run,omitempty"`
	}
	if err := c.call(cmd, http.MethodPost, path, body, &answer); err != nil {
		return err
	}
	return c.print(cmd, answer, func(w io.Writer) {
		if answer.Dry {
			fmt.Fprintf(w, "the change would be taken as revision %d\n", answer.Revision)
			return
		}
		fmt.Fprintf(w, "revision %d is stored; config status tells where it is in force\n", answer.Revision)
	})
}

// configHistory shows the changes that are kept.
func (c *client) configHistory(cmd *cobra.Command) error {
	var all struct {
		Changes []dynconfig.HistorySummary `codec:"changes" json:"changes"`
	}
	if err := c.call(cmd, http.MethodGet, configPath+"/history", nil, &all); err != nil {
		return err
	}
	return c.print(cmd, all, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		fmt.Fprintln(t, "REVISION\tAT\tTEAMS")
		for _, p := range all.Changes {
			teams := strings.Join(p.Teams, " ")
			if more := p.Count - len(p.Teams); more > 0 {
				teams += fmt.Sprintf(" and %d more", more)
			}
			fmt.Fprintf(t, "%d\t%s\t%s\n", p.Revision, time.UnixMilli(p.At).UTC().Format(time.RFC3339), teams)
		}
		_ = t.Flush()
	})
}

// showConfig shows all pages of the teams.
func (c *client) showConfig(cmd *cobra.Command) error {
	type page struct {
		Revision uint64                 `codec:"revision" json:"revision"`
		Teams    []dynconfig.TeamStatus `codec:"teams" json:"teams"`
		More     bool                   `codec:"more" json:"-"`
	}
	all := page{Teams: []dynconfig.TeamStatus{}}
	for after := ""; ; {
		var p page
		if err := c.call(cmd, http.MethodGet, configPath+"?after="+url.QueryEscape(after), nil, &p); err != nil {
			return err
		}
		all.Revision, all.Teams = p.Revision, append(all.Teams, p.Teams...)
		if !p.More || len(p.Teams) == 0 {
			break
		}
		after = p.Teams[len(p.Teams)-1].Name
	}
	return c.print(cmd, all, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d\n", all.Revision)
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		fmt.Fprintln(t, "TEAM\tREVISION\tLIMIT\tREGION\tPART\tGUARANTEE\tTOLD\tHELD")
		for _, team := range all.Teams {
			name := team.Name
			if team.Removed {
				name += " (removed)"
			}
			for _, region := range slices.Sorted(maps.Keys(team.Regions)) {
				p := team.Regions[region]
				fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n", name, team.Revision, quotaText(team.Limit), region,
					quotaText(p.Limit), quotaText(p.Guarantee), quotaText(p.Granted), quotaText(p.Held))
			}
		}
		_ = t.Flush()
	})
}

// configStatus shows how far the regions are.
func (c *client) configStatus(cmd *cobra.Command) error {
	var s dynconfig.Status
	if err := c.call(cmd, http.MethodGet, configPath+"/status", nil, &s); err != nil {
		return err
	}
	return c.print(cmd, s, func(w io.Writer) {
		fmt.Fprintf(w, "revision %d\n", s.Revision)
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		fmt.Fprintln(t, "REGION\tREVISION\tFOR\tBEHIND\tHEARD\tWAITING TEAMS")
		for _, r := range s.Regions {
			heard := "never by this leader"
			if r.SilentS >= 0 {
				heard = fmt.Sprintf("%.1f s ago", r.SilentS)
			}
			fmt.Fprintf(t, "%s\t%d\t%.0f s\t%d\t%s\t%d\n", r.Region, r.Revision, r.InForceS, r.Behind, heard, r.PendingCount)
		}
		_ = t.Flush()
		for _, r := range s.Regions {
			for _, x := range r.Pending {
				fmt.Fprintf(w, "%s of %s has %s, is to have %s, waits for %s\n", x.Team, r.Region, quotaText(x.InForce), quotaText(x.Target), strings.Join(x.BlockedBy, ", "))
			}
		}
	})
}

// quotaText is a quota for people.
func quotaText(q dynconfig.Quota) string {
	one := func(v *float64) string {
		if v == nil {
			return "any"
		}
		return fmt.Sprintf("%g", *v)
	}
	return one(q.CPUs) + "/" + one(q.GPUs)
}
