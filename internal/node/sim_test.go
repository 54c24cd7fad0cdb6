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

// simSettings returns the platform settings of controller i, one of a total of nodes. Team
// red's quotas are proportional to the scale.
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

// simMembers returns n controllers with their addresses for workers and users.
func simMembers(n int) (controllers []emulate.Controller) {
	for i := range n {
		controllers = append(controllers, emulate.Controller{Member: simMember(i), Addr: simMember(i) + ":80"})
	}
	return controllers
}

// simMember returns the member name of controller i, which is also its host name.
func simMember(i int) string { return fmt.Sprintf("n%d", i) }

// simTypes are the machine types of a default simulation.
var simTypes = []wire.MachineType{
	{Name: "small", CPUs: 4, MemGB: 16, CacheGB: 10, FetchRate: 1, Price: 0.2, SpotPrice: 0.05, BootS: 4, Zones: []string{"a", "b", "c"}},
	{Name: "large", CPUs: 16, MemGB: 64, CacheGB: 10, FetchRate: 1, Price: 0.7, SpotPrice: 0.2, BootS: 4, Zones: []string{"a", "b"}},
}

// simulation runs several controllers on an emulated in-memory cluster in simulated time.
type simulation struct {
	*emulate.World
	t     *testing.T
	net   *emulate.MemoryNetwork
	store *emulate.Store
	scale int // factor of the numbers of machines and tasks and of the quotas

	// The following are indexed by controller: controllers stops its process, exited is
	// closed once the process has exited, and pauses suspends it.
	controllers []context.CancelFunc
	exited      []chan struct{}
	pauses      []pauseGate

	partitionMu sync.Mutex // guards partitions
	partitions  map[string]func(from, to string) bool

	// configure edits the settings of each controller before it starts; may be nil.
	configure func(*config.Settings, *config.Tuning)
	// dialHomeRegion dials controllers of the home region; nil: there is only one region.
	dialHomeRegion func(ctx context.Context, network, addr string) (net.Conn, error)

	warnings   warningLog   // what the controllers have logged at level warn and above
	requests   atomic.Int64 // number of user requests so far
	randomized bool         // the faults are random and need not reach their condition
	probing    atomic.Bool  // users query all controllers within milliseconds after an answer
}

// startController starts controller i as a new process.
func (s *simulation) startController(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	tuning, err := config.LoadTuning("")
	if err != nil {
		s.t.Fatal(err)
	}
	settings := simSettings(s.t, i, len(s.controllers), s.scale)
	if s.configure != nil {
		s.configure(settings, tuning)
	}
	network := s.controllerNetwork(ctx, i)
	exited := make(chan struct{})
	s.controllers[i] = cancel
	s.exited[i] = exited
	go func() {
		defer close(exited)
		_ = Run(ctx, settings, tuning, network, slog.New(slog.NewTextHandler(&s.warnings, &slog.HandlerOptions{Level: slog.LevelWarn})))
	}()
}

// controllerNetwork returns the network of controller i. Connections pass the controller's
// pause gate, and none can be opened once the context of the process has ended.
func (s *simulation) controllerNetwork(process context.Context, i int) Network {
	gate := &s.pauses[i]
	dialRegion := s.net.Dialer(simMember(i))
	listen := func(addr string) (net.Listener, error) {
		l, err := s.net.Listen(addr)
		return pausableListener{l, gate}, err
	}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		if process.Err() != nil {
			return nil, process.Err() // a killed process opens no connections
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

// killController kills controller i without a graceful shutdown, and waits until it has
// exited.
func (s *simulation) killController(i int) {
	s.controllers[i]()
	name := simMember(i)
	s.net.ResetConnections(func(from, _ string) bool { return from == name })
	<-s.exited[i]
}

// term returns the leader's term from the key-value store, or 0 if none is stored.
func (s *simulation) term() uint64 {
	var record struct {
		Term uint64 `codec:"term"`
	}
	if e, ok := s.store.Entry(election.KeyTerm); !ok || wire.Unmarshal(e.Value, &record) != nil {
		return 0
	}
	return record.Term
}

// leader returns the index of the controller that holds the leader's lease, or 0 if none
// does.
func (s *simulation) leader() int {
	var holder struct {
		Member string `codec:"member"`
	}
	if e, ok := s.store.Entry("lead/holder"); ok && wire.Unmarshal(e.Value, &holder) == nil && len(holder.Member) == 2 {
		return int(holder.Member[1] - '0')
	}
	return 0
}

// memberAfterLeader returns the name of the controller at the offset from the leader's
// index.
func (s *simulation) memberAfterLeader(offset int) string {
	return simMember((s.leader() + offset) % len(s.controllers))
}

// setPartition sets the named network partition, which separates the pairs of hosts for which
// separated is true; nil ends it. Other partitions remain.
func (s *simulation) setPartition(name string, separated func(from, to string) bool) {
	s.partitionMu.Lock()
	defer s.partitionMu.Unlock()
	if separated == nil {
		delete(s.partitions, name)
	} else {
		s.partitions[name] = separated
	}
	all := make([]func(string, string) bool, 0, len(s.partitions))
	for _, partition := range s.partitions {
		all = append(all, partition)
	}
	s.net.Partition(func(from, to string) bool {
		for _, partition := range all {
			if partition(from, to) {
				return true
			}
		}
		return false
	})
}

// simCluster returns the configuration of the emulated cluster of a default simulation.
func simCluster(network *emulate.MemoryNetwork, store *emulate.Store, scale int) emulate.Config {
	return emulate.Config{
		Network:           network,
		Store:             store,
		Types:             simTypes,
		MaxMachines:       12 * scale,
		Controllers:       simControllers,
		LeaseDuration:     10 * time.Second,
		CancelTimeout:     25 * time.Second,
		HeartbeatInterval: 2 * time.Second,
		GangTimeout:       20 * time.Second,
		ImagePullTime:     time.Second,
		ListLag:           4 * time.Second,
		Limits:            map[string]emulate.Resources{"red": {CPUs: 14 * float64(scale)}},
	}
}

// newSimulation starts the controllers, three by default, on an emulated in-memory cluster.
// It also returns a function that stops everything. editCluster may change the cluster's
// configuration, including the number of controllers.
func newSimulation(t *testing.T, scale int, editCluster func(*emulate.Config), configure func(*config.Settings, *config.Tuning)) (*simulation, func()) {
	network := emulate.NewMemoryNetwork()
	store := emulate.NewStore()
	store.SetPageSize(7) // small pages exercise the paging
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

// close stops the workers, the controllers and the servers, and waits for them.
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

// maxWarningBytes bounds a warningLog.
const maxWarningBytes = 64 << 10

// warningLog keeps the first lines that controllers log, for the report of a failed scenario.
type warningLog struct {
	mu    sync.Mutex
	lines []byte
}

// Write implements io.Writer.
func (l *warningLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.lines)+len(line) <= maxWarningBytes {
		l.lines = append(l.lines, line...)
	}
	return len(line), nil
}

// String returns the lines.
func (l *warningLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.lines)
}
