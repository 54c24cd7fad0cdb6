package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/wire"
)

// Timings of the workers, in seconds. They are those of the site lonestar-ctv-shared.
const (
	reportS   = 2
	leaseS    = 14
	gangWaitS = 45
	gangPeerS = 6
	cancelS   = 34
)

// machineTypes are those of the site levant-claims-grid, with all its zones.
var machineTypes = []wire.MachineType{
	{Name: "narrow", CPUs: 8, MemGB: 32, CacheGB: 70, FetchRate: 1, Price: 0.3, SpotPrice: 0.07, BootS: 50, Zones: zones},
	{Name: "wide", CPUs: 16, MemGB: 32, CacheGB: 60, FetchRate: 0.4, Price: 0.5, SpotPrice: 0.13, BootS: 25, Zones: zones[1:]},
}

var zones = []string{"abdali", "sahab", "irbid", "aqaba"}

// teams are those of the site levant-claims-grid.
var teams = []config.Team{
	{Name: "ammanfin", CPUs: 64, CPUsMax: 264},
	{Name: "zarqaops", CPUs: 56, CPUsMax: 128},
	{Name: "irbidaudit", CPUs: 80, CPUsMax: 128},
	{Name: "aqabatravel", CPUs: 48, CPUsMax: 80},
}

// stateLimits are the limits of the state service.
var stateLimits = limits{RPS: 200, WriteRPS: 80, ValueKB: 16, TxnOps: 12}

// grownTeams are those of the site levant-claims-grid-grown.
var grownTeams = []config.Team{
	{Name: "ammanfin", CPUs: 2000, CPUsMax: 8000},
	{Name: "zarqaops", CPUs: 1800, CPUsMax: 4000},
	{Name: "irbidaudit", CPUs: 2500, CPUsMax: 4000},
	{Name: "aqabatravel", CPUs: 1500, CPUsMax: 2500},
}

const controllers = 3

// maxMachines is the number of machines of the cloud where the capacity of the site does not bind.
const maxMachines = 200

// stateLatency is the latency of the state service at the site lonestar-ctv-shared.
const stateLatency = 6 * time.Millisecond

// platform is the cloud, the workers and the state service of one case.
type platform struct {
	world   *emulate.World
	cloud   *smallCloud
	state   *limitedState
	network *network
	nodes   []string // addresses of the controllers for users
}

// startPlatform starts the stand-ins and writes a settings file for each controller. Without machines none is up at
// the start and boots take bootS.
func startPlatform(dir string, machines bool) (*platform, error) {
	users, peers, err := freeAddresses()
	if err != nil {
		return nil, err
	}
	p := &platform{network: newNetwork(), nodes: users}
	store := emulate.NewStore()
	store.SetLatency(stateLatency)
	p.state = newLimitedState(store, stateLimits)
	var members []emulate.Controller
	for i, addr := range users {
		members = append(members, emulate.Controller{Member: member(i), Addr: addr})
	}
	types, siteTeams := slices.Clone(machineTypes), teams
	if !machines {
		siteTeams = grownTeams
		for i := range types {
			types[i].BootS = bootS
		}
	}
	p.world = emulate.New(emulate.Config{
		Network:           p.network,
		Store:             store,
		Types:             types,
		MaxMachines:       maxMachines,
		Controllers:       members,
		LeaseDuration:     leaseS * time.Second,
		CancelTimeout:     cancelS * time.Second,
		HeartbeatInterval: reportS * time.Second,
		GangTimeout:       gangWaitS * time.Second,
		ImagePullTime:     600 * time.Millisecond,
		ListLag:           8 * time.Second,
	})
	p.world.RecordHistory()
	stateAddr, err := serve(p.network, "state", p.state)
	if err != nil {
		return nil, err
	}
	p.cloud = newSmallCloud(p.world)
	p.cloud.unlimited = !machines
	cloudAddr, err := serve(p.network, "cloud", p.cloud)
	if err != nil {
		return nil, err
	}
	if machines {
		p.bootMachines()
	}
	return p, writeSettings(dir, users, peers, stateAddr, cloudAddr, siteTeams)
}

// bootMachines starts the seven machines that are up at the start at levant-claims-grid.
func (p *platform) bootMachines() {
	for _, zone := range zones {
		p.cloud.add("narrow", zone)
	}
	for _, zone := range zones[1:] {
		p.cloud.add("wide", zone)
	}
}

func member(i int) string { return fmt.Sprintf("drover-%d", i) }

// Ports of the controllers. They are below those that the system gives to connections, so that no connection takes
// one before its controller listens.
const (
	firstPort  = 20000
	portBlocks = 1000
	blockPorts = 2 * controllers
)

// freeAddresses returns loopback addresses of the controllers for users and for peers, in a block of free ports.
func freeAddresses() (users, peers []string, err error) {
	for i := range portBlocks {
		block := (os.Getpid() + i) % portBlocks
		var all []string
		for port := range blockPorts {
			addr := fmt.Sprintf("127.0.0.1:%d", firstPort+block*blockPorts+port)
			if listener, err := net.Listen("tcp4", addr); err == nil {
				_ = listener.Close()
				all = append(all, addr)
			}
		}
		if len(all) == blockPorts {
			return all[:controllers], all[controllers:], nil
		}
	}
	return nil, nil, errors.New("no block of free ports")
}

// serve serves a stand-in at a free port of its host.
func serve(n emulate.Network, host string, handler http.Handler) (addr string, err error) {
	listener, err := n.Listen(host + ":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// writeSettings writes DIR/node-N.toml for each controller.
func writeSettings(dir string, users, peers []string, stateAddr, cloudAddr string, siteTeams []config.Team) error {
	for i := range users {
		s := config.Settings{Member: member(i), Site: zones[i], Listen: users[i], PeerListen: peers[i]}
		for j := range users {
			if j != i {
				s.Siblings = append(s.Siblings, config.Sibling{Member: member(j), Site: zones[j], Address: peers[j]})
			}
		}
		s.External = config.External{Cloud: cloudAddr, State: stateAddr}
		s.Facts = config.Facts{
			Nodes:     controllers,
			Zones:     zones,
			SkewMs:    100,
			Teams:     siteTeams,
			Workers:   config.Workers{ReportS: reportS, LeaseS: leaseS, GangWaitS: gangWaitS, GangPeerS: gangPeerS, CancelS: cancelS},
			State:     config.StateLimits{RPS: stateLimits.RPS, WriteRPS: stateLimits.WriteRPS, ValueKB: stateLimits.ValueKB, TxnOps: stateLimits.TxnOps},
			Cloud:     config.CloudLimits{RPS: 6, ListLagS: 8},
			Resources: config.Resources{CoreShare: 0.24, RAMMB: 179, MaxSockets: 2000},
		}
		text, err := toml.Marshal(s)
		if err != nil {
			return err
		}
		// Written under another name first, so that the script never sees half a file.
		name := filepath.Join(dir, fmt.Sprintf("node-%d.toml", i+1))
		if err := os.WriteFile(name+".part", text, 0o644); err != nil {
			return err
		}
		if err := os.Rename(name+".part", name); err != nil {
			return err
		}
	}
	return nil
}
