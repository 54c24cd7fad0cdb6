package control

import (
	"vetchstream/internal/config"
	"vetchstream/internal/fleet"
	"vetchstream/internal/wire"
)

// nameIndex maps the names of machine types, zones, teams and images to dense indices. An
// index stays valid until the end of the term.
type nameIndex struct {
	types   []wire.MachineType
	typeIdx map[string]int

	zones   []string
	zoneIdx map[string]int

	teams   []string
	teamIdx map[string]int

	imageIdx map[string]int
}

func newNameIndex(zones []string, teams []config.Team) *nameIndex {
	ni := &nameIndex{
		typeIdx:  map[string]int{},
		zoneIdx:  map[string]int{},
		teamIdx:  map[string]int{},
		imageIdx: map[string]int{},
	}
	for _, zone := range zones {
		ni.zoneIndex(zone)
	}
	for _, t := range teams {
		ni.addTeam(t.Name)
	}
	return ni
}

// updateTypes adds new machine types and their zones, and replaces known types.
func (ni *nameIndex) updateTypes(types []wire.MachineType) {
	for _, t := range types {
		for _, zone := range t.Zones {
			ni.zoneIndex(zone)
		}
		if i, ok := ni.typeIdx[t.Name]; ok {
			ni.types[i] = t
			continue
		}
		ni.typeIdx[t.Name] = len(ni.types)
		ni.types = append(ni.types, t)
	}
}

// machineTypes returns the machine types, by index.
func (ni *nameIndex) machineTypes() []wire.MachineType { return ni.types }

// machineType returns a machine's type, or nil if it is unknown.
func (ni *nameIndex) machineType(machine *fleet.Machine) *wire.MachineType {
	if machine.Type < 0 || machine.Type >= len(ni.types) {
		return nil
	}
	return &ni.types[machine.Type]
}

// allowedTypes reports, by index, which machine types are in names.
func (ni *nameIndex) allowedTypes(names []string) []bool {
	allowed := make([]bool, len(ni.types))
	for _, name := range names {
		if i, known := ni.typeIdx[name]; known {
			allowed[i] = true
		}
	}
	return allowed
}

// describeMachine sets a machine's type and zone and whether it is a spot machine. It
// does nothing if the type is unknown or either name is empty.
func (ni *nameIndex) describeMachine(machine *fleet.Machine, typeName, zone string, spot bool) {
	if zone == "" || typeName == "" {
		return
	}
	i, ok := ni.typeIdx[typeName]
	if !ok {
		return
	}
	machine.Type = i
	machine.Zone = ni.zoneIndex(zone)
	machine.Spot = spot
	machine.Described = true
}

// zoneNames returns the zones, by index.
func (ni *nameIndex) zoneNames() []string { return ni.zones }

// zoneIndices returns the indices of the zones, by name.
func (ni *nameIndex) zoneIndices() map[string]int { return ni.zoneIdx }

// zoneIndex returns the index of a zone, adding the zone if it is new.
func (ni *nameIndex) zoneIndex(name string) int {
	if i, ok := ni.zoneIdx[name]; ok {
		return i
	}
	ni.zoneIdx[name] = len(ni.zones)
	ni.zones = append(ni.zones, name)
	return len(ni.zones) - 1
}

// offerIndices returns the indices of a machine type and a zone. known is false if either
// is unknown.
func (ni *nameIndex) offerIndices(typeName, zone string) (typeIdx, zoneIdx int, known bool) {
	typeIdx, typeKnown := ni.typeIdx[typeName]
	zoneIdx, zoneKnown := ni.zoneIdx[zone]
	return typeIdx, zoneIdx, typeKnown && zoneKnown
}

// teamNames returns the teams, by index, including removed ones.
func (ni *nameIndex) teamNames() []string { return ni.teams }

// teamIndex returns the index of a team, or -1 if it is unknown.
func (ni *nameIndex) teamIndex(name string) int {
	if i, ok := ni.teamIdx[name]; ok {
		return i
	}
	return -1
}

// addTeam adds a team if it is new, and reports whether it was.
func (ni *nameIndex) addTeam(name string) bool {
	if _, ok := ni.teamIdx[name]; ok {
		return false
	}
	ni.teamIdx[name] = len(ni.teams)
	ni.teams = append(ni.teams, name)
	return true
}

// imageIndex returns the index of an image, adding the image if it is new.
func (ni *nameIndex) imageIndex(name string) int {
	if i, ok := ni.imageIdx[name]; ok {
		return i
	}
	ni.imageIdx[name] = len(ni.imageIdx)
	return len(ni.imageIdx) - 1
}
