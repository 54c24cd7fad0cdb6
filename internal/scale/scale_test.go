package scale

import (
	"context"
	"io"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"vetchstream/internal/emulate"
)

// TestPlanDividesFleetAmongRegions: the planned size is divided among the regions without a rest.
func TestPlanDividesFleetAmongRegions(t *testing.T) {
	for _, tt := range []struct {
		factor               float64
		regions, controllers int
		workers              int
	}{{1, 5, 11, 4600}, {0.02, 5, 11, 92}, {0.1, 1, 3, 460}, {0.5, 2, 5, 2300}, {1, 10, 20, 4600}} {
		o := Options{Factor: tt.factor, Regions: tt.regions, Controllers: tt.controllers, Duration: time.Minute}
		if err := o.Check(); err != nil {
			t.Fatal(err)
		}
		workers, controllers, zones, starts := 0, 0, 0, 0.0
		for _, p := range o.plan() {
			workers += p.workers
			controllers += p.controllers
			zones += len(p.zones)
			starts += p.startsPerS
		}
		if math.Abs(float64(workers-tt.workers)) > float64(tt.regions) || controllers != tt.controllers || zones != PlannedZones || math.Abs(starts-PlannedStartsPerS*tt.factor) > 1e-6 {
			t.Errorf("%+v: %d workers, %d controllers, %d zones, %v starts", tt, workers, controllers, zones, starts)
		}
	}
}

// TestFaultCheckNamesInvalidField: an error names the fault that is not valid, and its field.
func TestFaultCheckNamesInvalidField(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{`[{"kind":"zone_cut","region":"region-0"}]`, ""},
		{`[{"kind":"nothing","region":"region-0"}]`, "troubles[0].kind"},
		{`[{"kind":"zone_cut","region":"region-7"}]`, "troubles[0].region"},
		{`[{"kind":"regions_cut","region":"region-0","other":"region-0"}]`, "troubles[0].other"},
		{`[{"kind":"rack_gone","region":"region-0"}]`, "troubles[0].machines"},
		{`[{"kind":"zone_cut","region":"region-0","at_s":-1}]`, "troubles[0].at_s"},
		{`[{"kinds":1}]`, "unknown field"},
	} {
		faults, err := ParseFaults([]byte(tt.text))
		if err == nil {
			err = checkFaults(faults, []string{"region-0"})
		}
		if (err == nil) != (tt.want == "") || (err != nil && !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("%s: %v", tt.text, err)
		}
	}
}

// TestPartitionHoldsTraffic: data to and from a host that is partitioned, or through a relay between regions, is
// held and then delivered, and a closed connection does not wait for that.
func TestPartitionHoldsTraffic(t *testing.T) {
	l := emulate.NewLoopbackAt(firstBlock - 1)
	n := newNetwork("r", l)
	ln, err := n.Listen("w1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	host, _, _ := net.SplitHostPort(ln.Addr().String())
	front, err := l.Listen("relay:0")
	if err != nil {
		t.Fatal(err)
	}
	r := newRelay(front, ln.Addr().String())
	defer r.close()
	for name, cut := range map[string]func(on bool){
		"host":  func(on bool) { n.setPartitioned([]string{host}, on) },
		"relay": func(on bool) { r.gate.set(!on) },
	} {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp4", r.addr())
		if err != nil {
			t.Fatal(err)
		}
		echo := make(chan string, 1)
		cut(true)
		if _, err := c.Write([]byte("a")); err != nil {
			t.Fatal(err)
		}
		go func() {
			b := make([]byte, 1)
			_, _ = io.ReadFull(c, b)
			echo <- string(b)
		}()
		select {
		case <-echo:
			t.Errorf("%s: a message has passed the cut", name)
		case <-time.After(50 * time.Millisecond):
		}
		cut(false)
		if got := <-echo; got != "a" {
			t.Errorf("%s: %q came back", name, got)
		}
		_ = c.Close()
	}
	// A write is counted once it has returned, which may be after its bytes have arrived.
	sent := n.host(host).sent.Load()
	for deadline := time.Now().Add(time.Second); sent < 2 && time.Now().Before(deadline); sent = n.host(host).sent.Load() {
		time.Sleep(time.Millisecond)
	}
	if sent != 2 {
		t.Errorf("%d bytes were counted, not 2", sent)
	}
}
