package place

import (
	"slices"

	"vetchstream/internal/job"
)

// Machine is a machine that may get tasks.
type Machine struct {
	// ID identifies the machine for Demand.LastMachine.
	ID int
	// Type indexes Demand.AllowedTypes.
	Type int
	// Zone is the index of the machine's zone.
	Zone int
	// Spot: the cloud may take the machine back at any time.
	Spot bool
	// Total is what the machine has, Free what no task uses.
	Total Resources
	Free  Resources
	// WaitingTasks counts the tasks that wait for their image, Tasks all tasks on the machine. Both
	// include placements that no heartbeat has covered yet.
	WaitingTasks int
	Tasks        int
	// Scale makes WaitingTasks and Tasks of machines of different size comparable: the CPUs of the
	// smallest machine type over those of this one.
	Scale float64
	// Price is what a CPU costs here, in multiples of the cheapest.
	Price float64
	// Images are those cached here or being fetched. FetchGBPerS is the rate of a fetch, in GB
	// per second; 0 if unknown.
	Images      []int
	FetchGBPerS float64
	// Unreliable: a task failed here recently.
	Unreliable bool
	// ReservedFor is the id of the demand for which Reserved is set aside; 0 means none.
	ReservedFor int
	Reserved    Resources
	// AwaitsCompletion: the reserved resources become free as tasks complete; nothing was
	// preempted for them.
	AwaitsCompletion bool
	// HeldFor is the id of the demand for which the calendar holds the whole machine: 0 means
	// none, FutureDemandID that the job is not there yet.
	HeldFor int
	// HeldInS is in how many seconds the holder needs the machine. Until then it may run tasks
	// that are sure to have ended by that time.
	HeldInS float64
	// MaintenanceDue: maintenance begins in MaintenanceInS seconds. Draining: the machine takes
	// no more tasks that could be moved.
	MaintenanceDue bool
	Draining       bool
	MaintenanceInS float64
	// Victims are the tasks on the machine that may be preempted.
	Victims []Victim
	// UnclearedExits are the tasks whose exits the worker still reports. It would refuse
	// another attempt of them.
	UnclearedExits map[TaskKey]bool
}

// FutureDemandID is the id of a demand that is not there yet.
const FutureDemandID = -1

// TaskKey names a task of a demand.
type TaskKey struct {
	Demand int // id of the demand
	Task   int32
}

// Victim is a task that may be preempted.
type Victim struct {
	// ID names the victim in Preemption.Victims.
	ID       int
	Priority job.Priority
	// Team indexes Input.Teams; -1 means none.
	Team int
	// Need is what the task uses.
	Need Resources
	// Released is what is stopped with it: its whole gang, or the task alone.
	Released Resources
	// LossCPUSeconds is the work that preempting it throws away, in CPU seconds.
	LossCPUSeconds float64
	// RemainingS is the time in which it is expected to complete, in seconds.
	RemainingS float64
	// Late: its job has to start now to be in time, so it would preempt others itself.
	Late bool
}

// released returns what becomes free, here and elsewhere, when the victim is preempted.
func (v *Victim) released() Resources {
	return Resources{
		CPUs:  max(v.Need.CPUs, v.Released.CPUs),
		GPUs:  max(v.Need.GPUs, v.Released.GPUs),
		MemGB: max(v.Need.MemGB, v.Released.MemGB),
	}
}

// hasImage reports whether the demand's image is cached on the machine or being fetched.
func (m *Machine) hasImage(d *Demand) bool { return slices.Contains(m.Images, d.Image) }

// fetchSeconds returns how long the machine takes to fetch the demand's image, in seconds.
func (m *Machine) fetchSeconds(d *Demand) float64 {
	if m.FetchGBPerS <= 0 || m.hasImage(d) {
		return 0
	}
	return d.ImageGB / m.FetchGBPerS
}

// available returns what the demand may use of the machine: what is free, less what is
// reserved for other demands.
func (m *Machine) available(d *Demand) Resources {
	if m.ReservedFor != 0 && m.ReservedFor != d.ID {
		return m.Free.addScaled(m.Reserved, -1)
	}
	return m.Free
}

// reservationBlocks reports whether the machine has a reservation that stands in the way of
// making another one for the demand: another demand's, or the demand's own for which tasks
// are being stopped already.
func (m *Machine) reservationBlocks(d *Demand) bool {
	return m.ReservedFor != 0 && (m.ReservedFor != d.ID || !m.AwaitsCompletion)
}

// reserve sets resources of the machine aside for a task of the demand.
func (m *Machine) reserve(d *Demand, awaitsCompletion bool) {
	m.ReservedFor = d.ID
	m.Reserved = d.Need
	m.AwaitsCompletion = awaitsCompletion
}

// endReservation removes the machine's reservation.
func (m *Machine) endReservation() {
	m.ReservedFor = 0
	m.Reserved = Resources{}
}

// claim takes what a task of the demand needs out of the demand's reservation.
func (m *Machine) claim(d *Demand) {
	m.Reserved = m.Reserved.addScaled(d.Need, -1)
	if m.Reserved.CPUs < slack && m.Reserved.GPUs < slack && m.Reserved.MemGB < slack {
		m.endReservation()
	}
}
