package control

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"vetchstream/internal/autoscale"
	"vetchstream/internal/calendar"
	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/job"
	"vetchstream/internal/metrics"
	"vetchstream/internal/place"
	"vetchstream/internal/wire"
)

// reservationHolds gather the room of reservations before their time: machines that will be
// free are held, the others are rented ahead by what boots take here. What is held
// follows from the calendar and from what is seen, so it is not stored.
type reservationHolds struct {
	*core
	nameIndex         *nameIndex
	jobTable          *jobTable
	calendarStore     *calendarStore
	maintenanceDrains *maintenanceDrains
	machinePool       *machinePool
	planner           *planner
	rollouts          *rollouts

	slots map[string]*slot // by reservation
	held  map[*fleet.Host]*slot
	boots map[int]*calendar.Estimator    // seconds, by machine type
	hired map[*fleet.Host]bool           // rented in this term and not up yet
	paces map[string]*calendar.Estimator // run time over estimate, by class
	wants []autoscale.Want
}

// slot is an occurrence that room is gathered for.
type slot struct {
	name   string
	span   calendar.Span
	shares []calendar.Allocation
	hosts  map[*fleet.Host]bool
	spot   bool
	// claimer is the job that claims it; nil: none yet, or it is over.
	claimer *job.Job
	// ran is the claimer that was seen running whole first, and when.
	ran   string
	runAt time.Time
	// renting: its machines are rented and kept although they are idle.
	renting bool
	// covered: what the claimer needs is held, or is being rented for the slot.
	covered bool
}

func newReservationHolds(co *core) *reservationHolds {
	hd := &reservationHolds{core: co}
	hd.reset()
	return hd
}

func (hd *reservationHolds) reset() {
	hd.slots, hd.held, hd.wants = map[string]*slot{}, map[*fleet.Host]*slot{}, nil
	hd.boots, hd.paces, hd.hired = map[int]*calendar.Estimator{}, map[string]*calendar.Estimator{}, map[*fleet.Host]bool{}
}

// machineProvisioned notes that a machine's boot can be timed. One that was met when it was up
// would show boots that take no time, and slots would be rented too late.
func (hd *reservationHolds) machineProvisioned(h *fleet.Host) {
	if hd.calendarStore.enabled() {
		hd.hired[h] = true
	}
}

// machineBooted takes in how long a machine took to come up.
func (hd *reservationHolds) machineBooted(h *fleet.Host, took time.Duration) {
	if !hd.hired[h] {
		return
	}
	delete(hd.hired, h)
	if hd.boots[h.Type] == nil {
		hd.boots[h.Type] = &calendar.Estimator{}
	}
	hd.boots[h.Type].Add(took.Seconds())
}

// taskCompleted takes in how long a job's first task ran, against its estimate. The tasks of one
// job are alike: to count them all would make a class look surer than it is, and the
// next job's tasks would overrun the start of a slot.
func (hd *reservationHolds) taskCompleted(j *job.Job, secs float64) {
	if !hd.calendarStore.enabled() || j.RunCount != 1 {
		return
	}
	p := hd.paces[j.Class]
	if p == nil {
		if len(hd.paces) >= mostClasses {
			return
		}
		p = &calendar.Estimator{}
		hd.paces[j.Class] = p
	}
	p.Add(secs / estimate(j))
}

// mostClasses bounds the classes whose estimates are judged: users choose the names.
const mostClasses = 1000

const (
	// unsure is by how much run times may exceed their estimates, until a class has shown
	// otherwise: they are wrong by half or more.
	unsure = 2.0
	// enoughJobs is how many jobs of a class show how sure its estimates are.
	enoughJobs = 10
)

// atMost is how long a task of the job runs at most, as far as estimates of its
// class have shown, in seconds.
func (hd *reservationHolds) atMost(j *job.Job) float64 {
	if j.Shape == job.Service {
		return math.Inf(1)
	}
	sure := unsure
	if p := hd.paces[j.Class]; p != nil {
		sure = max(sure, p.UpperBound(1))
		if p.Count() >= enoughJobs {
			sure = max(1, p.UpperBound(1))
		}
	}
	return estimate(j) * sure
}

// endsIn is in how long a task of the job that is placed now is sure to be gone, in
// seconds.
func (hd *reservationHolds) endsIn(j *job.Job) float64 {
	fetch := 0.0
	for i := range hd.nameIndex.list() {
		if r := hd.nameIndex.list()[i].FetchRate; r > 0 {
			fetch = max(fetch, j.ImageGB/r)
		}
	}
	return fetch + 2*hd.reportTime().Seconds() + hd.atMost(j)
}

// requiredSeconds is for how long a task of the job that is placed now is to have its machine, in
// seconds: the claimer of a slot at most to the slot's end, which the calendar has kept
// free of maintenance. By twice its estimate it was kept off its own machines when
// maintenance came soon after the slot.
func (hd *reservationHolds) requiredSeconds(j *job.Job, now time.Time) float64 {
	ends := hd.endsIn(j)
	if s := hd.slots[j.Booking]; s != nil && s.claimer == j {
		left := time.UnixMilli(s.span.To).Sub(hd.calendarStore.timeOfDay(now)) - hd.maintenanceDrains.handBack()
		ends = min(ends, max(0, left.Seconds()))
	}
	return ends
}

// maxRemainingSeconds is in how long a placement is sure to be gone, in seconds. One that has run
// over everything that was known of its class may go on for a while.
func (hd *reservationHolds) maxRemainingSeconds(s *fleet.Slot, now time.Time) float64 {
	most := hd.atMost(s.Job)
	if s.RunAt.IsZero() {
		return hd.endsIn(s.Job)
	}
	return max(most/5, most-now.Sub(s.RunAt).Seconds())
}

// lead is how long before its start machines that are up are held for a reservation.
// It comes before the renting: where nothing can be rented the machines are full of
// work that takes longer to end than a machine to come up.
func (hd *reservationHolds) lead(e *calendar.Booking) time.Duration {
	return max(hd.rentLead(e), config.Seconds(hd.c.Tuning.Calendar.HoldS))
}

// rentLead is how long before its start what a reservation misses is rented: what its
// machines take to come up, as far as hardly any exceeds, and to be heard of.
func (hd *reservationHolds) rentLead(e *calendar.Booking) time.Duration {
	if e.LeadS != nil {
		return config.Seconds(*e.LeadS)
	}
	lead := 0.0
	for i := range hd.nameIndex.list() {
		t := &hd.nameIndex.list()[i]
		if !slices.ContainsFunc(e.Allocations, func(s calendar.Allocation) bool { return s.Type == t.Name }) {
			continue
		}
		var none calendar.Estimator
		p := hd.boots[i]
		if p == nil {
			p = &none
		}
		lead = max(lead, p.UpperBound(t.BootS))
	}
	return config.Seconds(lead) + 3*hd.reportTime() + 2*calendarEvery
}

// refresh brings the slots up to date: which there are, which machines are held for
// them, and what has to be rented.
func (hd *reservationHolds) refresh(now time.Time) {
	if !hd.calendarStore.enabled() {
		return
	}
	hd.wants = nil
	due := hd.calendarStore.upcomingOccurrences(now, hd.lead)
	for name, s := range hd.slots {
		if d, ok := due[name]; !ok || d.span != s.span {
			hd.drop(s)
		}
	}
	defer func() { hd.c.Meter.Set(metrics.Held, len(hd.held)) }()
	// The next slot chooses first, so that two leaders would choose alike.
	order := slices.SortedFunc(maps.Keys(due), func(a, b string) int {
		return cmp.Or(cmp.Compare(due[a].span.From, due[b].span.From), cmp.Compare(a, b))
	})
	for _, name := range order {
		d := due[name]
		s := hd.slots[name]
		if s == nil {
			s = &slot{name: name, span: d.span, shares: d.entry.Allocations, hosts: map[*fleet.Host]bool{}, spot: d.entry.Spot}
			hd.slots[name] = s
		}
		s.claimer = d.claimer
		hd.watch(s, now)
		if d.decided && s.claimer == nil {
			hd.release(s) // its job is over
			continue
		}
		if hd.c.Tuning.Calendar.Hold {
			hd.hold(s, d.entry, now)
		}
	}
}

// drop forgets a slot.
func (hd *reservationHolds) drop(s *slot) {
	hd.release(s)
	delete(hd.slots, s.name)
}

// release gives up what is held for a slot.
func (hd *reservationHolds) release(s *slot) {
	for h := range s.hosts {
		delete(hd.held, h)
	}
	if len(s.hosts) > 0 {
		hd.changed()
	}
	clear(s.hosts)
}

// watch notes when the claimer runs whole.
func (hd *reservationHolds) watch(s *slot, now time.Time) {
	if s.claimer != nil && s.ran != s.claimer.ID && hd.whole(s.claimer) {
		s.ran, s.runAt = s.claimer.ID, hd.calendarStore.timeOfDay(now)
	}
}

// whole reports whether all of a job that has not ended runs.
func (hd *reservationHolds) whole(j *job.Job) bool {
	n := hd.jobTable.running(j)
	return n > 0 && (j.Waiting() == 0 || j.Over()) && (j.Shape != job.Gang || n == j.Tasks)
}

// began is when the claimer of an occurrence was first seen running whole; zero: not
// yet.
func (hd *reservationHolds) began(name string, from int64) time.Time {
	if s := hd.slots[name]; s != nil && s.span.From == from && s.claimer != nil && s.ran == s.claimer.ID {
		return s.runAt
	}
	return time.Time{}
}

// finished is the job that ran in an occurrence and is over; empty: none.
func (hd *reservationHolds) finished(name string, from int64) (id string, at time.Time) {
	if s := hd.slots[name]; s != nil && s.span.From == from && s.ran != "" {
		return s.ran, s.runAt
	}
	return "", time.Time{}
}

// count is how many machines are held for a reservation.
func (hd *reservationHolds) count(name string) int {
	if s := hd.slots[name]; s != nil {
		return len(s.hosts)
	}
	return 0
}

// hold chooses the machines for a slot, and asks for those that are missing.
func (hd *reservationHolds) hold(s *slot, e *calendar.Booking, now time.Time) {
	until := time.UnixMilli(s.span.From).Sub(hd.calendarStore.timeOfDay(now)).Seconds()
	if !s.renting && until <= hd.rentLead(e).Seconds() {
		s.renting = true
		hd.log.Info("gathering room for a slot", "reservation", s.name, "start", time.UnixMilli(s.span.From).UTC(), "machines", s.shares)
	}
	if s.claimer != nil && hd.whole(s.claimer) {
		hd.settleOn(s)
		return
	}
	for h := range s.hosts {
		if !hd.able(h, s) || !slices.ContainsFunc(s.shares, func(x calendar.Allocation) bool { return hd.is(h, x) }) {
			delete(s.hosts, h)
			delete(hd.held, h)
			hd.changed()
		}
	}
	short := hd.fill(s, until, now)
	moved, stuck := false, false
	if len(short) > 0 {
		moved, stuck = hd.elsewhere(s, short, now)
	}
	if moved {
		hd.release(s)
		short = hd.fill(s, until, now)
	}
	s.covered = s.renting && !stuck && (len(short) > 0 || until > -hd.rentLead(e).Seconds())
	if !s.renting {
		return
	}
	for _, x := range short {
		hd.want(s, x)
	}
}

// settleOn holds exactly the machines on which the claimer runs: it may have started
// on others, and a machine that came up after that is not needed any more.
func (hd *reservationHolds) settleOn(s *slot) {
	on := map[*fleet.Host]bool{}
	for x := range hd.fleet.On(s.claimer) {
		if x.On() && (hd.held[x.Host] == nil || hd.held[x.Host] == s) {
			on[x.Host] = true
		}
	}
	for h := range s.hosts {
		if !on[h] {
			delete(s.hosts, h)
			delete(hd.held, h)
			hd.changed()
		}
	}
	for h := range on {
		s.hosts[h], hd.held[h] = true, s
	}
}

// is reports whether a machine is of a share's type and zone.
func (hd *reservationHolds) is(h *fleet.Host, x calendar.Allocation) bool {
	t := hd.nameIndex.typeOf(h)
	return t != nil && h.Zone >= 0 && t.Name == x.Type && hd.nameIndex.zoneNames()[h.Zone] == x.Zone
}

// able reports whether a machine can serve a slot to its end.
func (hd *reservationHolds) able(h *fleet.Host, s *slot) bool {
	return h.Usable() && (s.spot || !h.Spot) && hd.maintenanceDrains.spares(h, s.span)
}

// fill holds machines until each share has its number, those that are free soonest
// first, and returns what is missing. A machine whose work is not sure to end in
// time is not held before the start: it would be held in vain.
func (hd *reservationHolds) fill(s *slot, until float64, now time.Time) (short []calendar.Allocation) {
	type candidate struct {
		h    *fleet.Host
		free float64
	}
	for _, x := range s.shares {
		n := x.Machines
		var all []candidate
		for _, h := range hd.fleet.All() {
			if !hd.is(h, x) {
				continue
			}
			if hd.held[h] == s {
				n--
				continue
			}
			if hd.held[h] != nil || !hd.able(h, s) || hd.planner.kept(h) {
				continue
			}
			free := 0.0
			for _, p := range h.Slots {
				if p.On() && p.Job != s.claimer {
					free = max(free, hd.maxRemainingSeconds(p, now))
				}
			}
			if free <= max(0, until) {
				all = append(all, candidate{h, free})
			}
		}
		slices.SortFunc(all, func(a, b candidate) int { return cmp.Or(cmp.Compare(a.free, b.free), cmp.Compare(a.h.Idx, b.h.Idx)) })
		for _, c := range all[:min(max(0, n), len(all))] {
			s.hosts[c.h], hd.held[c.h] = true, s
			n--
			hd.changed()
		}
		if n > 0 {
			x.Machines = n
			short = append(short, x)
		}
	}
	return short
}

// elsewhere chooses other machines for a slot if those that it lacks cannot be had:
// their zone is silent, or the cloud has refused them lately. Stuck: they cannot be
// had, and there are no others.
func (hd *reservationHolds) elsewhere(s *slot, short []calendar.Allocation, now time.Time) (moved, stuck bool) {
	down := hd.silent(now)
	barred := func(typ, zone string) bool { return down[zone] || !hd.machinePool.open(typ, zone, s.spot, now) }
	if !slices.ContainsFunc(short, func(x calendar.Allocation) bool { return barred(x.Type, x.Zone) }) {
		return false, false
	}
	there := map[[2]string]int{}
	for _, h := range hd.fleet.All() {
		if t := hd.nameIndex.typeOf(h); t != nil && h.Zone >= 0 && (hd.able(h, s) || h.Booting) && (hd.held[h] == nil || hd.held[h] == s) {
			there[[2]string{t.Name, hd.nameIndex.zoneNames()[h.Zone]}]++
		}
	}
	most := func(typ, zone string) int {
		if barred(typ, zone) {
			return there[[2]string{typ, zone}]
		}
		return math.MaxInt32
	}
	missing := func(shares []calendar.Allocation) (n int) {
		for _, x := range shares {
			n += max(0, x.Machines-most(x.Type, x.Zone))
		}
		return n
	}
	other := hd.calendarStore.reallocate(s, most)
	if other == nil || missing(other) >= missing(s.shares) {
		return false, true // no better: a slot must not wander
	}
	hd.log.Info("slot gathers elsewhere", "reservation", s.name, "machines", other, "instead", s.shares)
	s.shares = other
	return true, false
}

// silent are the zones of which only silent machines are left.
func (hd *reservationHolds) silent(now time.Time) map[string]bool {
	quiet := hd.rollouts.silenceLimit()
	out, heard := map[string]bool{}, map[string]bool{}
	for _, h := range hd.fleet.All() {
		if h.Zone < 0 || h.Booting {
			continue
		}
		zone := hd.nameIndex.zoneNames()[h.Zone]
		if h.Lost || h.Silent(now) > quiet {
			out[zone] = true
		} else {
			heard[zone] = true
		}
	}
	for zone := range heard {
		delete(out, zone)
	}
	return out
}

// providesFor reports whether what a job needs is left to its slot: it would be rented
// twice.
func (hd *reservationHolds) providesFor(j *job.Job) bool {
	s := hd.slots[j.Booking]
	return s != nil && s.claimer == j && s.covered
}

// want asks for the machines that a slot is short of, as whole machines.
func (hd *reservationHolds) want(s *slot, x calendar.Allocation) {
	types := hd.nameIndex.list()
	ok := make([]bool, len(types))
	need := place.Amount{}
	for i := range types {
		if types[i].Name == x.Type {
			ok[i], need = true, place.Amount{CPUs: types[i].CPUs, GPUs: types[i].GPUs, MemGB: types[i].MemGB}
		}
	}
	d := &place.Demand{Shape: job.Gang, Need: need, TypeOK: ok, Zone: hd.nameIndex.zone(x.Zone), Spot: s.spot, Total: x.Machines, InZone: make([]int, len(hd.nameIndex.zoneNames()))}
	hd.wants = append(hd.wants, autoscale.Want{Demand: d, Count: x.Machines, TaskS: float64(s.span.To-s.span.From) / 1000, Urgent: true})
}

// machineRequests is what has to be rented for the slots, by a fresh look: a machine that has
// come up since the last one would be rented once more.
func (hd *reservationHolds) machineRequests(now time.Time) []autoscale.Want {
	hd.refresh(now)
	return hd.wants
}

// retains reports whether a machine is to be kept although it is idle: it is held for a
// slot that is near, or nothing else may run on it.
func (hd *reservationHolds) retains(h *fleet.Host) bool {
	return hd.held[h] != nil && (hd.held[h].renting || !hd.c.Tuning.Calendar.Backfill)
}

// machineRemoved forgets a machine that has been returned.
func (hd *reservationHolds) machineRemoved(h *fleet.Host) {
	delete(hd.hired, h)
	if s := hd.held[h]; s != nil {
		delete(s.hosts, h)
		delete(hd.held, h)
	}
}

// annotate tells the plan for whom a machine is held, and for when.
func (hd *reservationHolds) annotate(m *place.Machine, h *fleet.Host, now time.Time) {
	s := hd.held[h]
	if s == nil {
		return
	}
	m.HeldFor = place.Nobody
	if s.claimer != nil {
		m.HeldFor = hd.jobTable.index(s.claimer)
	}
	if hd.c.Tuning.Calendar.Backfill {
		m.HeldIn = time.UnixMilli(s.span.From).Sub(hd.calendarStore.timeOfDay(now)).Seconds()
	}
}

// hasCapacity reports whether the machines that are held for a job have room for n of its
// tasks now.
func (hd *reservationHolds) hasCapacity(j *job.Job, n int) bool {
	s := hd.slots[j.Booking]
	if s == nil || s.claimer != j {
		return false
	}
	for h := range s.hosts {
		if t := hd.nameIndex.typeOf(h); t != nil && h.Usable() {
			n -= freeOn(t, h).Times(needOf(j))
		}
	}
	return n <= 0
}

// needOf is what a task of a job takes.
func needOf(j *job.Job) place.Amount { return place.Amount{CPUs: j.CPUs, GPUs: j.GPUs, MemGB: j.MemGB} }

// freeOn is the room on a machine.
func freeOn(t *wire.MachineType, h *fleet.Host) place.Amount {
	return place.Amount{CPUs: t.CPUs - h.CPUs, GPUs: t.GPUs - h.GPUs, MemGB: t.MemGB - h.MemGB}
}
