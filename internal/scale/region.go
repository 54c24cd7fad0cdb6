package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
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

// machineType is the type of all machines. With it, a fleet of the planned size has a quarter more
// resources than the planned number of running tasks needs.
var machineType = wire.MachineType{Name: "c32", CPUs: 32, MemGB: 128, CacheGB: 100, FetchRate: 1, Price: 1, SpotPrice: 0.3, BootS: 30}

// Timings and limits of the emulated regions, as of a large site.
const (
	heartbeatIntervalS, leaseS, gangTimeoutS, gangPeerS, cancelTimeoutS = 6, 31, 35, 6, 51
	stateRPS, stateWriteRPS, valueKB, txnOps                            = 600, 250, 32, 12
	cloudRPS, listLagS                                                  = 6, 8
	controllerMemoryMB, controllerSockets                               = 1024, 6000
	imagePullTime                                                       = 300 * time.Millisecond
	userPort, peerPort                                                  = "8080", "8081"
	// The objective is that the share urgentShare of the urgent tasks starts within urgentStartS.
	urgentStartS, urgentShare = 5.6, 0.99
	// promiseMs and yieldS equal the values in deploy/shares.json.
	promiseMs, yieldS = 2000, 5
	// idleBoots is the retention period of idle machines, in boot times. It is long, so that
	// the size of the fleet does not change during a run.
	idleBoots = 100
	// limitFactor is the ratio of a team's limit to an even share of the region's CPUs.
	limitFactor = 8
)

// region consists of controllers, and of an emulated key-value store, cloud with workers, and users.
type region struct {
	regionPlan
	options     *Options
	network     *network
	store       *emulate.Store
	world       *emulate.World
	startWaits  *startWaits
	users       *users
	controllers []*controller
	// addresses are the controllers' addresses for users and workers, peerAddresses those for
	// other controllers.
	addresses     []string
	peerAddresses []string
	servers       []*http.Server
}

// newRegion starts the emulated systems of a region and writes the settings of its controllers to
// files in dir. If writing fails, it returns the region along with the error, for the caller to close.
func newRegion(o *Options, p regionPlan, loopback *emulate.Loopback, startWaits *startWaits, dir string) (*region, error) {
	r := &region{
		regionPlan: p,
		options:    o,
		network:    newNetwork(p.name, loopback),
		store:      emulate.NewStore(),
		startWaits: startWaits,
	}
	var controllers []emulate.Controller
	for i := range p.controllers {
		ip, err := r.reserveAddress(loopback, fmt.Sprintf("controller-%d", i))
		if err != nil {
			return nil, err
		}
		r.addresses = append(r.addresses, net.JoinHostPort(ip, userPort))
		r.peerAddresses = append(r.peerAddresses, net.JoinHostPort(ip, peerPort))
		controllers = append(controllers, emulate.Controller{Member: r.member(i), Addr: r.addresses[i]})
	}
	r.world = emulate.New(r.worldConfig(controllers))
	settings, err := r.settings(loopback)
	if err != nil {
		return nil, err
	}
	return r, r.writeSettings(settings, dir)
}

// worldConfig returns the configuration of the region's cloud and workers.
func (r *region) worldConfig(controllers []emulate.Controller) emulate.Config {
	regionType := machineType
	regionType.Zones = r.zones
	return emulate.Config{
		Network:           r.network,
		Store:             r.store,
		Types:             []wire.MachineType{regionType},
		MaxMachines:       r.workers,
		Controllers:       controllers,
		LeaseDuration:     leaseS * time.Second,
		CancelTimeout:     cancelTimeoutS * time.Second,
		HeartbeatInterval: heartbeatIntervalS * time.Second,
		GangTimeout:       gangTimeoutS * time.Second,
		ImagePullTime:     imagePullTime,
		ListLag:           listLagS * time.Second,
		Limits:            r.teamLimits(),
		OnStarted:         r.startWaits.started,
		Log:               r.options.Log,
	}
}

// member returns the member name of controller i.
func (r *region) member(i int) string { return fmt.Sprintf("%s-controller-%d", r.name, i) }

// reserveAddress returns a loopback address for the exclusive use of a controller.
func (r *region) reserveAddress(loopback *emulate.Loopback, host string) (ip string, err error) {
	ln, err := loopback.Listen(r.name + "/" + host + ":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	ip, _, err = net.SplitHostPort(ln.Addr().String())
	return ip, err
}

// teamLimit returns the number of CPUs that a team may use in the region.
func (r *region) teamLimit() float64 {
	return limitFactor * float64(r.workers) * machineType.CPUs / float64(r.options.teamCount())
}

// teamGuarantee returns the number of CPUs that the region guarantees to a team, which is half of an
// even share.
func (r *region) teamGuarantee() float64 { return r.teamLimit() / (2 * limitFactor) }

// teamNames returns the names of all teams.
func (r *region) teamNames() []string {
	names := make([]string, r.options.teamCount())
	for i := range names {
		names[i] = fmt.Sprintf("team-%03d", i)
	}
	return names
}

// teamLimits returns the limits that the emulation checks at each task start. It returns none if the
// run moves limits between regions: then operators.checkLimits checks only the sums.
func (r *region) teamLimits() map[string]emulate.Resources {
	if r.options.ChangesPerMinute > 0 {
		return nil
	}
	limits := map[string]emulate.Resources{}
	for _, team := range r.teamNames() {
		limits[team] = emulate.Resources{CPUs: r.teamLimit()}
	}
	return limits
}

// serve starts an HTTP server for an emulated system of the region and returns its address.
func (r *region) serve(loopback *emulate.Loopback, name string, h http.Handler) (addr string, err error) {
	ln, err := loopback.Listen(r.name + "/" + name + ":0")
	if err != nil {
		return "", fmt.Errorf("listening for %s of %s: %w", name, r.name, err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	r.servers = append(r.servers, srv)
	go func() {
		if err := srv.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
			r.options.Log.Error("server of an emulated system failed", "region", r.name, "server", name, "error", err)
		}
	}()
	return ln.Addr().String(), nil
}

// settings starts the servers of the key-value store and the cloud, and returns the settings that
// all controllers of the region share.
func (r *region) settings(loopback *emulate.Loopback) (s *config.Settings, err error) {
	s = &config.Settings{}
	if s.External.State, err = r.serve(loopback, "state", r.store); err != nil {
		return nil, err
	}
	if s.External.Cloud, err = r.serve(loopback, "cloud", r.world); err != nil {
		return nil, err
	}
	facts := &s.Facts
	facts.Nodes = r.regionPlan.controllers
	facts.Zones = r.zones
	facts.SkewMs = 50
	for _, team := range r.teamNames() {
		facts.Teams = append(facts.Teams, config.Team{Name: team, CPUs: r.teamGuarantee(), CPUsMax: r.teamLimit()})
	}
	facts.Objectives = []config.Objective{{Kind: config.ObjectiveWait, Class: urgentClass, WithinS: urgentStartS, Share: urgentShare}}
	facts.Workers = config.Workers{ReportS: heartbeatIntervalS, LeaseS: leaseS, GangWaitS: gangTimeoutS, GangPeerS: gangPeerS, CancelS: cancelTimeoutS}
	facts.State.RPS = stateRPS
	facts.State.WriteRPS = stateWriteRPS
	facts.State.ValueKB = valueKB
	facts.State.TxnOps = txnOps
	facts.Cloud.RPS = cloudRPS
	facts.Cloud.ListLagS = listLagS
	facts.Resources.CoreShare = 1
	facts.Resources.RAMMB = controllerMemoryMB
	facts.Resources.MaxSockets = controllerSockets
	return s, nil
}

// controllerSettings returns the settings of controller i: the shared ones, its own addresses, and
// those of the other controllers of the region.
func (r *region) controllerSettings(shared *config.Settings, i int) *config.Settings {
	settings := *shared
	settings.Member = r.member(i)
	settings.Site = r.zones[i%len(r.zones)]
	settings.Listen = r.addresses[i]
	settings.PeerListen = r.peerAddresses[i]
	for j := range r.addresses {
		if j == i {
			continue
		}
		settings.Siblings = append(settings.Siblings, config.Sibling{
			Member:  r.member(j),
			Site:    r.zones[j%len(r.zones)],
			Address: r.peerAddresses[j],
		})
	}
	return &settings
}

// writeSettings writes the settings file of each controller and adds the controller to the region.
func (r *region) writeSettings(shared *config.Settings, dir string) error {
	for i := range r.addresses {
		settings := r.controllerSettings(shared, i)
		encoded, err := toml.Marshal(settings)
		if err != nil {
			return fmt.Errorf("encoding the settings: %w", err)
		}
		base := filepath.Join(dir, settings.Member)
		settingsFile, tuningFile := base+".toml", base+".json"
		if err := os.WriteFile(settingsFile, encoded, 0o600); err != nil {
			return err
		}
		r.controllers = append(r.controllers, &controller{
			region:     r.name,
			member:     settings.Member,
			tuningFile: tuningFile,
			logFile:    base + ".log",
			command:    []string{r.options.Binary, "--tuning", tuningFile, "--config", settingsFile},
		})
	}
	return nil
}

// tuning holds the operators' settings that differ from the defaults.
type tuning struct {
	PromiseMs int     `json:"promise_ms"`
	YieldS    float64 `json:"yield_s"`
	Shares    struct {
		Enabled bool `json:"enabled"`
	} `json:"shares"`
	Hosts struct {
		IdleBoots float64 `json:"idle_boots"`
	} `json:"hosts"`
	Regions config.Regions `json:"regions"`
}

// writeTuning writes the operators' settings to a file for each controller.
func (r *region) writeTuning(regions config.Regions) error {
	settings := tuning{PromiseMs: promiseMs, YieldS: yieldS, Regions: regions}
	settings.Shares.Enabled = true
	settings.Hosts.IdleBoots = idleBoots
	encoded, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	for _, c := range r.controllers {
		if err := os.WriteFile(c.tuningFile, encoded, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// bootWorkers boots all workers, spread evenly over a duration.
func (r *region) bootWorkers(duration time.Duration) {
	for i := range r.workers {
		after := duration * time.Duration(i) / time.Duration(r.workers)
		r.world.Boot(machineType.Name, r.zones[i%len(r.zones)], false, after)
	}
}

// startLoad starts the users, who submit jobs until the context ends.
func (r *region) startLoad(ctx context.Context, u *users, seed uint64) {
	r.users = u
	for i, class := range r.options.classes() {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		u.wg.Go(func() { u.submit(ctx, class, r.startsPerS, random) })
	}
}

// leader returns the controller that holds the leader's lease in the key-value store, or the first
// controller if none does.
func (r *region) leader() *controller {
	var holder struct {
		Member string `codec:"member"`
	}
	if e, ok := r.store.Entry(holderKey); ok && wire.Unmarshal(e.Value, &holder) == nil {
		if i := slices.IndexFunc(r.controllers, func(c *controller) bool { return c.member == holder.Member }); i >= 0 {
			return r.controllers[i]
		}
	}
	return r.controllers[0]
}

// holderKey is the key of the leader's lease.
const holderKey = "lead/holder"

// controllerExited reports whether a controller has exited unexpectedly.
func (r *region) controllerExited() bool {
	return slices.ContainsFunc(r.controllers, func(c *controller) bool { return c.statistics().UnexpectedExits > 0 })
}

// healthy reports whether the health checks of all controllers succeed.
func (r *region) healthy(client *http.Client) bool {
	for _, a := range r.addresses {
		res, err := client.Get("http://" + a + "/healthz")
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		if res.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

// close kills the controllers and stops the emulated systems of the region.
func (r *region) close(log *slog.Logger) {
	for _, c := range r.controllers {
		c.kill()
	}
	for _, s := range r.servers {
		if err := s.Close(); err != nil {
			log.Debug("failed to close the server of an emulated system", "region", r.name, "error", err)
		}
	}
	r.world.Close()
}
