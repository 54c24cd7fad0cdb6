package main

import (
	"bytes"
	"io"
	"net/http"
	"sync"

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

// smallCloud puts the capacity of the site in front of the emulated cloud: 503 "no capacity" for more machines
// of a type in a zone than there are.
type smallCloud struct {
	world *emulate.World

	mu     sync.Mutex
	rented map[string]offer  // by machine
	hires  map[string][]byte // answers to rental requests, by name of the request
}

func newSmallCloud(world *emulate.World) *smallCloud {
	return &smallCloud{world: world, rented: map[string]offer{}, hires: map[string][]byte{}}
}

// add starts a machine that is up at the start.
func (c *smallCloud) add(typeName, zone string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rented[c.world.Boot(typeName, zone, false, 0)] = offer{typeName, zone}
}

// left returns how many machines of an offer can still be rented. The caller holds the lock.
func (c *smallCloud) left(o offer) int {
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
		c.rent(w, r, body)
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

// rent passes a rental on, cut to what is left of the offer.
func (c *smallCloud) rent(w http.ResponseWriter, r *http.Request, body []byte) {
	var request wire.RentalRequest
	if wire.Unmarshal(body, &request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if repeated := c.hires[request.Request]; repeated != nil {
		w.Header().Set("Content-Type", wire.ContentType)
		_, _ = w.Write(repeated)
		return
	}
	o := offer{request.Type, request.Zone}
	request.Count = min(request.Count, c.left(o))
	if request.Count <= 0 {
		answerCBOR(w, http.StatusServiceUnavailable, wire.Error{Error: "no capacity"})
		return
	}
	encoded, err := wire.Marshal(request)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(encoded))
	answer := &capturedAnswer{header: http.Header{}}
	c.world.ServeHTTP(answer, r)
	var names wire.MachineNames
	if answer.status == http.StatusOK && wire.Unmarshal(answer.body.Bytes(), &names) == nil {
		for _, name := range names.Names {
			c.rented[name] = o
		}
		c.hires[request.Request] = answer.body.Bytes()
	}
	w.Header().Set("Content-Type", wire.ContentType)
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body.Bytes())
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

// capturedAnswer keeps an answer.
type capturedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *capturedAnswer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *capturedAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *capturedAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }
