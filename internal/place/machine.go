package place

import (
	"slices"

	"vetchstream/internal/job"
)

// Machine is a machine on which the plan may place tasks.
type Machine struct {
	// ID identifies the machine for Demand.LastMachine.
	ID int
	// Type is an index into Demand.AllowedTypes.
	Type int
	// Zone is the index of the machine's zone.
	Zone int
	// Spot reports whether the cloud may reclaim the machine at any time.
	Spot bool
	// Total is the machine's resources, Free the part that no task uses.
	Total Resources
	Free  Resources
	// WaitingTasks is the number of tasks that wait for their image, Tasks that of all tasks on
	// the machine. Both include placements that no heartbeat has confirmed yet.
	WaitingTasks int
	Tasks        int
	// Scale makes the task counts of machines of different sizes comparable. It is the number
	// of CPUs of the smallest machine type divided by that of this type.
	Scale float64
	// Price is the price of a CPU as a multiple of the lowest price.
	Price float64
	// Images lists the images that are cached or being fetched. FetchGBPerS is the rate at which
	// the machine fetches images, or 0 if unknown.
	Images      []int
	FetchGBPerS float64
	// Unreliable reports whether a task failed on the machine recently.
	Unreliable bool
	// ReservedFor is the ID of the demand for which the plan reserves Reserved, or 0 for none.
	ReservedFor int
	Reserved    Resources
	// AwaitsCompletion reports whether the reserved resources become free because tasks
	// complete, rather than by preemption.
	AwaitsCompletion bool
	// HeldFor is the ID of the demand for which the calendar holds the whole machine, 0 for
	// none, or FutureDemandID if the job was not submitted yet.
	HeldFor int
	// HeldInS is the time in seconds until that demand needs the machine. Until then, the
	// machine may run other tasks that have certainly ended by that time.
	HeldInS float64
	// MaintenanceDue reports whether maintenance is due, which begins in MaintenanceInS seconds.
	// Draining reports whether the machine no longer accepts tasks that would have to be moved.
	MaintenanceDue bool
	Draining       bool
	MaintenanceInS float64
	// Victims lists the tasks on the machine that may be preempted.
	Victims []Victim
	// UnclearedExits is the set of tasks whose exit the worker still reports. The worker would
	// refuse another attempt at them.
	UnclearedExits map[TaskKey]bool
}

// FutureDemandID stands for a demand whose job was not submitted yet.
const FutureDemandID = -1

// TaskKey identifies a task of a demand.
type TaskKey struct {
	Demand int // ID of the demand
	Task   int32
}

// Victim is a task that may be preempted.
type Victim struct {
	// ID identifies the victim in Preemption.Victims.
	ID       int
	Priority job.Priority
	// Team is an index into Input.Teams, or -1 for none.
	Team int
	// Need is the resources that the task uses.
	Need Resources
	// Released is the resources of all tasks that are stopped with it: its whole gang, or the
	// task alone.
	Released Resources
	// LossCPUSeconds is the work, in CPU seconds, that preempting the task discards.
	LossCPUSeconds float64
	// RemainingS is the time in seconds until the task is expected to complete.
	RemainingS float64
	// Late reports whether the job has to start now to meet its deadline, so that it would
	// preempt other tasks itself if it were stopped.
	Late bool
}

// released returns the resources that become free, on this and other machines, when the
// victim is preempted.
func (v *Victim) released() Resources {
	return Resources{
		CPUs:  max(v.Need.CPUs, v.Released.CPUs),
		GPUs:  max(v.Need.GPUs, v.Released.GPUs),
		MemGB: max(v.Need.MemGB, v.Released.MemGB),
	}
}

// hasImage reports whether the machine has the demand's image in its cache or is fetching it.
func (m *Machine) hasImage(d *Demand) bool { return slices.Contains(m.Images, d.Image) }

// fetchSeconds returns the time in seconds that the machine takes to fetch the demand's image.
func (m *Machine) fetchSeconds(d *Demand) float64 {
	if m.FetchGBPerS <= 0 || m.hasImage(d) {
		return 0
	}
	return d.ImageGB / m.FetchGBPerS
}

// available returns the resources of the machine that the demand may use: the free ones less
// those reserved for another demand.
func (m *Machine) available(d *Demand) Resources {
	if m.ReservedFor != 0 && m.ReservedFor != d.ID {
		return m.Free.addScaled(m.Reserved, -1)
	}
	return m.Free
}

// reservationBlocks reports whether an existing reservation keeps the machine from being
// reserved for the demand. A reservation for another demand does, and so does the demand's
// own if tasks are being preempted for it.
func (m *Machine) reservationBlocks(d *Demand) bool {
	return m.ReservedFor != 0 && (m.ReservedFor != d.ID || !m.AwaitsCompletion)
}

// reserve reserves resources of the machine for a task of the demand.
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

// claim deducts the resources of a task of the demand from the demand's reservation.
func (m *Machine) claim(d *Demand) {
	m.Reserved = m.Reserved.addScaled(d.Need, -1)
	if m.Reserved.CPUs < slack && m.Reserved.GPUs < slack && m.Reserved.MemGB < slack {
		m.endReservation()
	}
}
