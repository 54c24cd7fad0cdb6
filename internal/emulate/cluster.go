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
	// Nodes is the number of controllers, which the caller starts.
	Nodes int
	// MaxMachines is the most that the cloud has.
	MaxMachines int
	// Listen is the address of the first controller for users and workers; the
	// others follow on the next ports, and their peer ports 100 above.
	Listen string
	Log    *slog.Logger
}

// peerPortOffset is how far above its port for users a controller's peer port is.
const peerPortOffset = 100

// Cluster is an emulated state service and cloud on loopback, with the settings
// for the controllers that are to live on them.
type Cluster struct {
	World    *World
	Store    *Store
	Settings []*config.Settings

	servers []*http.Server
}

// clusterZones of an emulated cluster.
var clusterZones = []string{"east", "north", "south", "west"}

// clusterTypes of an emulated cluster: they boot fast, so that a newcomer need not wait.
var clusterTypes = []wire.MachineType{
	{Name: "small", CPUs: 4, MemGB: 16, CacheGB: 20, FetchRate: 2, Price: 0.2, SpotPrice: 0.06, BootS: 2, Zones: clusterZones},
	{Name: "large", CPUs: 16, MemGB: 64, CacheGB: 20, FetchRate: 2, Price: 0.8, SpotPrice: 0.24, BootS: 3, Zones: clusterZones},
}

// Start begins an emulation on loopback.
func Start(o Options) (*Cluster, error) {
	if o.Nodes < 1 || o.Nodes > 9 {
		return nil, fmt.Errorf("emulation: %d controllers, not from 1 to 9", o.Nodes)
	}
	if o.MaxMachines < 1 || o.MaxMachines > 1000 {
		return nil, fmt.Errorf("emulation: %d machines, not from 1 to 1000", o.MaxMachines)
	}
	host, text, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("emulation: %w", err)
	}
	ip := net.ParseIP(host)
	if ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("emulation: %q is not an address of loopback", o.Listen)
	}
	port, err := strconv.Atoi(text)
	if err != nil || port < 1 || port+peerPortOffset+o.Nodes > 65535 {
		return nil, fmt.Errorf("emulation: port %q is not usable", text)
	}
	at := func(port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }
	nw := NewLoopback()
	cl := &Cluster{Store: NewStore()}
	var controllers []Controller
	for i := range o.Nodes {
		controllers = append(controllers, Controller{Member: fmt.Sprintf("node-%d", i), Addr: at(port + i)})
	}
	facts := cl.platformFacts(o)
	lease := config.Seconds(facts.Facts.Workers.LeaseS)
	cl.World = New(Config{Network: nw, Store: cl.Store, Types: clusterTypes, MaxMachines: o.MaxMachines, Controllers: controllers,
		LeaseDuration: lease, CancelTimeout: config.Seconds(facts.Facts.Workers.CancelS), HeartbeatInterval: config.Seconds(facts.Facts.Workers.ReportS),
		GangTimeout: config.Seconds(facts.Facts.Workers.GangWaitS), ImagePull: 300 * time.Millisecond, ListLag: time.Second, Log: o.Log})
	serve := func(name string, h http.Handler) (string, error) {
		ln, err := nw.Listen(name + ":0")
		if err != nil {
			return "", fmt.Errorf("emulation: %s: %w", name, err)
		}
		srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
		cl.servers = append(cl.servers, srv)
		go func() {
			if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) && o.Log != nil {
				o.Log.Error("emulation ended", "part", name, "error", err)
			}
		}()
		return ln.Addr().String(), nil
	}
	if facts.Outside.State, err = serve("state", cl.Store); err != nil {
		cl.Close()
		return nil, err
	}
	if facts.Outside.Cloud, err = serve("cloud", cl.World); err != nil {
		cl.Close()
		return nil, err
	}
	for i := range o.Nodes {
		set := *facts
		set.Member, set.Site, set.Listen, set.PeerListen = controllers[i].Member, clusterZones[i%len(clusterZones)], at(port+i), at(port+peerPortOffset+i)
		for j := range o.Nodes {
			if j != i {
				set.Siblings = append(set.Siblings, config.Sibling{Member: controllers[j].Member, Site: clusterZones[j%len(clusterZones)], Address: at(port + peerPortOffset + j)})
			}
		}
		cl.Settings = append(cl.Settings, &set)
	}
	return cl, nil
}

// platformFacts are what the platform says about the emulated cluster.
func (cl *Cluster) platformFacts(o Options) *config.Settings {
	s := &config.Settings{}
	f := &s.Facts
	f.Nodes, f.Zones, f.SkewMs = o.Nodes, clusterZones, 50
	f.Teams = []config.Team{{Name: "red"}, {Name: "blue"}}
	f.Workers = config.Workers{ReportS: 1, LeaseS: 8, GangWaitS: 20, GangPeerS: 3, CancelS: 16}
	f.State.RPS, f.State.WriteRPS, f.State.ValueKB, f.State.TxnOps = 500, 200, 32, 12
	f.Cloud.RPS, f.Cloud.ListLagS = 10, 1
	f.Resources.CoreShare, f.Resources.RAMMB, f.Resources.MaxSockets = 1, 256, 2000
	return s
}

// Close ends the emulation; all that it held is gone.
func (cl *Cluster) Close() {
	for _, s := range cl.servers {
		_ = s.Close()
	}
	cl.World.Close()
}
