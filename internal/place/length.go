package place

import "vetchstream/internal/job"

// Weights scales the dimensions of the load vector whose length is the cost (see Length).
type Weights struct {
	// Queue weighs the tasks that wait for their image, Jobs all tasks on the machine, and CPU
	// the percentage of CPUs in use.
	Queue float64
	Jobs  float64
	CPU   float64
	// Price weighs the relative price of a CPU.
	Price float64
	// Image is the cost of fetching the image.
	Image float64
	// Sticky is the cost of using another machine than the job's last placement.
	Sticky float64
	// SameZone is the cost per replica that the service already has in the zone.
	SameZone float64
	// Unreliable is the cost of a machine on which a task failed recently.
	Unreliable float64
	// Empty is the cost of a machine without tasks, which could otherwise be returned to the
	// cloud.
	Empty float64
}

// Length returns the squared length of the weighted load vector for placing a task of d on m.
// It is the cost of the placement: the machine with the smallest length is the best.
func Length(w *Weights, m *Machine, d *Demand) float64 {
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
