package control

// connect gives each part references to the other parts that it calls.
func (lt *leaderTerm) connect() {
	lt.connectJobTable()
	lt.connectAdmission()
	lt.connectCompletions()
	lt.connectResults()
	lt.connectRegistry()
	lt.connectMachinePool()
	lt.connectTakeover()
	lt.connectCommands()
	lt.connectPlanner()
	lt.connectTaskTracker()
	lt.connectRecordWriter()
	lt.connectAdmissionGroups()
	lt.connectRollouts()
	lt.connectCalendarStore()
	lt.connectReservationHolds()
	lt.connectMaintenanceDrains()
	lt.connectShards()
	lt.connectTeamQuotas()
	lt.connectProgressMonitor()
}

func (lt *leaderTerm) connectJobTable() {
	lt.jobTable.nameIndex = lt.nameIndex
	lt.jobTable.registry = lt.registry
	lt.jobTable.planner = lt.planner
	lt.jobTable.taskTracker = lt.taskTracker
	lt.jobTable.admissionGroups = lt.admissionGroups
}

func (lt *leaderTerm) connectAdmission() {
	lt.admission.nameIndex = lt.nameIndex
	lt.admission.jobTable = lt.jobTable
	lt.admission.completions = lt.completions
	lt.admission.results = lt.results
	lt.admission.recordWriter = lt.recordWriter
	lt.admission.admissionGroups = lt.admissionGroups
	lt.admission.teamQuotas = lt.teamQuotas
}

func (lt *leaderTerm) connectCompletions() {
	lt.completions.jobTable = lt.jobTable
	lt.completions.admission = lt.admission
	lt.completions.results = lt.results
	lt.completions.taskTracker = lt.taskTracker
	lt.completions.recordWriter = lt.recordWriter
	lt.completions.admissionGroups = lt.admissionGroups
}

func (lt *leaderTerm) connectResults() {
	lt.results.recordWriter = lt.recordWriter
}

func (lt *leaderTerm) connectRegistry() {
	lt.registry.nameIndex = lt.nameIndex
	lt.registry.jobTable = lt.jobTable
	lt.registry.takeover = lt.takeover
	lt.registry.recordWriter = lt.recordWriter
}

func (lt *leaderTerm) connectMachinePool() {
	lt.machinePool.nameIndex = lt.nameIndex
	lt.machinePool.jobTable = lt.jobTable
	lt.machinePool.registry = lt.registry
	lt.machinePool.takeover = lt.takeover
	lt.machinePool.planner = lt.planner
	lt.machinePool.taskTracker = lt.taskTracker
	lt.machinePool.recordWriter = lt.recordWriter
	lt.machinePool.reservationHolds = lt.reservationHolds
	lt.machinePool.maintenanceDrains = lt.maintenanceDrains
	lt.machinePool.shards = lt.shards
}

func (lt *leaderTerm) connectTakeover() {
	lt.takeover.nameIndex = lt.nameIndex
	lt.takeover.jobTable = lt.jobTable
	lt.takeover.admission = lt.admission
	lt.takeover.completions = lt.completions
	lt.takeover.results = lt.results
	lt.takeover.registry = lt.registry
	lt.takeover.machinePool = lt.machinePool
	lt.takeover.admissionGroups = lt.admissionGroups
	lt.takeover.rollouts = lt.rollouts
	lt.takeover.calendarStore = lt.calendarStore
	lt.takeover.reservationHolds = lt.reservationHolds
	lt.takeover.maintenanceDrains = lt.maintenanceDrains
	lt.takeover.shards = lt.shards
	lt.takeover.teamQuotas = lt.teamQuotas
	lt.takeover.homeQuotas = lt.homeQuotas
}

func (lt *leaderTerm) connectCommands() {
	lt.commands.takeover = lt.takeover
	lt.commands.taskTracker = lt.taskTracker
	lt.commands.shards = lt.shards
}

func (lt *leaderTerm) connectPlanner() {
	lt.planner.nameIndex = lt.nameIndex
	lt.planner.jobTable = lt.jobTable
	lt.planner.registry = lt.registry
	lt.planner.machinePool = lt.machinePool
	lt.planner.takeover = lt.takeover
	lt.planner.taskTracker = lt.taskTracker
	lt.planner.calendarStore = lt.calendarStore
	lt.planner.reservationHolds = lt.reservationHolds
	lt.planner.maintenanceDrains = lt.maintenanceDrains
	lt.planner.teamQuotas = lt.teamQuotas
}

func (lt *leaderTerm) connectTaskTracker() {
	lt.taskTracker.nameIndex = lt.nameIndex
	lt.taskTracker.jobTable = lt.jobTable
	lt.taskTracker.completions = lt.completions
	lt.taskTracker.results = lt.results
	lt.taskTracker.registry = lt.registry
	lt.taskTracker.machinePool = lt.machinePool
	lt.taskTracker.rollouts = lt.rollouts
	lt.taskTracker.reservationHolds = lt.reservationHolds
}

func (lt *leaderTerm) connectRecordWriter() {
	lt.recordWriter.registry = lt.registry
}

func (lt *leaderTerm) connectAdmissionGroups() {
	lt.admissionGroups.results = lt.results
	lt.admissionGroups.recordWriter = lt.recordWriter
}

func (lt *leaderTerm) connectRollouts() {
	lt.rollouts.nameIndex = lt.nameIndex
	lt.rollouts.jobTable = lt.jobTable
	lt.rollouts.completions = lt.completions
	lt.rollouts.takeover = lt.takeover
	lt.rollouts.taskTracker = lt.taskTracker
	lt.rollouts.admissionGroups = lt.admissionGroups
	lt.rollouts.teamQuotas = lt.teamQuotas
}

func (lt *leaderTerm) connectCalendarStore() {
	lt.calendarStore.nameIndex = lt.nameIndex
	lt.calendarStore.jobTable = lt.jobTable
	lt.calendarStore.takeover = lt.takeover
	lt.calendarStore.reservationHolds = lt.reservationHolds
	lt.calendarStore.maintenanceDrains = lt.maintenanceDrains
	lt.calendarStore.teamQuotas = lt.teamQuotas
}

func (lt *leaderTerm) connectReservationHolds() {
	lt.reservationHolds.nameIndex = lt.nameIndex
	lt.reservationHolds.jobTable = lt.jobTable
	lt.reservationHolds.machinePool = lt.machinePool
	lt.reservationHolds.planner = lt.planner
	lt.reservationHolds.rollouts = lt.rollouts
	lt.reservationHolds.calendarStore = lt.calendarStore
	lt.reservationHolds.maintenanceDrains = lt.maintenanceDrains
}

func (lt *leaderTerm) connectMaintenanceDrains() {
	lt.maintenanceDrains.nameIndex = lt.nameIndex
	lt.maintenanceDrains.jobTable = lt.jobTable
	lt.maintenanceDrains.taskTracker = lt.taskTracker
	lt.maintenanceDrains.calendarStore = lt.calendarStore
	lt.maintenanceDrains.reservationHolds = lt.reservationHolds
}

func (lt *leaderTerm) connectShards() {
	lt.shards.nameIndex = lt.nameIndex
	lt.shards.machinePool = lt.machinePool
	lt.shards.commands = lt.commands
	lt.shards.taskTracker = lt.taskTracker
}

func (lt *leaderTerm) connectTeamQuotas() {
	lt.teamQuotas.nameIndex = lt.nameIndex
	lt.teamQuotas.jobTable = lt.jobTable
	lt.teamQuotas.admission = lt.admission
	lt.teamQuotas.takeover = lt.takeover
	lt.teamQuotas.homeQuotas = lt.homeQuotas
}

func (lt *leaderTerm) connectProgressMonitor() {
	lt.progressMonitor.jobTable = lt.jobTable
	lt.progressMonitor.takeover = lt.takeover
	lt.progressMonitor.calendarStore = lt.calendarStore
}
