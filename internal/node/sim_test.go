package node

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/election"
	"vetchstream/internal/emulate"
	"vetchstream/internal/wire"
)

// simSettings are the platform settings of controller i of that many. Team red's quotas
// grow with the scale.
func simSettings(t *testing.T, i, nodes, scale int) *config.Settings {
	t.Helper()
	text := fmt.Sprintf("member = \"n%d\"\nsite = \"a\"\nlisten = \"n%d:80\"\npeer_listen = \"n%d:81\"\n", i, i, i)
	for j := range nodes {
		if j != i {
			text += fmt.Sprintf("[[siblings]]\nmember = \"n%d\"\nsite = \"b\"\naddress = \"n%d:81\"\n", j, j)
		}
	}
	text += `
[outside]
cloud = "cloud:1"
state = "state:1"
[facts]
nodes = ` + fmt.Sprint(nodes) + `
zones = ["a", "b", "c"]
skew_ms = 100.0
[[facts.teams]]
name = "red"
` + fmt.Sprintf("cpus = %d.0\ncpus_max = %d.0\n", 8*scale, 14*scale) + `[[facts.teams]]
name = "blue"
[facts.workers]
report_s = 2.0
lease_s = 10.0
gang_wait_s = 20.0
gang_peer_s = 6.0
cancel_s = 25.0
[facts.state]
rps = 200.0
write_rps = 80.0
value_kb = 16.0
txn_ops = 12
[facts.cloud]
rps = 5.0
list_lag_s = 4.0
[facts.resources]
core_share = 0.2
ram_mb = 100.0
max_sockets = 800
`
	s, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// simControllers are the controllers of a default simulation.
var simControllers = simMembers(3)

// simMembers names n controllers, with their addresses for workers and users.
func simMembers(n int) (cs []emulate.Controller) {
	for i := range n {
		cs = append(cs, emulate.Controller{Member: simMember(i), Addr: simMember(i) + ":80"})
	}
	return cs
}

// simMember is the name of controller i, which is its host's name as well.
func simMember(i int) string { return fmt.Sprintf("n%d", i) }

// simTypes are the machine types of a default simulation.
var simTypes = []wire.MachineType{
	{Name: "small", CPUs: 4, MemGB: 16, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 4, Zones: []string{"a", "b", "c"}},
	{Name: "large", CPUs: 16, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.7, SpotPrice: 0.2, BootS: 4, Zones: []string{"a", "b"}},
}

// simulation is several controllers on an emulated cluster in memory and simulated time.
type simulation struct {
	*emulate.World
	t     *testing.T
	net   *emulate.MemoryNetwork
	store *emulate.Store
	scale int // machines, tasks and quotas are that many times as many

	// controllers end the controllers, exited are closed once they have ended, and pauses
	// make them stand still, each by the controller's index.
	controllers []context.CancelFunc
	exited      []chan struct{}
	pauses      []pauseGate

	partitionMu sync.Mutex // guards partitions
	partitions  map[string]func(from, to string) bool

	// configure edits the settings of each controller that starts; nil: none are edited.
	configure func(*config.Settings, *config.Tuning)
	// dialHomeRegion dials controllers of the home region; nil: there is one region.
	dialHomeRegion func(ctx context.Context, network, addr string) (net.Conn, error)

	requests   atomic.Int64 // of users, so far
	randomized bool         // the faults are drawn, and need not reach what they are about
	probing    atomic.Bool  // users ask all controllers within milliseconds of an answer
}

// startController starts controller i, as a new process.
func (s *simulation) startController(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	tun, err := config.LoadTuning("")
	if err != nil {
		s.t.Fatal(err)
	}
	set := simSettings(s.t, i, len(s.controllers), s.scale)
	if s.configure != nil {
		s.configure(set, tun)
	}
	nw := s.controllerNetwork(ctx, i)
	exited := make(chan struct{})
	s.controllers[i] = cancel
	s.exited[i] = exited
	go func() {
		defer close(exited)
		_ = Run(ctx, set, tun, nw, slog.New(slog.DiscardHandler))
	}()
}

// controllerNetwork is the network as controller i reaches it until its process ends with
// the context. Its connections pass the controller's pause gate.
func (s *simulation) controllerNetwork(process context.Context, i int) Network {
	gate := &s.pauses[i]
	dialRegion := s.net.Dialer(simMember(i))
	listen := func(addr string) (net.Listener, error) {
		l, err := s.net.Listen(addr)
		return pausableListener{l, gate}, err
	}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if process.Err() != nil {
			return nil, process.Err() // a killed process sends nothing more
		}
		dial := dialRegion
		if strings.HasPrefix(addr, homeRegionPrefix) {
			dial = s.dialHomeRegion
		}
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return pausableConn{conn, gate}, nil
	}
	return Network{Listen: listen, Dial: dial}
}

// killController ends controller i without a word, and waits until it has ended.
func (s *simulation) killController(i int) {
	s.controllers[i]()
	name := simMember(i)
	s.net.ResetConnections(func(f, _ string) bool { return f == name })
	<-s.exited[i]
}

// term is the leader's term as it is stored; 0: there is none.
func (s *simulation) term() uint64 {
	var rec struct {
		Term uint64 `codec:"term"`
	}
	if e, ok := s.store.Entry(election.KeyTerm); !ok || wire.Unmarshal(e.Value, &rec) != nil {
		return 0
	}
	return rec.Term
}

// leader is the index of the controller that holds the leader's lease; 0 if none does.
func (s *simulation) leader() int {
	var h struct {
		Member string `codec:"member"`
	}
	if e, ok := s.store.Entry("lead/holder"); ok && wire.Unmarshal(e.Value, &h) == nil && len(h.Member) == 2 {
		return int(h.Member[1] - '0')
	}
	return 0
}

// memberAfterLeader is the name of the controller that many after the leader.
func (s *simulation) memberAfterLeader(offset int) string {
	return simMember((s.leader() + offset) % len(s.controllers))
}

// setPartition adds a network partition of that name between the hosts for which f is true,
// or ends it (nil). Partitions of other names stay.
func (s *simulation) setPartition(name string, f func(from, to string) bool) {
	s.partitionMu.Lock()
	defer s.partitionMu.Unlock()
	if f == nil {
		delete(s.partitions, name)
	} else {
		s.partitions[name] = f
	}
	all := make([]func(string, string) bool, 0, len(s.partitions))
	for _, c := range s.partitions {
		all = append(all, c)
	}
	s.net.Partition(func(a, b string) bool {
		for _, c := range all {
			if c(a, b) {
				return true
			}
		}
		return false
	})
}

// simCluster is the emulated cluster of a default simulation.
func simCluster(n *emulate.MemoryNetwork, store *emulate.Store, scale int) emulate.Config {
	return emulate.Config{
		Network:           n,
		Store:             store,
		Types:             simTypes,
		MaxMachines:       12 * scale,
		Controllers:       simControllers,
		LeaseDuration:     10 * time.Second,
		CancelTimeout:     25 * time.Second,
		HeartbeatInterval: 2 * time.Second,
		GangTimeout:       20 * time.Second,
		ImagePull:         time.Second,
		ListLag:           4 * time.Second,
		Limits:            map[string]emulate.Limit{"red": {CPUs: 14 * float64(scale)}},
	}
}

// newSimulation starts three controllers on an emulated cluster in memory, and returns what
// ends them all. editCluster may change the cluster, and with it the number of controllers.
func newSimulation(t *testing.T, scale int, editCluster func(*emulate.Config), configure func(*config.Settings, *config.Tuning)) (*simulation, func()) {
	network := emulate.NewMemoryNetwork()
	store := emulate.NewStore()
	store.SetPageSize(7) // small pages, so that paging is in use
	cfg := simCluster(network, store, scale)
	editCluster(&cfg)
	world := emulate.New(cfg)
	s := &simulation{
		World:       world,
		t:           t,
		net:         network,
		store:       store,
		scale:       scale,
		controllers: make([]context.CancelFunc, len(cfg.Controllers)),
		exited:      make([]chan struct{}, len(cfg.Controllers)),
		pauses:      make([]pauseGate, len(cfg.Controllers)),
		partitions:  map[string]func(string, string) bool{},
		configure:   configure,
	}
	servers := s.serveCluster()
	for i := range s.controllers {
		s.startController(i)
	}
	return s, func() { s.close(servers) }
}

// serveCluster starts the key-value store and the cloud.
func (s *simulation) serveCluster() (servers []*http.Server) {
	for addr, handler := range map[string]http.Handler{"state:1": s.store, "cloud:1": s.World} {
		l, err := s.net.Listen(addr)
		if err != nil {
			s.t.Fatal(err)
		}
		srv := &http.Server{Handler: handler}
		servers = append(servers, srv)
		go func() { _ = srv.Serve(l) }()
	}
	return servers
}

// close ends the workers, the controllers and the servers, and waits for them.
func (s *simulation) close(servers []*http.Server) {
	worldClosed := make(chan struct{})
	go func() {
		defer close(worldClosed)
		s.World.Close()
	}()
	for i := range s.controllers {
		s.killController(i)
	}
	for _, srv := range servers {
		_ = srv.Close()
	}
	s.net.ResetConnections(func(string, string) bool { return true })
	<-worldClosed
	time.Sleep(30 * time.Second)
}
