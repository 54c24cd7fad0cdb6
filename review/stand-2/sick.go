package main

import (
	"fmt"
	"log/slog"
	"time"

	"vetchstream/internal/wire"
	"vetchstream/review/stand-2/site"
)

// sickWait is how long the case waits for the job. A task takes 5 s, another machine at most 50 s to boot.
const sickWait = 95 * time.Second

// sickCapacity is the most machines that the cloud has.
const sickCapacity = 28

// runSick lets the only machine that is up fail every task, while the cloud has others.
func runSick(r *record, trouble bool) (int, error) {
	s, err := startSite(&site.Options{Facts: site.Facts(), Machines: 1, MaxMachines: sickCapacity, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		return failed, err
	}
	defer s.Close()
	s.World.RecordHistory()
	time.Sleep(4 * time.Second)
	if trouble {
		workers := s.World.WorkersInZone(site.Zones[0])
		s.World.MakeFaulty(workers)
		r.note("%d machine fails every task that it starts from now on", len(workers))
	}
	u := &users{record: r, site: s}
	spec := array(5000, 1, 5)
	if !u.submit(spec) {
		return failed, fmt.Errorf("the job was not accepted")
	}
	phase := u.awaitDone(spec, time.Now().Add(sickWait))
	noteHistory(r, s)
	r.note("machines that the controllers rented: %d; the cloud has room for %d", s.World.MachinesProvisioned(), sickCapacity)
	if phase != wire.JobDone {
		r.note("RULE BROKEN: %s is %q after %v", spec.ID, phase, sickWait)
		return broken, nil
	}
	return held, nil
}
