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

// usage is what a process takes at one moment.
type usage struct {
	cpu     time.Duration // since its start
	rssMB   float64
	sockets int
}

// usageOf reads /proc; it fails when the process has ended.
func usageOf(pid int) (u usage, err error) {
	proc, err := procfs.NewProc(pid)
	if err != nil {
		return u, err
	}
	stat, err := proc.Stat()
	if err != nil {
		return u, err
	}
	u.cpu, u.rssMB = seconds(stat.CPUTime()), float64(stat.ResidentMemory())/(1<<20)
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

// controller is a controller's process, which can be ended and started again.
type controller struct {
	region  string
	member  string
	command []string
	logFile string // file of its standard error

	mu          sync.Mutex
	cmd         *exec.Cmd // nil: it does not run
	ended       chan struct{}
	endExpected bool // its end was asked for
	stats       controllerStats
	lastUsage   usage
	lastSampled time.Time
}

// controllerStats is what a controller's process has taken.
type controllerStats struct {
	// CPUMean and CPUPeak are parts of a core, the peak over two seconds.
	CPUMean float64 `json:"cpu_mean"`
	CPUPeak float64 `json:"cpu_peak"`
	// RSSPeakMB is the largest resident memory, in MB.
	RSSPeakMB   float64 `json:"rss_peak_mb"`
	SocketsPeak int     `json:"sockets_peak"`
	// Ends counts the ends that nobody asked for.
	Ends int `json:"ends"`

	cpuTime, sampledTime time.Duration
}

// launcher starts processes from one thread that lives as long as it does: the kernel
// ends a child with the thread that made it, and so no child outlives this process.
type launcher struct {
	calls chan func()
}

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

// start runs a command whose errors go to a file.
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

// start starts the controller's process.
func (c *controller) start(l *launcher) error {
	cmd, err := l.start(c.command, c.logFile)
	if err != nil {
		return fmt.Errorf("%s: %w", c.member, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cmd, c.ended, c.endExpected = cmd, make(chan struct{}), false
	c.lastUsage, c.lastSampled = usage{}, time.Now()
	ended := c.ended
	go func() {
		_ = cmd.Wait() // how it ended is of no interest, only whether it was asked to
		c.mu.Lock()
		if c.cmd == cmd {
			c.cmd = nil
			if !c.endExpected {
				c.stats.Ends++
			}
		}
		c.mu.Unlock()
		close(ended)
	}()
	return nil
}

// kill ends the process and waits for it.
func (c *controller) kill() {
	c.mu.Lock()
	cmd, ended := c.cmd, c.ended
	c.endExpected = true
	c.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// sample notes what the process takes now.
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
	used, over := u.cpu-c.lastUsage.cpu, now.Sub(c.lastSampled)
	c.stats.cpuTime += used
	c.stats.sampledTime += over
	c.stats.CPUMean = c.stats.cpuTime.Seconds() / max(c.stats.sampledTime.Seconds(), 1e-9)
	c.stats.CPUPeak = max(c.stats.CPUPeak, used.Seconds()/max(over.Seconds(), 1e-9))
	c.stats.RSSPeakMB = max(c.stats.RSSPeakMB, u.rssMB)
	c.stats.SocketsPeak = max(c.stats.SocketsPeak, u.sockets)
	c.lastUsage, c.lastSampled = u, now
	return u
}

// reset begins the measurement anew, without what the start has taken.
func (c *controller) reset(now time.Time) {
	c.sample(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := c.stats.Ends
	c.stats = controllerStats{Ends: ends}
}

func (c *controller) statistics() controllerStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stats
}

// lastLine is what the controller has logged last.
func (c *controller) lastLine() string {
	b, err := os.ReadFile(c.logFile)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	return lines[len(lines)-1]
}
