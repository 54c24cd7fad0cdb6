package scale

import (
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
)

// usage is a snapshot of the resources that a process uses.
type usage struct {
	cpu     time.Duration // processor time since the start of the process
	rssMB   float64
	sockets int
}

// usageOf reads the usage of a process from /proc. It fails if the process has exited.
func usageOf(pid int) (u usage, err error) {
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return u, err
	}
	stat, err := proc.Stat()
	if err != nil {
		return u, err
	}
	u.cpu = seconds(stat.CPUTime())
	u.rssMB = float64(stat.ResidentMemory()) / (1 << 20)
	files, err := proc.FileDescriptorTargets()
	if err != nil {
		return u, err
	}
	for _, target := range files {
		if strings.HasPrefix(target, "socket:") {
			u.sockets++
		}
	}
	return u, nil
}

// controller manages the process of a controller, which can be killed and restarted.
type controller struct {
	region     string
	member     string
	command    []string
	tuningFile string // file of the operators' settings
	logFile    string // file that receives the standard error

	mu           sync.Mutex
	cmd          *exec.Cmd // nil while no process runs
	exited       chan struct{}
	exitExpected bool // kill has been called
	stats        controllerStats
	lastUsage    usage
	lastSampled  time.Time
}

// controllerStats summarizes the resources that a controller's process has used.
type controllerStats struct {
	// CPUMean and CPUPeak are in cores. CPUPeak is the maximum over sampleInterval.
	CPUMean float64 `json:"cpu_mean"`
	CPUPeak float64 `json:"cpu_peak"`
	// RSSPeakMB is the maximum of the resident memory.
	RSSPeakMB   float64 `json:"rss_peak_mb"`
	SocketsPeak int     `json:"sockets_peak"`
	// UnexpectedExits counts the exits of the process that kill did not cause.
	UnexpectedExits int `json:"ends"`

	cpuTime, sampledTime time.Duration
}

// launcher starts all processes from one locked thread. The parent death signal kills a child when
// the thread that started it exits, so that no child outlives this process, and that thread has to
// run as long as the launcher.
type launcher struct {
	calls chan func()
}

// newLauncher starts a launcher. The caller has to close it.
func newLauncher() *launcher {
	l := &launcher{calls: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for f := range l.calls {
			f()
		}
	}()
	return l
}

func (l *launcher) close() { close(l.calls) }

// start starts a command and appends its standard error to a log file.
func (l *launcher) start(command []string, log string) (cmd *exec.Cmd, err error) {
	done := make(chan struct{})
	l.calls <- func() {
		defer close(done)
		var out *os.File
		if out, err = os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return
		}
		defer out.Close()
		cmd = exec.Command(command[0], command[1:]...)
		cmd.Stderr = out
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		err = cmd.Start()
	}
	<-done
	return cmd, err
}

// start starts the controller's process and a goroutine that waits for its exit.
func (c *controller) start(l *launcher) error {
	cmd, err := l.start(c.command, c.logFile)
	if err != nil {
		return fmt.Errorf("%s: %w", c.member, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	exited := make(chan struct{})
	c.cmd = cmd
	c.exited = exited
	c.exitExpected = false
	c.lastUsage = usage{}
	c.lastSampled = time.Now()
	go func() {
		defer close(exited)
		c.wait(cmd)
	}()
	return nil
}

// wait waits for the exit of the process and counts it if it is unexpected.
func (c *controller) wait(cmd *exec.Cmd) {
	_ = cmd.Wait() // the exit status does not matter
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd != cmd {
		return
	}
	c.cmd = nil
	if !c.exitExpected {
		c.stats.UnexpectedExits++
	}
}

// kill kills the process and waits for its exit.
func (c *controller) kill() {
	c.mu.Lock()
	cmd, exited := c.cmd, c.exited
	c.exitExpected = true
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// sample reads the current usage of the process and adds it to the statistics. It returns zero
// usage if the process does not run.
func (c *controller) sample(now time.Time) usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return usage{}
	}
	u, err := usageOf(c.cmd.Process.Pid)
	if err != nil {
		return usage{} // the process has exited in the meantime
	}
	cpuTime := u.cpu - c.lastUsage.cpu
	elapsed := now.Sub(c.lastSampled)
	c.stats.cpuTime += cpuTime
	c.stats.sampledTime += elapsed
	c.stats.CPUMean = cores(c.stats.cpuTime, c.stats.sampledTime)
	c.stats.CPUPeak = max(c.stats.CPUPeak, cores(cpuTime, elapsed))
	c.stats.RSSPeakMB = max(c.stats.RSSPeakMB, u.rssMB)
	c.stats.SocketsPeak = max(c.stats.SocketsPeak, u.sockets)
	c.lastUsage = u
	c.lastSampled = now
	return u
}

// cores returns the mean number of cores that a processor time occupies over the elapsed time.
func cores(cpuTime, elapsed time.Duration) float64 {
	return cpuTime.Seconds() / max(elapsed.Seconds(), 1e-9)
}

// reset clears the statistics, so that they exclude the start of the process. It keeps the number of
// unexpected exits.
func (c *controller) reset(now time.Time) {
	c.sample(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	unexpectedExits := c.stats.UnexpectedExits
	c.stats = controllerStats{UnexpectedExits: unexpectedExits}
}

// statistics returns the usage since the last reset.
func (c *controller) statistics() controllerStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// lastLogLine returns the last line of the log file, or the error of reading it.
func (c *controller) lastLogLine() string {
	b, err := os.ReadFile(c.logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}
