package control

import (
	"fmt"
	"slices"

	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/state"
	"vetchstream/internal/wire"
)

// pageError is the error of a stored page of the registry that cannot be loaded: a
// leader must not take over from incomplete records.
type pageError struct {
	key string
	err error
}

func (e *pageError) Error() string { return "page " + e.key + ": " + e.err.Error() }

func (e *pageError) Unwrap() error { return e.err }

// indexReusedError is the error of a stored page that gives one index to two
// machines.
type indexReusedError struct {
	index int
}

func (e *indexReusedError) Error() string { return fmt.Sprintf("index %d is used twice", e.index) }

// load reads the stored pages of earlier leaders: hostPages of machines, jobPages of
// jobs. The error is a *pageError.
func (r *registry) load(hostPages, jobPages []state.Entry) error {
	byIndex := map[int]*fleet.Machine{}
	for _, e := range hostPages {
		p, rec, err := r.readPage(hostPrefix, e)
		if err != nil {
			return err
		}
		if err := r.loadHosts(p, rec, byIndex); err != nil {
			return err
		}
	}
	for _, e := range jobPages {
		p, rec, err := r.readPage(jobHostsPrefix, e)
		if err != nil {
			return err
		}
		if err := r.loadJobHosts(p, rec, byIndex); err != nil {
			return err
		}
	}
	return nil
}

// readPage decodes a stored page and adds it, stale, to the registry.
func (r *registry) readPage(prefix string, e state.Entry) (*registryPage, *pageRecord, error) {
	var rec pageRecord
	if err := wire.Unmarshal(e.Value, &rec); err != nil {
		return nil, nil, &pageError{key: e.Key, err: err}
	}
	var number int
	if _, err := fmt.Sscanf(e.Key[len(prefix):], "%d", &number); err != nil {
		return nil, nil, &pageError{key: e.Key, err: err}
	}
	r.nextPage[prefix] = max(r.nextPage[prefix], number+1)
	p := &registryPage{key: e.Key, version: e.Version, stale: true}
	r.pages = append(r.pages, p)
	return p, &rec, nil
}

// loadHosts adds the machines of a stored page to the fleet, under their indexes.
func (r *registry) loadHosts(p *registryPage, rec *pageRecord, byIndex map[int]*fleet.Machine) error {
	for _, hr := range rec.Hosts {
		known := byIndex[hr.Idx]
		if known != nil && known.Name == hr.Name {
			// The earlier leader was moving the machine between two pages.
			r.storeInOrder(p, r.hostEntries[known].page)
			continue
		}
		if known != nil || hr.Idx < 0 {
			return &pageError{key: p.key, err: &indexReusedError{index: hr.Idx}}
		}
		h := r.fleet.AddWithIndex(hr.Name, hr.Idx, r.termStart)
		byIndex[hr.Idx] = h
		h.Addr = hr.Addr
		h.Registered = true
		h.Inherited = true
		h.Booting = false
		r.nameIndex.describeMachine(h, hr.Type, hr.Zone, hr.Spot)
		p.hosts = append(p.hosts, h)
		r.hostEntries[h] = hostEntry{hostRecord: hr, page: p}
	}
	return nil
}

// loadJobHosts reads the jobs of a stored page, and sets which jobs each machine may
// have inherited.
func (r *registry) loadJobHosts(p *registryPage, rec *pageRecord, byIndex map[int]*fleet.Machine) error {
	for _, jr := range rec.Jobs {
		set, err := job.ParseMachineSet(jr.Hosts)
		if err != nil {
			return &pageError{key: p.key, err: err}
		}
		r.mergeJobHosts(p, jr, set)
		team := r.nameIndex.teamIndex(jr.Team)
		for index, h := range byIndex {
			if set.Has(index) {
				h.InheritedJobs = append(h.InheritedJobs, fleet.InheritedJob{ID: jr.Job, Team: team})
			}
		}
	}
	return nil
}

// mergeJobHosts adds the stored entry of a job, or merges it into the one that
// another page has.
func (r *registry) mergeJobHosts(p *registryPage, jr jobHostsRecord, set job.MachineSet) {
	known := r.hostsByJob[jr.Job]
	if known == nil {
		added := &jobHosts{id: jr.Job, team: jr.Team, confirmed: set, desired: slices.Clone(set), page: p}
		p.jobs = append(p.jobs, added)
		r.hostsByJob[jr.Job] = added
		return
	}
	// The earlier leader was moving the job between two pages. It may be on the machines
	// of either, and is not launched again until one page names them all.
	for i := range setWordBits * len(set) {
		if set.Has(i) {
			known.desired.Add(i)
		}
	}
	known.confirmed = nil
	r.storeInOrder(p, known.page)
}
