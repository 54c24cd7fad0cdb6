package emulate

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"vetchstream/internal/wire"
)

// machineType returns the machine type with the given name, or nil.
func (w *World) machineType(name string) *wire.MachineType {
	for i := range w.cfg.Types {
		if w.cfg.Types[i].Name == name {
			return &w.cfg.Types[i]
		}
	}
	return nil
}

// ServeHTTP implements http.Handler. It serves the published protocol of the cloud.
func (w *World) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch r.URL.Path {
	case "/machine_types":
		writeResponse(rw, http.StatusOK, wire.MachineTypes{Types: w.cfg.Types})
	case "/hosts/release":
		w.serveRelease(rw, r)
	case "/hosts":
		if r.Method == http.MethodGet {
			writeResponse(rw, http.StatusOK, w.machineList(r.URL.Query().Get("after")))
			return
		}
		w.serveProvision(rw, r)
	default:
		writeResponse(rw, http.StatusNotFound, wire.Error{Error: "no such route"})
	}
}

// serveRelease removes the named machines; the caller holds the lock.
func (w *World) serveRelease(rw http.ResponseWriter, r *http.Request) {
	var request wire.MachineNames
	if !decodeRequest(r, &request) {
		writeResponse(rw, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	for _, name := range request.Names {
		if worker := w.workers[name]; worker != nil {
			worker.remove(time.Now())
		}
	}
	writeResponse(rw, http.StatusOK, map[string]any{})
}

// serveProvision creates machines. A repeated request gets the machines that were created the first
// time. The caller holds the lock.
func (w *World) serveProvision(rw http.ResponseWriter, r *http.Request) {
	var request wire.RentalRequest
	if !decodeRequest(r, &request) || w.machineType(request.Type) == nil {
		writeResponse(rw, http.StatusBadRequest, wire.Error{Error: "malformed"})
		return
	}
	if names, ok := w.provisioned[request.Request]; ok {
		writeResponse(rw, http.StatusOK, wire.MachineNames{Names: names})
		return
	}
	n := min(request.Count, w.cfg.MaxMachines-len(w.workers), w.zoneCapacity(request.Zone))
	if n <= 0 {
		writeResponse(rw, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		return
	}
	var names []string
	for range n {
		bootTime := seconds(w.machineType(request.Type).BootS)
		if w.delayedBoots > 0 {
			w.delayedBoots--
			bootTime += w.bootDelay
		}
		names = append(names, w.boot(request.Type, request.Zone, request.Spot, bootTime))
	}
	w.provisioned[request.Request] = names
	writeResponse(rw, http.StatusOK, wire.MachineNames{Names: names})
}

// seconds converts a number of seconds, as in settings and messages, to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// zoneCapacity returns the number of machines that can still be created in a zone; the caller holds
// the lock.
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

// machineList returns the machines whose names follow after. Machines are missing from the list
// until they are older than Config.ListLag. The caller holds the lock.
func (w *World) machineList(after string) wire.CloudMachinePage {
	machines := []wire.CloudMachine{}
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
		machines = append(machines, wire.CloudMachine{
			Name:  name,
			Addr:  worker.addr,
			Type:  worker.typeName,
			Zone:  worker.zone,
			Spot:  worker.spot,
			Phase: phase,
			AgeS:  age.Seconds(),
		})
	}
	return wire.CloudMachinePage{Machines: machines}
}

// Boot creates a machine without a request by a controller and returns its name.
func (w *World) Boot(typeName, zone string, spot bool, bootTime time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boot(typeName, zone, spot, bootTime)
}

// boot creates a machine, starts its worker and returns its name; the caller holds the lock.
func (w *World) boot(typeName, zone string, spot bool, bootTime time.Duration) string {
	w.machinesCreated++
	worker := &Worker{
		world:           w,
		name:            fmt.Sprintf("host-%06d", w.machinesCreated),
		addr:            fmt.Sprintf("w%d:9000", w.machinesCreated),
		typeName:        typeName,
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

// MachineCounts returns the number of machines, and how many of them have booted.
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

// MachinesProvisioned returns the number of machines that controllers have provisioned so far.
func (w *World) MachinesProvisioned() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, names := range w.provisioned {
		n += len(names)
	}
	return n
}

// IdleMachines returns the number of machines that have booted and run no task.
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
