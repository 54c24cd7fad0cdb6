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

// Options configures a cluster that is emulated on loopback.
type Options struct {
	// Controllers is the number of controllers. The caller starts them.
	Controllers int
	// MaxMachines bounds the machines of the cloud.
	MaxMachines int
	// Listen is the address of the first controller for users and workers. The other controllers
	// use the ports that follow. The port for peers is peerPortOffset above that for users.
	Listen string
	Log    *slog.Logger
}

// Bounds of the options.
const (
	maxControllers = 9
	maxMachines    = 1000
	maxPort        = 65535
)

// peerPortOffset is the difference between a controller's ports for peers and for users.
const peerPortOffset = 100

// Cluster is an emulated key-value store and cloud on loopback, with the settings of the
// controllers that use them.
type Cluster struct {
	World    *World
	Store    *Store
	Settings []*config.Settings

	log     *slog.Logger // may be nil
	servers []*http.Server
}

// clusterZones are the zones of an emulated cluster.
var clusterZones = []string{"east", "north", "south", "west"}

// clusterMachineTypes are the machine types of an emulated cluster. Their boot times are short so
// that interactive use does not have to wait for machines.
var clusterMachineTypes = []wire.MachineType{
	{Name: "small", CPUs: 4, MemGB: 16, CacheGB: 20, FetchRate: 2, Price: 0.2, SpotPrice: 0.06, BootS: 2, Zones: clusterZones},
	{Name: "large", CPUs: 16, MemGB: 64, CacheGB: 20, FetchRate: 2, Price: 0.8, SpotPrice: 0.24, BootS: 3, Zones: clusterZones},
}

// listenAddress is the loopback host of a cluster's controllers and the port of the first one for
// users and workers.
type listenAddress struct {
	host string
	port int
}

// userAddr returns the address of controller i for users and workers.
func (a listenAddress) userAddr(i int) string {
	return net.JoinHostPort(a.host, strconv.Itoa(a.port+i))
}

// peerAddr returns the address of controller i for the other controllers.
func (a listenAddress) peerAddr(i int) string {
	return net.JoinHostPort(a.host, strconv.Itoa(a.port+peerPortOffset+i))
}

// validate returns the address of the first controller, or an error that names the invalid option.
func (o *Options) validate() (listenAddress, error) {
	if o.Controllers < 1 || o.Controllers > maxControllers {
		return listenAddress{}, fmt.Errorf("emulation: the number of controllers is %d, but must be from 1 to %d", o.Controllers, maxControllers)
	}
	if o.MaxMachines < 1 || o.MaxMachines > maxMachines {
		return listenAddress{}, fmt.Errorf("emulation: the maximum number of machines is %d, but must be from 1 to %d", o.MaxMachines, maxMachines)
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
		return listenAddress{}, fmt.Errorf("emulation: port %q is invalid or leaves no room for the peer ports", text)
	}
	return listenAddress{host, port}, nil
}

// memberName returns the member name of controller i.
func memberName(i int) string { return fmt.Sprintf("node-%d", i) }

// Start starts the key-value store and the cloud on loopback and returns them with the settings of
// the controllers.
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

// worldConfig returns the configuration of the cloud and the workers, with the same timings as in the
// settings of the controllers.
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

// serve serves an emulated system at an address of its own and returns the address.
func (cl *Cluster) serve(network Network, name string, handler http.Handler) (addr string, err error) {
	listener, err := network.Listen(name + ":0")
	if err != nil {
		return "", fmt.Errorf("emulation: %s: %w", name, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	cl.servers = append(cl.servers, server)
	go func() {
		if err := server.Serve(listener); err != nil && !errors.Is(err, http.ErrServerClosed) && cl.log != nil {
			cl.log.Error("emulation server failed", "server", name, "error", err)
		}
	}()
	return listener.Addr().String(), nil
}

// controllerSettings returns the settings of controller i: a copy of the platform's settings with the
// controller's own addresses and those of its siblings.
func controllerSettings(platform *config.Settings, listen listenAddress, i int) *config.Settings {
	settings := *platform
	settings.Member = memberName(i)
	settings.Site = clusterZones[i%len(clusterZones)]
	settings.Listen = listen.userAddr(i)
	settings.PeerListen = listen.peerAddr(i)
	for j := range platform.Facts.Nodes {
		if j == i {
			continue
		}
		settings.Siblings = append(settings.Siblings, config.Sibling{
			Member:  memberName(j),
			Site:    clusterZones[j%len(clusterZones)],
			Address: listen.peerAddr(j),
		})
	}
	return &settings
}

// platformFacts returns the settings that describe the emulated platform: its zones, teams, timings
// and the rate limits of its store and cloud.
func platformFacts(o Options) *config.Settings {
	settings := &config.Settings{}
	facts := &settings.Facts
	facts.Nodes = o.Controllers
	facts.Zones = clusterZones
	facts.SkewMs = 50
	facts.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	facts.Workers = config.Workers{ReportS: 1, LeaseS: 8, GangWaitS: 20, GangPeerS: 3, CancelS: 16}
	facts.State.RPS = 500
	facts.State.WriteRPS = 200
	facts.State.ValueKB = 32
	facts.State.TxnOps = 12
	facts.Cloud.RPS = 10
	facts.Cloud.ListLagS = 1
	facts.Resources.CoreShare = 1
	facts.Resources.RAMMB = 256
	facts.Resources.MaxSockets = 2000
	return settings
}

// Close stops the emulated systems and discards their data.
func (cl *Cluster) Close() {
	for _, server := range cl.servers {
		_ = server.Close()
	}
	cl.World.Close()
}
