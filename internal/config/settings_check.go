package config

import (
	"fmt"
	"math"
	"net"
	"slices"
)

// FieldError reports a missing or invalid setting of the platform's file.
type FieldError struct {
	Field  string // path of the field, such as "facts.workers.lease_s"
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return "settings: " + e.Field + ": " + e.Reason }

// Reasons that several field errors share.
const (
	reasonMissing     = "missing"
	reasonDuplicate   = "missing or duplicate"
	reasonNotPositive = "missing or not a finite number above 0"
)

// minTxnOps is the number of puts and deletes in the transaction that ends a job.
const minTxnOps = 2

// validate returns a *FieldError for the first setting with which a controller cannot run.
func (s *Settings) validate() error {
	if s.Member == "" {
		return &FieldError{"member", reasonMissing}
	}
	if err := s.validateAddresses(); err != nil {
		return err
	}
	if err := s.validateSiblings(); err != nil {
		return err
	}
	if len(s.Facts.Zones) == 0 {
		return &FieldError{"facts.zones", reasonMissing}
	}
	if err := validateTeams(s.Facts.Teams); err != nil {
		return err
	}
	if err := s.Facts.validateNumbers(); err != nil {
		return err
	}
	return s.Facts.validateRelations()
}

func (s *Settings) validateAddresses() error {
	for _, a := range []struct{ field, address string }{
		{"listen", s.Listen},
		{"peer_listen", s.PeerListen},
		{"outside.cloud", s.External.Cloud},
		{"outside.state", s.External.State},
	} {
		if err := validateAddress(a.field, a.address); err != nil {
			return err
		}
	}
	return nil
}

func validateAddress(field, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return &FieldError{field, fmt.Sprintf("%q is not host:port", address)}
	}
	return nil
}

func (s *Settings) validateSiblings() error {
	seen := map[string]bool{s.Member: true}
	for i, sibling := range s.Siblings {
		field := fmt.Sprintf("siblings[%d]", i)
		if sibling.Member == "" || seen[sibling.Member] {
			return &FieldError{field + ".member", reasonDuplicate}
		}
		seen[sibling.Member] = true
		if err := validateAddress(field+".address", sibling.Address); err != nil {
			return err
		}
	}
	return nil
}

func validateTeams(teams []Team) error {
	seen := map[string]bool{}
	for i, team := range teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		if team.Name == "" || seen[team.Name] {
			return &FieldError{field + ".name", reasonDuplicate}
		}
		seen[team.Name] = true
		if err := team.validateQuota(field); err != nil {
			return err
		}
	}
	return nil
}

// validateQuota checks the guarantees and the limits of a team.
func (t *Team) validateQuota(field string) error {
	const belowGuarantee = "limit is below the guarantee"
	switch {
	case t.CPUs < 0 || t.CPUsMax < 0 || t.GPUs < 0 || t.GPUsMax < 0:
		return &FieldError{field, "a guarantee or a limit is negative"}
	case t.CPUsMax > 0 && t.CPUs > t.CPUsMax:
		return &FieldError{field + ".cpus_max", belowGuarantee}
	case t.GPUsMax > 0 && t.GPUs > t.GPUsMax:
		return &FieldError{field + ".gpus_max", belowGuarantee}
	}
	return nil
}

// validateNumbers checks that numbers without a valid zero value are finite and above 0.
func (f *Facts) validateNumbers() error {
	for _, n := range []struct {
		field string
		value float64
	}{
		{"facts.workers.report_s", f.Workers.ReportS},
		{"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.gang_wait_s", f.Workers.GangWaitS},
		{"facts.workers.gang_peer_s", f.Workers.GangPeerS},
		{"facts.workers.cancel_s", f.Workers.CancelS},
		{"facts.state.rps", f.State.RPS},
		{"facts.state.write_rps", f.State.WriteRPS},
		{"facts.state.value_kb", f.State.ValueKB},
		{"facts.state.txn_ops", float64(f.State.TxnOps)},
		{"facts.cloud.rps", f.Cloud.RPS},
		{"facts.resources.ram_mb", f.Resources.RAMMB},
		{"facts.resources.max_sockets", float64(f.Resources.MaxSockets)},
	} {
		positive := n.value > 0 // false for NaN
		if !positive || math.IsInf(n.value, 0) {
			return &FieldError{n.field, reasonNotPositive}
		}
	}
	return nil
}

// validateRelations checks the numbers that must exceed another setting or a minimum.
func (f *Facts) validateRelations() error {
	switch {
	case f.Workers.LeaseS <= f.Workers.ReportS:
		return &FieldError{"facts.workers.lease_s", "must be above report_s"}
	case f.Workers.CancelS <= f.Workers.LeaseS:
		return &FieldError{"facts.workers.cancel_s", "must be above lease_s"}
	case f.State.TxnOps < minTxnOps:
		return &FieldError{"facts.state.txn_ops", fmt.Sprintf("below %d, the writes in the transaction that ends a job", minTxnOps)}
	}
	return nil
}

// Warnings describes contradictions in the settings, one per line. A controller runs in spite of
// them: a cluster that refuses to start because of a zone's name would be worse.
func (s *Settings) Warnings() (lines []string) {
	if named := len(s.Siblings) + 1; s.Facts.Nodes != 0 && s.Facts.Nodes != named {
		lines = append(lines, fmt.Sprintf("facts.nodes: %d, but %d controllers are named; using the named ones", s.Facts.Nodes, named))
	}
	checkZone := func(field, zone string) {
		if zone != "" && !slices.Contains(s.Facts.Zones, zone) {
			lines = append(lines, fmt.Sprintf("%s: %q is not in facts.zones; no machine is treated as being in the same zone", field, zone))
		}
	}
	checkZone("site", s.Site)
	for i := range s.Siblings {
		checkZone(fmt.Sprintf("siblings[%d].site", i), s.Siblings[i].Site)
	}
	return lines
}
