// Command stand-2 plays three findings of the review that are no cases (rollout, sick, undo): each starts a small deployment on
// loopback, sends what users send, injects the case's disruption unless TROUBLE=0, and checks the rule.
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"vetchstream/review/stand-2/site"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	start time.Time

	mu sync.Mutex
	w  io.Writer
}

// note adds a line to the record.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cases are the cases by name. A case returns its exit code.
var cases = map[string]func(r *record, trouble bool) (int, error){
	"sick":    runSick,
	"rollout": runRollout,
	"undo":    runUndo,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		return failed
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer file.Close()
	trouble := os.Getenv("TROUBLE") != "0"
	r := &record{start: time.Now(), w: io.MultiWriter(file, os.Stdout)}
	r.note("case %s, with the disruption: %v", os.Args[1], trouble)
	code, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.note("the case could not run: %v", err)
		return failed
	}
	r.note("exit %d", code)
	return code
}

// startSite starts a deployment with its controllers and waits until all of them are healthy.
func startSite(o *site.Options) (*site.Site, error) {
	o.Binary = "target/vetchstream"
	if o.Tuning == "" {
		o.Tuning = "deploy/shares.json"
	}
	s, err := site.Start(o)
	if err != nil {
		return nil, err
	}
	endOnSignal(s)
	for _, controller := range s.Controllers {
		if err := controller.Start(); err != nil {
			s.Close()
			return nil, err
		}
	}
	if !s.AwaitHealthy(20 * time.Second) {
		s.Close()
		return nil, fmt.Errorf("the controllers are not healthy after 20 s")
	}
	return s, nil
}

// endOnSignal ends the deployment and the program when the program is told to end.
func endOnSignal(s *site.Site) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		s.Close()
		os.Exit(failed)
	}()
}

// noteHistory notes which tasks started and ended, and where.
func noteHistory(r *record, s *site.Site) {
	for _, event := range s.World.History() {
		what := "ended: " + string(event.Cause)
		if event.Start {
			what = "started"
		}
		r.note("run at %.3f: %s on %s in %s %s", event.At.Sub(r.start).Seconds(), event.Task, event.Machine, event.Zone, what)
	}
}
