package place

// eligible reports whether tasks of the demand may run on the machine at all, whatever is
// free there: the conditions that no score can outweigh.
func (p *planner) eligible(m *Machine, d *Demand) bool {
	return d.Allows(m.Type, m.Zone, m.Spot) && respectsCalendar(m, d)
}

// Allows reports whether another task of the demand may run on a machine of a type, in a
// zone and of a kind, given those that run already.
func (d *Demand) Allows(machineType, zone int, spot bool) bool {
	return (d.AllowedTypes == nil || d.AllowedTypes[machineType]) &&
		(d.Zone < 0 || d.Zone == zone) &&
		(d.Spot || !spot) &&
		d.zoneOpen(zone)
}

// zoneOpen reports whether the conditions on zones let another task of the demand run in
// one.
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

// maxPerZone returns how many tasks of a demand that is spread may be in one zone.
func (d *Demand) maxPerZone() int { return (d.Total + 1) / 2 }

// respectsCalendar reports whether a task that starts now leaves the machine in time for
// what the calendar has planned there. This is a filter and not a part of the score: else
// the machines of a reservation would be full of tasks that nothing may stop, and
// maintenance would cut off what had just started.
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
