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

// usage is what resources a process uses at one moment.
type usage struct {
	cpu     time.Duration // since its start
	rssMB   float64
	sockets int
}

// usageOf reads the usage from /proc; it fails when the process has ended.
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
	for _, f := range files {
		if strings.HasPrefix(f, "socket:") {
			u.sockets++
		}
	}
	return u, nil
}

// controller is a controller's process, which can be killed and started again.
type controller struct {
	region     string
	member     string
	command    []string
	tuningFile string // operators' settings
	logFile    string // file of its standard error

	mu           sync.Mutex
	cmd          *exec.Cmd // nil: it does not run
	ended        chan struct{}
	exitExpected bool // it is being killed
	stats        controllerStats
	lastUsage    usage
	lastSampled  time.Time
}

// controllerStats is what a controller's process has used.
type controllerStats struct {
	// CPUMean and CPUPeak are parts of a core, the peak over two seconds.
	CPUMean float64 `json:"cpu_mean"`
	CPUPeak float64 `json:"cpu_peak"`
	// RSSPeakMB is the largest resident memory, in MB.
	RSSPeakMB   float64 `json:"rss_peak_mb"`
	SocketsPeak int     `json:"sockets_peak"`
	// UnexpectedExits counts the ends that were not expected.
	UnexpectedExits int `json:"ends"`

	cpuTime, sampledTime time.Duration
}

// launcher starts processes from one thread that lives as long as the launcher: the kernel
// kills a child with the thread that started it, and so no child outlives this process.
type launcher struct {
	calls chan func()
}

// newLauncher starts a launcher, which runs until close.
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

// start starts a command whose standard error goes to a file.
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

// start starts the controller's process, and notices its end.
func (c *controller) start(l *launcher) error {
	cmd, err := l.start(c.command, c.logFile)
	if err != nil {
		return fmt.Errorf("%s: %w", c.member, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ended := make(chan struct{})
	c.cmd = cmd
	c.ended = ended
	c.exitExpected = false
	c.lastUsage = usage{}
	c.lastSampled = time.Now()
	go func() {
		defer close(ended)
		c.wait(cmd)
	}()
	return nil
}

// wait waits for the end of the process, and counts it unless it was expected.
func (c *controller) wait(cmd *exec.Cmd) {
	_ = cmd.Wait() // whether the end was expected matters, not how it came
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

// kill kills the process and waits for its end.
func (c *controller) kill() {
	c.mu.Lock()
	cmd, ended := c.cmd, c.ended
	c.exitExpected = true
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// sample reads what the process uses now, and adds it to the statistics.
func (c *controller) sample(now time.Time) usage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cmd == nil {
		return usage{}
	}
	u, err := usageOf(c.cmd.Process.Pid)
	if err != nil {
		return usage{} // it has just ended
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

// cores is a processor time as a part of a core, 0 if no time has elapsed.
func cores(cpuTime, elapsed time.Duration) float64 {
	return cpuTime.Seconds() / max(elapsed.Seconds(), 1e-9)
}

// reset restarts the statistics, without what the start of the process has used.
func (c *controller) reset(now time.Time) {
	c.sample(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := c.stats.UnexpectedExits
	c.stats = controllerStats{UnexpectedExits: ends}
}

// statistics is what the process has used since the last reset.
func (c *controller) statistics() controllerStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// lastLogLine is the last line of the log.
func (c *controller) lastLogLine() string {
	b, err := os.ReadFile(c.logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}
