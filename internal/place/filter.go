package place

// eligible reports whether tasks of the demand may run on the machine at all, regardless of
// its free resources. It checks the hard constraints, which no cost can outweigh.
func (p *planner) eligible(m *Machine, d *Demand) bool {
	return d.Allows(m.Type, m.Zone, m.Spot) && respectsCalendar(m, d)
}

// Allows reports whether another task of the demand, besides those that run already, may run
// on a machine with the given type and zone, which may be a spot instance.
func (d *Demand) Allows(machineType, zone int, spot bool) bool {
	return (d.AllowedTypes == nil || d.AllowedTypes[machineType]) &&
		(d.Zone < 0 || d.Zone == zone) &&
		(d.Spot || !spot) &&
		d.zoneOpen(zone)
}

// zoneOpen reports whether OneZone and Spread allow another task of the demand in the zone.
func (d *Demand) zoneOpen(zone int) bool {
	if d.Spread && d.TasksByZone[zone] >= d.maxPerZone() {
		return false
	}
	if d.OneZone {
		for z, n := range d.TasksByZone {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return true
}

// maxPerZone returns the maximum number of tasks in one zone for a demand with Spread.
func (d *Demand) maxPerZone() int { return (d.Total + 1) / 2 }

// respectsCalendar reports whether a task that starts now ends before the calendar needs the
// machine, or can be moved in time. This is a hard constraint and not a part of the cost:
// otherwise reserved machines would fill up with tasks that may not be preempted, and
// maintenance would interrupt tasks that had just started.
func respectsCalendar(m *Machine, d *Demand) bool {
	if m.HeldFor != d.ID {
		if d.OnlyHeldMachines {
			return false
		}
		if m.HeldFor != 0 && d.EndsInS > m.HeldInS {
			return false
		}
	}
	return !m.MaintenanceDue || d.EndsInS <= m.MaintenanceInS || (d.Movable && !m.Draining)
}
