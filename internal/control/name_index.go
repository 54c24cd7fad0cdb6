package control

import (
	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/wire"
)

// nameIndex maps the names of machine types, zones, teams and images to the dense
// indices that the parts work with.
type nameIndex struct {
	types    []wire.MachineType
	typeIdx  map[string]int
	zones    []string
	zoneIdx  map[string]int
	teams    []string
	teamIdx  map[string]int
	imageIdx map[string]int
}

func newNameIndex(zones []string, teams []config.Team) *nameIndex {
	nm := &nameIndex{typeIdx: map[string]int{}, zoneIdx: map[string]int{}, teamIdx: map[string]int{}, imageIdx: map[string]int{}}
	for _, z := range zones {
		nm.zoneIndex(z)
	}
	for _, t := range teams {
		nm.addTeam(t.Name)
	}
	return nm
}

// addTeam gives a team an index, and reports whether it had none. It retains the index for as long
// as the term lasts, also when it is removed.
func (nm *nameIndex) addTeam(name string) bool {
	if _, ok := nm.teamIdx[name]; ok {
		return false
	}
	nm.teamIdx[name] = len(nm.teams)
	nm.teams = append(nm.teams, name)
	return true
}

// teamNames are the teams, by index.
func (nm *nameIndex) teamNames() []string { return nm.teams }

// updateTypes takes in a price list. A type retains its index for as long as the term
// lasts.
func (nm *nameIndex) updateTypes(types []wire.MachineType) {
	for _, t := range types {
		for _, z := range t.Zones {
			nm.zoneIndex(z)
		}
		if i, ok := nm.typeIdx[t.Name]; ok {
			nm.types[i] = t
			continue
		}
		nm.typeIdx[t.Name] = len(nm.types)
		nm.types = append(nm.types, t)
	}
}

// machineTypes is the price list, by index.
func (nm *nameIndex) machineTypes() []wire.MachineType { return nm.types }

// machineType is a machine's type; nil if it is not known.
func (nm *nameIndex) machineType(h *fleet.Host) *wire.MachineType {
	if h.Type < 0 || h.Type >= len(nm.types) {
		return nil
	}
	return &nm.types[h.Type]
}

// teamIndex is a team's index; -1: there is none of that name.
func (nm *nameIndex) teamIndex(name string) int {
	if i, ok := nm.teamIdx[name]; ok {
		return i
	}
	return -1
}

// offerIndices is the indices of a type and a zone.
func (nm *nameIndex) offerIndices(typ, zone string) (t, z int, known bool) {
	t, known = nm.typeIdx[typ]
	z, there := nm.zoneIdx[zone]
	return t, z, known && there
}

// allowedTypes tells, by index, which of the named types are in the price list.
func (nm *nameIndex) allowedTypes(types []string) []bool {
	ok := make([]bool, len(nm.types))
	for _, n := range types {
		if i, known := nm.typeIdx[n]; known {
			ok[i] = true
		}
	}
	return ok
}

// zoneNames are the zones, by index.
func (nm *nameIndex) zoneNames() []string { return nm.zones }

// zoneIndices are the zones' indices.
func (nm *nameIndex) zoneIndices() map[string]int { return nm.zoneIdx }

func (nm *nameIndex) zoneIndex(name string) int {
	if i, ok := nm.zoneIdx[name]; ok {
		return i
	}
	nm.zoneIdx[name] = len(nm.zones)
	nm.zones = append(nm.zones, name)
	return len(nm.zones) - 1
}

func (nm *nameIndex) imageIndex(name string) int {
	if i, ok := nm.imageIdx[name]; ok {
		return i
	}
	nm.imageIdx[name] = len(nm.imageIdx)
	return len(nm.imageIdx) - 1
}

// describeHost notes a machine's type, zone and kind.
func (nm *nameIndex) describeHost(h *fleet.Host, typ, zone string, spot bool) {
	if zone == "" || typ == "" {
		return
	}
	t, ok := nm.typeIdx[typ]
	if !ok {
		return
	}
	h.Type, h.Zone, h.Spot, h.Known = t, nm.zoneIndex(zone), spot, true
}
