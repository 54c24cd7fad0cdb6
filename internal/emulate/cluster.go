package emulate

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"vetchstream/internal/config"
	"vetchstream/internal/wire"
)

// Options says what cluster is emulated on this machine.
type Options struct {
	// Controllers is the number of controllers, which the caller starts.
	Controllers int
	// MaxMachines is the most that the cloud has.
	MaxMachines int
	// Listen is the address of the first controller for users and workers; the
	// others follow on the next ports, and their peer ports 100 above.
	Listen string
	Log    *slog.Logger
}

// Bounds of an emulation.
const (
	maxControllers = 9
	maxMachines    = 1000
	maxPort        = 65535
)

// peerPortOffset is how far above its port for users a controller's peer port is.
const peerPortOffset = 100

// Cluster is an emulated key-value store and cloud on loopback, with the settings for the
// controllers that are to run on them.
type Cluster struct {
	World    *World
	Store    *Store
	Settings []*config.Settings

	log     *slog.Logger // nil: nothing is logged
	servers []*http.Server
}

// clusterZones are the zones of an emulated cluster.
var clusterZones = []string{"east", "north", "south", "west"}

// clusterMachineTypes are the machine types of an emulated cluster. They boot fast, so that a newcomer
// need not wait.
var clusterMachineTypes = []wire.MachineType{
	{Name: "small", CPUs: 4, MemGB: 16, CacheGB: 20, FetchRate: 2, Price: 0.2, SpotPrice: 0.06, BootS: 2, Zones: clusterZones},
	{Name: "large", CPUs: 16, MemGB: 64, CacheGB: 20, FetchRate: 2, Price: 0.8, SpotPrice: 0.24, BootS: 3, Zones: clusterZones},
}

// listenAddress is where the controllers of a cluster listen: a host of loopback and the first port.
type listenAddress struct {
	host string
	port int
}

// userAddr is the address of controller i for users and workers.
func (a listenAddress) userAddr(i int) string {
	return net.JoinHostPort(a.host, strconv.Itoa(a.port+i))
}

// peerAddr is the address of controller i for the other controllers.
func (a listenAddress) peerAddr(i int) string {
	return net.JoinHostPort(a.host, strconv.Itoa(a.port+peerPortOffset+i))
}

// validate returns the address of the first controller, or an error that names the option that
// cannot be emulated.
func (o *Options) validate() (listenAddress, error) {
	if o.Controllers < 1 || o.Controllers > maxControllers {
		return listenAddress{}, fmt.Errorf("emulation: %d controllers, not from 1 to %d", o.Controllers, maxControllers)
	}
	if o.MaxMachines < 1 || o.MaxMachines > maxMachines {
		return listenAddress{}, fmt.Errorf("emulation: %d machines, not from 1 to %d", o.MaxMachines, maxMachines)
	}
	host, text, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return listenAddress{}, fmt.Errorf("emulation: %w", err)
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return listenAddress{}, fmt.Errorf("emulation: %q is not an address of loopback", o.Listen)
	}
	port, err := strconv.Atoi(text)
	if err != nil || port < 1 || port+peerPortOffset+o.Controllers > maxPort {
		return listenAddress{}, fmt.Errorf("emulation: port %q is not usable", text)
	}
	return listenAddress{host, port}, nil
}

// memberName is the name of controller i as a member.
func memberName(i int) string { return fmt.Sprintf("node-%d", i) }

// Start begins an emulation on loopback.
func Start(o Options) (*Cluster, error) {
	listen, err := o.validate()
	if err != nil {
		return nil, err
	}
	network := NewLoopback()
	cl := &Cluster{Store: NewStore(), log: o.Log}
	settings := platformFacts(o)
	cl.World = New(worldConfig(&o, network, cl.Store, listen, &settings.Facts.Workers))
	settings.External.State, err = cl.serve(network, "state", cl.Store)
	if err != nil {
		cl.Close()
		return nil, err
	}
	settings.External.Cloud, err = cl.serve(network, "cloud", cl.World)
	if err != nil {
		cl.Close()
		return nil, err
	}
	for i := range o.Controllers {
		cl.Settings = append(cl.Settings, controllerSettings(settings, listen, i))
	}
	return cl, nil
}

// worldConfig is the cloud and the workers of a cluster, with the timings that its controllers
// are set to.
func worldConfig(o *Options, network Network, store *Store, listen listenAddress, timings *config.Workers) Config {
	var controllers []Controller
	for i := range o.Controllers {
		controllers = append(controllers, Controller{Member: memberName(i), Addr: listen.userAddr(i)})
	}
	return Config{
		Network:           network,
		Store:             store,
		Types:             clusterMachineTypes,
		MaxMachines:       o.MaxMachines,
		Controllers:       controllers,
		LeaseDuration:     config.Seconds(timings.LeaseS),
		CancelTimeout:     config.Seconds(timings.CancelS),
		HeartbeatInterval: config.Seconds(timings.ReportS),
		GangTimeout:       config.Seconds(timings.GangWaitS),
		ImagePullTime:     300 * time.Millisecond,
		ListLag:           time.Second,
		Log:               o.Log,
	}
}

// serve serves a part of the cluster at an address of its own, which it returns.
func (cl *Cluster) serve(network Network, name string, handler http.Handler) (addr string, err error) {
	ln, err := network.Listen(name + ":0")
	if err != nil {
		return "", fmt.Errorf("emulation: %s: %w", name, err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	cl.servers = append(cl.servers, srv)
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && cl.log != nil {
			cl.log.Error("emulation server failed", "server", name, "error", err)
		}
	}()
	return ln.Addr().String(), nil
}

// controllerSettings are the settings of controller i: those of the platform, with its own
// addresses and those of the others.
func controllerSettings(platform *config.Settings, listen listenAddress, i int) *config.Settings {
	set := *platform
	set.Member = memberName(i)
	set.Site = clusterZones[i%len(clusterZones)]
	set.Listen = listen.userAddr(i)
	set.PeerListen = listen.peerAddr(i)
	for j := range platform.Facts.Nodes {
		if j == i {
			continue
		}
		set.Siblings = append(set.Siblings, config.Sibling{
			Member:  memberName(j),
			Site:    clusterZones[j%len(clusterZones)],
			Address: listen.peerAddr(j),
		})
	}
	return &set
}

// platformFacts are the settings that the platform of the emulated cluster gives.
func platformFacts(o Options) *config.Settings {
	s := &config.Settings{}
	f := &s.Facts
	f.Nodes = o.Controllers
	f.Zones = clusterZones
	f.SkewMs = 50
	f.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	f.Workers = config.Workers{ReportS: 1, LeaseS: 8, GangWaitS: 20, GangPeerS: 3, CancelS: 16}
	f.State.RPS = 500
	f.State.WriteRPS = 200
	f.State.ValueKB = 32
	f.State.TxnOps = 12
	f.Cloud.RPS = 10
	f.Cloud.ListLagS = 1
	f.Resources.CoreShare = 1
	f.Resources.RAMMB = 256
	f.Resources.MaxSockets = 2000
	return s
}

// Close ends the emulation; all that it stored is gone.
func (cl *Cluster) Close() {
	for _, s := range cl.servers {
		_ = s.Close()
	}
	cl.World.Close()
}
