package wire

// MachineType is a type of machine that the cloud rents out.
type MachineType struct {
	Name  string  `codec:"name"`
	CPUs  float64 `codec:"cpus"`
	GPUs  float64 `codec:"accelerators"`
	MemGB float64 `codec:"mem_gb"`
	// CacheGB is the disk space for images in GB. FetchRate is the speed at which the
	// machine fetches images, in GB per second.
	CacheGB   float64 `codec:"local_gb"`
	FetchRate float64 `codec:"pull_gb_per_s"`
	// Price and SpotPrice are prices per hour. SpotPrice varies over time.
	Price     float64  `codec:"hourly"`
	SpotPrice float64  `codec:"market_price"`
	BootS     float64  `codec:"boot_s"` // typical boot time, in seconds
	Zones     []string `codec:"yards"`  // zones that offer the type
}

// MachineTypes is the cloud's response to a controller's GET /machine_types.
type MachineTypes struct {
	Types []MachineType `codec:"builds"`
}

// RentalRequest is sent by a controller to the cloud (POST /hosts). The cloud responds
// with MachineNames.
type RentalRequest struct {
	// Request identifies the request and makes it idempotent: the cloud rents nothing
	// more for a repeated request. An identifier must never be reused for another request.
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
	// MachineFailed is a machine that has stopped on its own. It costs nothing and stays
	// in the list until it is returned.
	MachineFailed MachinePhase = "failed"
)

// CloudMachine is one machine in the cloud's list.
type CloudMachine struct {
	Name  string       `codec:"uid"`
	Addr  string       `codec:"endpoint"` // host:port of its worker
	Type  string       `codec:"build"`
	Zone  string       `codec:"yard"`
	Spot  bool         `codec:"loaners"`
	Phase MachinePhase `codec:"phase"`
	AgeS  float64      `codec:"age_s"` // time since the rental request, in seconds
}

// CloudMachinePage is the cloud's response to a controller's GET /hosts: one page of the
// list of machines, sorted by name. The list may be out of date.
type CloudMachinePage struct {
	Machines []CloudMachine `codec:"hosts"`
	More     bool           `codec:"more"` // further pages follow
}
