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

// TestPlanDividesFleetAmongRegions checks that the regions together have the planned number of
// workers, up to rounding, and exactly the planned controllers, zones and start rate.
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
			t.Errorf("plan for %+v: the regions together have %d workers, %d controllers, %d zones and %v starts per second, which is not the planned size", tt, workers, controllers, zones, starts)
		}
	}
}

// TestFaultCheckNamesInvalidField checks that the error for an invalid list of faults names the index
// and the field of the invalid fault.
func TestFaultCheckNamesInvalidField(t *testing.T) {
	for _, tt := range []struct{ text, want string }{
		{`[{"kind":"zone_cut","region":"region-0"}]`, ""},
		{`[{"kind":"nothing","region":"region-0"}]`, "troubles[0].kind"},
		{`[{"kind":"zone_cut","region":"region-7"}]`, "troubles[0].region"},
		{`[{"kind":"regions_cut","region":"region-0","other":"region-0"}]`, "troubles[0].other"},
		{`[{"kind":"rack_gone","region":"region-0"}]`, "troubles[0].machines"},
		{`[{"kind":"zone_cut","region":"region-0","at_s":-1}]`, "troubles[0].at_s"},
		{`[{"kind":"command_copies","region":"region-0","share":0.2,"delay_ms":30000}]`, ""},
		{`[{"kind":"command_copies","region":"region-0","delay_ms":30000}]`, "troubles[0].share"},
		{`[{"kind":"report_copies","region":"region-0","share":1}]`, "troubles[0].delay_ms"},
		{`[{"kinds":1}]`, "unknown field"},
	} {
		faults, err := ParseFaults([]byte(tt.text))
		if err == nil {
			err = checkFaults(faults, []string{"region-0"})
		}
		if (err == nil) != (tt.want == "") || (err != nil && !strings.Contains(err.Error(), tt.want)) {
			t.Errorf("faults %s: error %v, want one that contains %q (none if empty)", tt.text, err, tt.want)
		}
	}
}

// TestPartitionHoldsTraffic checks that a partition of a host, or of two regions at the relay between
// them, holds data and delivers it after the partition, and that the sent bytes are counted.
func TestPartitionHoldsTraffic(t *testing.T) {
	loopback := emulate.NewLoopbackAt(firstBlock - 1)
	network := newNetwork("r", loopback)
	listener, err := network.Listen("w1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	host, _, _ := net.SplitHostPort(listener.Addr().String())
	relayListener, err := loopback.Listen("relay:0")
	if err != nil {
		t.Fatal(err)
	}
	relay := newRelay(relayListener, listener.Addr().String())
	defer relay.close()
	for name, setPartitioned := range map[string]func(partitioned bool){
		"host partitioned from the network": func(partitioned bool) { network.setPartitioned([]string{host}, partitioned) },
		"regions partitioned at the relay":  func(partitioned bool) { relay.gate.set(!partitioned) },
	} {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp4", relay.addr())
		if err != nil {
			t.Fatal(err)
		}
		echo := make(chan string, 1)
		setPartitioned(true)
		if _, err := conn.Write([]byte("a")); err != nil {
			t.Fatal(err)
		}
		go func() {
			b := make([]byte, 1)
			_, _ = io.ReadFull(conn, b)
			echo <- string(b)
		}()
		select {
		case <-echo:
			t.Errorf("%s: a message was delivered during the partition", name)
		case <-time.After(50 * time.Millisecond):
		}
		setPartitioned(false)
		if got := <-echo; got != "a" {
			t.Errorf("%s: received %q after the partition, want \"a\"", name, got)
		}
		_ = conn.Close()
	}
	// A write is counted after it returns, which may be after its bytes have arrived.
	sent := network.host(host).sent.Load()
	for deadline := time.Now().Add(time.Second); sent < 2 && time.Now().Before(deadline); sent = network.host(host).sent.Load() {
		time.Sleep(time.Millisecond)
	}
	if sent != 2 {
		t.Errorf("the counter of sent bytes is %d, want 2", sent)
	}
}
