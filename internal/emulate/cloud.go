package emulate

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"vetchstream/internal/wire"
)

// machineType is a machine type; nil: there is none of that name.
func (w *World) machineType(name string) *wire.MachineType {
	for i := range w.cfg.Types {
		if w.cfg.Types[i].Name == name {
			return &w.cfg.Types[i]
		}
	}
	return nil
}

// ServeHTTP implements http.Handler: the published protocol of the cloud.
func (w *World) ServeHTTP(rw http.ResponseWriter, q *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch q.URL.Path {
	case "/machine_types":
		writeResponse(rw, http.StatusOK, wire.MachineTypes{Types: w.cfg.Types})
	case "/hosts/release":
		w.serveRelease(rw, q)
	case "/hosts":
		if q.Method == http.MethodGet {
			writeResponse(rw, http.StatusOK, w.machineList(q.URL.Query().Get("after")))
			return
		}
		w.serveProvision(rw, q)
	default:
		writeResponse(rw, http.StatusNotFound, wire.Error{Error: "no such route"})
	}
}

// serveRelease takes machines away; the caller holds the lock.
func (w *World) serveRelease(rw http.ResponseWriter, q *http.Request) {
	var in wire.MachineNames
	if !decodeRequest(q, &in) {
		writeResponse(rw, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	for _, name := range in.Names {
		if worker := w.workers[name]; worker != nil {
			worker.remove(time.Now())
		}
	}
	writeResponse(rw, http.StatusOK, map[string]any{})
}

// serveProvision starts machines, once for each request; the caller holds the lock.
func (w *World) serveProvision(rw http.ResponseWriter, q *http.Request) {
	var in wire.RentalRequest
	if !decodeRequest(q, &in) || w.machineType(in.Type) == nil {
		writeResponse(rw, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	if old, ok := w.provisioned[in.Request]; ok {
		writeResponse(rw, http.StatusOK, wire.MachineNames{Names: old})
		return
	}
	n := min(in.Count, w.cfg.MaxMachines-len(w.workers), w.zoneCapacity(in.Zone))
	if n <= 0 {
		writeResponse(rw, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		return
	}
	var names []string
	for range n {
		bootTime := seconds(w.machineType(in.Type).BootS)
		if w.delayedBoots > 0 {
			w.delayedBoots--
			bootTime += w.bootDelay
		}
		names = append(names, w.boot(in.Type, in.Zone, in.Spot, bootTime))
	}
	w.provisioned[in.Request] = names
	writeResponse(rw, http.StatusOK, wire.MachineNames{Names: names})
}

// seconds is a time that settings give in seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// zoneCapacity is how many more machines a zone has; the caller holds the lock.
func (w *World) zoneCapacity(zone string) int {
	capacity, bounded := w.cfg.ZoneCapacity[zone]
	if limit, ok := w.zoneLimits[zone]; ok {
		capacity, bounded = limit, true
	}
	if !bounded {
		return w.cfg.MaxMachines
	}
	for _, worker := range w.workers {
		if worker.zone == zone {
			capacity--
		}
	}
	return capacity
}

// machineList is the list of machines with names after one, which lags; the caller holds the
// lock.
func (w *World) machineList(after string) wire.CloudMachinePage {
	out := []wire.CloudMachine{}
	for _, name := range slices.Sorted(maps.Keys(w.workers)) {
		worker := w.workers[name]
		phase := wire.MachineRunning
		if time.Now().Before(worker.bootedAt) {
			phase = wire.MachineBooting
		}
		age := time.Since(worker.createdAt)
		if name <= after || age <= w.cfg.ListLag {
			continue
		}
		out = append(out, wire.CloudMachine{
			Name:  name,
			Addr:  worker.addr,
			Type:  worker.typeName,
			Zone:  worker.zone,
			Spot:  worker.spot,
			Phase: phase,
			AgeS:  age.Seconds(),
		})
	}
	return wire.CloudMachinePage{Machines: out}
}

// Boot starts a machine that no controller has asked for, and returns its name.
func (w *World) Boot(typ, zone string, spot bool, bootTime time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boot(typ, zone, spot, bootTime)
}

// boot starts a worker; the caller holds the lock.
func (w *World) boot(typ, zone string, spot bool, bootTime time.Duration) string {
	w.machinesCreated++
	worker := &Worker{
		world:           w,
		name:            fmt.Sprintf("host-%06d", w.machinesCreated),
		addr:            fmt.Sprintf("w%d:9000", w.machinesCreated),
		typeName:        typ,
		zone:            zone,
		spot:            spot,
		createdAt:       time.Now(),
		bootedAt:        time.Now().Add(bootTime),
		session:         1,
		tasks:           map[string]*task{},
		controllerIndex: w.machinesCreated % len(w.cfg.Controllers),
	}
	w.workers[worker.name] = worker
	w.wg.Go(worker.run)
	return worker.name
}

// MachineCounts is how many machines there are, and how many of them are up.
func (w *World) MachineCounts() (all, up int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		all++
		if time.Now().After(worker.bootedAt) {
			up++
		}
	}
	return all, up
}

// MachinesProvisioned is how many machines controllers have provisioned so far.
func (w *World) MachinesProvisioned() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, names := range w.provisioned {
		n += len(names)
	}
	return n
}

// IdleMachines is how many machines are up without a task.
func (w *World) IdleMachines() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		busy := false
		for _, t := range worker.tasks {
			busy = busy || t.phase != wire.TaskExited
		}
		if !busy && time.Now().After(worker.bootedAt) {
			n++
		}
	}
	return n
}
