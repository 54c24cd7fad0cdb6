// Package site runs a small deployment on loopback for the cases of the review: stand-ins for the
// state service, the cloud and the workers (package emulate), and the project's controllers as
// processes of their own.
package site

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pelletier/go-toml/v2"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/wire"
)

// Zones are the zones of the deployment.
var Zones = []string{"abdali", "sahab", "irbid", "aqaba"}

// Types are the machine types, as in the brief of the claims cluster.
var Types = []wire.MachineType{
	{Name: "narrow", CPUs: 8, MemGB: 32, CacheGB: 100, FetchRate: 1, Price: 0.3, SpotPrice: 0.07, BootS: 50, Zones: Zones},
	{Name: "wide", CPUs: 16, MemGB: 32, CacheGB: 100, FetchRate: 1, Price: 0.5, SpotPrice: 0.13, BootS: 25, Zones: Zones},
}

// Facts returns the facts of the deployment, as in the brief of the claims cluster.
func Facts() config.Facts {
	return config.Facts{
		Nodes:  3,
		Zones:  Zones,
		SkewMs: 100,
		Teams: []config.Team{
			{Name: "ammanfin", CPUs: 64, CPUsMax: 264},
			{Name: "zarqaops", CPUs: 56, CPUsMax: 128},
		},
		Workers:   config.Workers{ReportS: 3, LeaseS: 20, GangWaitS: 35, GangPeerS: 6, CancelS: 40},
		State:     config.StateLimits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 12},
		Cloud:     config.CloudLimits{RPS: 6, ListLagS: 8},
		Resources: config.Resources{CoreShare: 0.24, RAMMB: 179, MaxSockets: 2000},
	}
}

// Options selects what a Site starts with.
type Options struct {
	Facts config.Facts
	// NextState holds the limits that the settings announce as state.next; nil announces none.
	NextState *config.StateLimits
	// Machines is the number of machines of type wide that are up at the start, MaxMachines the most
	// that the cloud has.
	Machines, MaxMachines int
	// Binary is the built program, Tuning the file of the operators' settings.
	Binary, Tuning string
	Log            *slog.Logger
}

// Site is a running deployment.
type Site struct {
	Store       *Store
	World       *emulate.World
	Controllers []*Controller

	dir     string
	servers []*http.Server
}

// Start starts the stand-ins and writes the controllers' settings. The caller starts the controllers.
func Start(o *Options) (*Site, error) {
	dir, err := os.MkdirTemp("", "vetchstream-review")
	if err != nil {
		return nil, err
	}
	s := &Site{dir: dir, Store: NewStore(o.Facts.State)}
	ports, err := freePorts(2 * o.Facts.Nodes)
	if err != nil {
		return nil, err
	}
	var members []emulate.Controller
	for i := range o.Facts.Nodes {
		members = append(members, emulate.Controller{Member: memberName(i), Addr: address(ports[2*i])})
	}
	s.World = emulate.New(emulate.Config{
		Network:           emulate.NewLoopbackAt(byte(65 + os.Getpid()%150)),
		Store:             s.Store.Store,
		Types:             Types,
		MaxMachines:       o.MaxMachines,
		Controllers:       members,
		LeaseDuration:     config.Seconds(o.Facts.Workers.LeaseS),
		CancelTimeout:     config.Seconds(o.Facts.Workers.CancelS),
		HeartbeatInterval: config.Seconds(o.Facts.Workers.ReportS),
		GangTimeout:       config.Seconds(o.Facts.Workers.GangWaitS),
		ImagePullTime:     600 * time.Millisecond,
		ListLag:           config.Seconds(o.Facts.Cloud.ListLagS),
		Limits:            teamLimits(o.Facts.Teams),
		Log:               o.Log,
	})
	cloud, err := s.serve(s.World)
	if err != nil {
		return nil, err
	}
	state, err := s.serve(s.Store.Handler())
	if err != nil {
		return nil, err
	}
	for i := range o.Facts.Nodes {
		controller, err := newController(o, dir, i, ports, config.External{Cloud: cloud, State: state})
		if err != nil {
			return nil, err
		}
		s.Controllers = append(s.Controllers, controller)
	}
	for i := range o.Machines {
		s.World.Boot("wide", Zones[i%len(Zones)], false, 0)
	}
	return s, nil
}

func teamLimits(teams []config.Team) map[string]emulate.Resources {
	limits := map[string]emulate.Resources{}
	for _, team := range teams {
		limits[team.Name] = emulate.Resources{CPUs: team.CPUsMax, GPUs: team.GPUsMax}
	}
	return limits
}

func memberName(i int) string { return fmt.Sprintf("drover-%d", i) }

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// freePorts returns ports of 127.0.0.1 that were free a moment ago.
func freePorts(n int) (ports []int, err error) {
	for range n {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// serve serves a stand-in on a free port of 127.0.0.1 and returns its address.
func (s *Site) serve(handler http.Handler) (addr string, err error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, "stand-in ended:", err)
		}
	}()
	return listener.Addr().String(), nil
}

// settingsFile is a controller's settings file.
type settingsFile struct {
	Member     string           `toml:"member"`
	Site       string           `toml:"site"`
	Listen     string           `toml:"listen"`
	PeerListen string           `toml:"peer_listen"`
	Siblings   []config.Sibling `toml:"siblings"`
	Outside    config.External  `toml:"outside"`
	Facts      config.Facts     `toml:"facts"`
}

// writeSettings writes a controller's settings file.
func writeSettings(o *Options, path string, i int, ports []int, outside config.External) error {
	file := settingsFile{
		Member:     memberName(i),
		Site:       Zones[i%len(Zones)],
		Listen:     address(ports[2*i]),
		PeerListen: address(ports[2*i+1]),
		Outside:    outside,
		Facts:      o.Facts,
	}
	for j := range o.Facts.Nodes {
		if j != i {
			file.Siblings = append(file.Siblings, config.Sibling{Member: memberName(j), Site: Zones[j%len(Zones)], Address: address(ports[2*j+1])})
		}
	}
	encoded, err := toml.Marshal(file)
	if err != nil {
		return err
	}
	if next := o.NextState; next != nil {
		encoded = fmt.Appendf(encoded, "\n[facts.state.next]\nrps = %.1f\nwrite_rps = %.1f\nvalue_kb = %.1f\ntxn_ops = %d\n",
			next.RPS, next.WriteRPS, next.ValueKB, next.TxnOps)
	}
	return os.WriteFile(path, encoded, 0o600)
}

// newController writes the settings of a controller that is not started yet.
func newController(o *Options, dir string, i int, ports []int, outside config.External) (*Controller, error) {
	path := filepath.Join(dir, memberName(i)+".toml")
	if err := writeSettings(o, path, i, ports, outside); err != nil {
		return nil, err
	}
	return &Controller{
		Member:  memberName(i),
		Addr:    address(ports[2*i]),
		binary:  o.Binary,
		tuning:  o.Tuning,
		config:  path,
		logPath: filepath.Join(dir, memberName(i)+".log"),
	}, nil
}

// Close ends all controllers and stand-ins and removes the temporary folder.
func (s *Site) Close() {
	for _, controller := range s.Controllers {
		controller.Kill()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.World.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "kept", s.dir)
	}
}
