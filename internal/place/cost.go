package place

import "vetchstream/internal/job"

// Weights scale the dimensions of the vector that Cost measures.
type Weights struct {
	// Queue, Jobs and CPU weigh the machine's load: tasks that wait for their image, tasks,
	// and the percentage of CPUs in use.
	Queue float64
	Jobs  float64
	CPU   float64
	// Price weighs the price of a CPU.
	Price float64
	// Image is the cost of a fetch.
	Image float64
	// Sticky is the cost of leaving the machine of the job's last placement.
	Sticky float64
	// SameZone is the cost of another replica of a service in the zone.
	SameZone float64
	// Unreliable is the cost of a machine on which tasks have failed.
	Unreliable float64
	// Empty is the cost of a machine without tasks, which could be released.
	Empty float64
}

// Cost returns the squared length of the load vector for placing a task of d on m; the
// machine with the smallest is the best.
func Cost(w *Weights, m *Machine, d *Demand) float64 {
	sum := square(w.Queue*m.Scale*float64(m.WaitingTasks)) + square(w.Jobs*m.Scale*float64(m.Tasks)) + square(w.Price*m.Price)
	if m.Total.CPUs > 0 {
		sum += square(w.CPU * 100 * (1 - m.Free.CPUs/m.Total.CPUs))
	}
	if !m.hasImage(d) {
		sum += square(w.Image)
	}
	if d.Shape == job.Service {
		sum += square(w.SameZone) * float64(d.TasksByZone[m.Zone])
	} else if d.LastMachine != m.ID {
		sum += square(w.Sticky)
	}
	if m.Unreliable {
		sum += square(w.Unreliable)
	}
	if m.Tasks == 0 {
		sum += square(w.Empty)
	}
	return sum
}

func square(x float64) float64 { return x * x }
