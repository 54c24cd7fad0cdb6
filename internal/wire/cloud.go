package wire

// MachineType is a type of machine that the cloud rents out.
type MachineType struct {
	Name  string  `codec:"name"`
	CPUs  float64 `codec:"cpus"`
	GPUs  float64 `codec:"accelerators"`
	MemGB float64 `codec:"mem_gb"`
	// CacheGB is the room for images, and FetchRate the speed at which they are
	// fetched, in GB per second.
	CacheGB   float64 `codec:"local_gb"`
	FetchRate float64 `codec:"pull_gb_per_s"`
	// Price and SpotPrice are per hour; SpotPrice changes with time.
	Price     float64  `codec:"hourly"`
	SpotPrice float64  `codec:"market_price"`
	BootS     float64  `codec:"boot_s"` // usual boot time, in seconds
	Zones     []string `codec:"yards"`  // where the type is offered
}

// MachineTypes is sent by the cloud to a controller (GET /machine_types).
type MachineTypes struct {
	Types []MachineType `codec:"builds"`
}

// RentalRequest is sent by a controller to the cloud (POST /hosts), and answered with
// MachineNames.
type RentalRequest struct {
	// Request names the request: repeating it rents nothing more. A name must never be
	// used again for another request.
	Request string `codec:"hire"`
	Type    string `codec:"build"`
	Zone    string `codec:"yard"`
	Spot    bool   `codec:"loaners"`
	Count   int    `codec:"how_many"` // at most 50; the cloud may rent out fewer
}

// MachineNames lists machines by name. The cloud sends it as the response to a
// RentalRequest, and a controller sends it to return machines (POST /hosts/release).
type MachineNames struct {
	Names []string `codec:"hosts"`
}

// MachinePhase is the state of a machine in the cloud's list.
type MachinePhase string

// Phases of a machine.
const (
	MachineBooting MachinePhase = "booting"
	MachineRunning MachinePhase = "running"
	MachineFailed  MachinePhase = "failed" // has stopped on its own and costs nothing, until it is returned
)

// CloudMachine is one machine in the cloud's list.
type CloudMachine struct {
	Name  string       `codec:"uid"`
	Addr  string       `codec:"endpoint"` // host:port of its worker
	Type  string       `codec:"build"`
	Zone  string       `codec:"yard"`
	Spot  bool         `codec:"loaners"`
	Phase MachinePhase `codec:"phase"`
	AgeS  float64      `codec:"age_s"` // since the rental request, in seconds
}

// CloudMachinePage is sent by the cloud to a controller (GET /hosts): one page of its
// machines in the order of their names, which may be out of date.
type CloudMachinePage struct {
	Machines []CloudMachine `codec:"hosts"`
	More     bool           `codec:"more"` // the list goes on after this page
}
