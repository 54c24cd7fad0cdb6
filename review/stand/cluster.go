package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"vetchstream/internal/config"
	"vetchstream/internal/emulate"
	"vetchstream/internal/wire"
)

// controllers is the number of controllers of every case.
const controllers = 3

// member is one controller: its settings, its addresses and its process.
type member struct {
	name     string
	userAddr string
	peerAddr string
	settings string // path of the settings file

	mu      sync.Mutex
	process *exec.Cmd // nil: it does not run
}

// cluster holds the stand-ins and the controllers of a case.
type cluster struct {
	record  *recorder
	trouble bool
	dir     string
	network *emulate.Loopback
	store   *emulate.Store
	limits  *storeLimits
	world   *emulate.World
	members []*member
	servers []*http.Server
}

// newCluster reserves the addresses of a case. The case calls start afterwards.
func newCluster(record *recorder, trouble bool) (*cluster, error) {
	dir, err := os.MkdirTemp("", "vetchstream-review-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: record, trouble: trouble, dir: dir, store: emulate.NewStore()}
	block, err := freeBlock()
	if err != nil {
		return nil, err
	}
	c.network = emulate.NewLoopbackAt(block)
	for i := range controllers {
		m := &member{name: fmt.Sprintf("drover-%d", i)}
		if m.userAddr, err = freeAddress(); err != nil {
			return nil, err
		}
		if m.peerAddr, err = freeAddress(); err != nil {
			return nil, err
		}
		m.settings = filepath.Join(dir, m.name+".toml")
		c.members = append(c.members, m)
	}
	return c, nil
}

// freeAddress returns an address of loopback with a port that is free now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// freeBlock returns the second byte of addresses on which nobody listens at the workers' port.
func freeBlock() (byte, error) {
	first := 100 + os.Getpid()%100
	for n := range 100 {
		block := 100 + (first+n)%100
		l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.0.3:9000", block))
		if err == nil {
			return byte(block), l.Close()
		}
	}
	return 0, errors.New("no free block of loopback addresses")
}

// serve serves a stand-in and returns its address.
func (c *cluster) serve(name string, handler http.Handler) (string, error) {
	l, err := c.network.Listen(name + ":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	c.servers = append(c.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// start starts the stand-ins, writes the settings files and starts the controllers. extra is
// appended to each settings file.
func (c *cluster) start(facts config.Facts, types []wire.MachineType, extra string) error {
	c.limits = newStoreLimits(c.store, &facts.State, c.record)
	var reportTo []emulate.Controller
	for _, m := range c.members {
		reportTo = append(reportTo, emulate.Controller{Member: m.name, Addr: m.userAddr})
	}
	limits := map[string]emulate.Resources{}
	for _, team := range facts.Teams {
		limits[team.Name] = emulate.Resources{CPUs: team.CPUsMax, GPUs: team.GPUsMax}
	}
	c.world = emulate.New(emulate.Config{
		Network:           c.network,
		Store:             c.store,
		Types:             types,
		MaxMachines:       28,
		Controllers:       reportTo,
		LeaseDuration:     config.Seconds(facts.Workers.LeaseS),
		CancelTimeout:     config.Seconds(facts.Workers.CancelS),
		HeartbeatInterval: config.Seconds(facts.Workers.ReportS),
		GangTimeout:       config.Seconds(facts.Workers.GangWaitS),
		ImagePullTime:     time.Second,
		ListLag:           config.Seconds(facts.Cloud.ListLagS),
		Limits:            limits,
	})
	c.world.RecordHistory()
	state, err := c.serve("state", c.limits)
	if err != nil {
		return err
	}
	cloud, err := c.serve("cloud", c.world)
	if err != nil {
		return err
	}
	for i, m := range c.members {
		if err := c.writeSettings(i, facts, config.External{Cloud: cloud, State: state}, extra); err != nil {
			return err
		}
		if err := c.startController(m); err != nil {
			return err
		}
	}
	return c.awaitLeader()
}

// writeSettings writes the settings file of controller i.
func (c *cluster) writeSettings(i int, facts config.Facts, external config.External, extra string) error {
	m := c.members[i]
	settings := config.Settings{
		Member: m.name, Site: facts.Zones[i], Listen: m.userAddr, PeerListen: m.peerAddr, External: external, Facts: facts,
	}
	for j, other := range c.members {
		if j != i {
			settings.Siblings = append(settings.Siblings, config.Sibling{Member: other.name, Site: facts.Zones[j], Address: other.peerAddr})
		}
	}
	encoded, err := toml.Marshal(&settings)
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, append(encoded, extra...), 0o600)
}

// startController starts the process of a controller with the run line of the deploy file.
func (c *cluster) startController(m *member) error {
	content, err := os.ReadFile("deploy/service.toml")
	if err != nil {
		return err
	}
	var deploy struct {
		Run string `toml:"run"`
	}
	if err := toml.Unmarshal(content, &deploy); err != nil {
		return err
	}
	args := append(strings.Fields(deploy.Run), m.settings)
	logFile, err := os.OpenFile(m.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	process := exec.Command(args[0], args[1:]...)
	process.Stderr = logFile
	process.Env = append(os.Environ(), "LOG_LEVEL=info")
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	m.mu.Lock()
	m.process = process
	m.mu.Unlock()
	c.record.logf("%s started", m.name)
	return nil
}

// kill ends the process of a controller without a signal that it could handle.
func (c *cluster) kill(m *member) {
	m.mu.Lock()
	process := m.process
	m.process = nil
	m.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	_ = process.Wait()
	c.record.logf("%s killed", m.name)
}

// awaitLeader waits until every controller answers a question about a job that nobody has
// submitted.
func (c *cluster) awaitLeader() error {
	deadline := time.Now().Add(20 * time.Second)
	for _, m := range c.members {
		for {
			if answer := c.call(m, http.MethodGet, "/api/jobs/run-999999999", nil, 2*time.Second); answer.code == http.StatusNotFound {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not answer", m.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes and stand-ins, and adds the controllers' logs to the record.
func (c *cluster) close() {
	for _, m := range c.members {
		c.kill(m)
	}
	for _, server := range c.servers {
		_ = server.Close()
	}
	if c.world != nil {
		for _, e := range c.world.History() {
			kind := "ended " + string(e.Cause)
			if e.Start {
				kind = "started"
			}
			c.record.logf("ran: at %.3f task %s on %s (%s) %s", e.At.Sub(c.record.start).Seconds(), e.Task, e.Machine, e.Zone, kind)
		}
		c.world.Close()
	}
	for _, m := range c.members {
		content, _ := os.ReadFile(m.settings + ".log")
		for line := range strings.Lines(string(content)) {
			c.record.logf("log of %s: %s", m.name, strings.TrimSpace(line))
		}
	}
	_ = os.RemoveAll(c.dir)
}
