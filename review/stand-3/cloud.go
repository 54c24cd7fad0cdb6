package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"vetchstream/internal/emulate"
	"vetchstream/internal/wire"
)

// offer is a machine type in a zone.
type offer struct{ typeName, zone string }

// capacity is the number of machines of each offer at the site levant-claims-grid.
var capacity = map[offer]int{
	{"narrow", "abdali"}: 2,
	{"narrow", "sahab"}:  4,
	{"narrow", "irbid"}:  4,
	{"narrow", "aqaba"}:  3,
	{"wide", "sahab"}:    2,
	{"wide", "irbid"}:    2,
	{"wide", "aqaba"}:    1,
}

// smallCloud rents out the machines of the emulated cloud. It has the capacity of the site, answers 503 "no
// capacity" beyond that, and boots each machine in 0.8 to 1.2 times the boot time of its type.
type smallCloud struct {
	world     *emulate.World
	unlimited bool // the capacity of the site does not bind, only maxMachines
	log       func(format string, args ...any)

	mu     sync.Mutex
	late   int                          // number of machines that are still to come up late
	rented map[string]offer             // by machine
	hires  map[string]wire.MachineNames // answers to rental requests, by name of the request
	total  int                          // number of machines rented so far
}

func newSmallCloud(world *emulate.World) *smallCloud {
	return &smallCloud{world: world, rented: map[string]offer{}, hires: map[string]wire.MachineNames{}}
}

// lateFactor is the boot time of a late machine, as a multiple of that of its type. It is the factor of the trouble
// boot_trouble in the site files.
const lateFactor = 2.0

// delayNext makes the next machine that is rented come up late.
func (c *smallCloud) delayNext() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late++
}

// rentals returns the number of machines rented so far.
func (c *smallCloud) rentals() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total
}

// add starts a machine that is up at the start.
func (c *smallCloud) add(typeName, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rented[c.world.Boot(typeName, zone, false, 0)] = offer{typeName, zone}
}

// left returns how many machines of an offer can still be rented. The caller holds the lock.
func (c *smallCloud) left(o offer) int {
	if c.unlimited {
		return maxMachines - len(c.rented)
	}
	n := capacity[o]
	for _, rented := range c.rented {
		if rented == o {
			n--
		}
	}
	return n
}

// ServeHTTP implements http.Handler.
func (c *smallCloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		c.world.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.URL.Path == "/hosts" {
		c.rent(w, body)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	c.world.ServeHTTP(w, r)
	var released wire.MachineNames
	if r.URL.Path == "/hosts/release" && wire.Unmarshal(body, &released) == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, name := range released.Names {
			delete(c.rented, name)
		}
	}
}

// rent answers a rental request with as many machines as are left. A repeated request gets the same answer.
func (c *smallCloud) rent(w http.ResponseWriter, body []byte) {
	var request wire.RentalRequest
	if wire.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if names, repeated := c.hires[request.Request]; repeated {
		answerCBOR(w, http.StatusOK, names)
		return
	}
	o := offer{request.Type, request.Zone}
	count := min(request.Count, c.left(o))
	if count <= 0 {
		answerCBOR(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		return
	}
	var names wire.MachineNames
	for range count {
		boot := c.bootTime(request.Type)
		name := c.world.Boot(request.Type, request.Zone, request.Spot, boot)
		c.rented[name] = o
		c.total++
		names.Names = append(names.Names, name)
		if c.log != nil {
			c.log("rented %s (%s in %s), boots in %.1f s", name, request.Type, request.Zone, boot.Seconds())
		}
	}
	c.hires[request.Request] = names
	answerCBOR(w, http.StatusOK, names)
}

// bootTime draws the boot time of a machine. The caller holds the lock.
func (c *smallCloud) bootTime(typeName string) time.Duration {
	factor := 0.8 + 0.4*rand.Float64()
	if c.late > 0 {
		c.late--
		factor = lateFactor
	}
	return time.Duration(factor * c.bootS(typeName) * float64(time.Second))
}

// bootS returns the boot time of a type on the price list, in seconds.
func (c *smallCloud) bootS(typeName string) float64 {
	if c.unlimited {
		return bootS
	}
	for i := range machineTypes {
		if machineTypes[i].Name == typeName {
			return machineTypes[i].BootS
		}
	}
	return 0
}

// answerCBOR writes an answer.
func answerCBOR(w http.ResponseWriter, status int, v any) {
	body, err := wire.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
