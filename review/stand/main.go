// Command stand runs the cases of the review: it starts stand-ins for the platform and the
// users, and the controllers as processes of their own with the run line of the deploy file.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// cases are the cases by name.
var cases = map[string]func(*cluster) (broken bool, err error){}

// recorder writes the record of a case: what was sent, answered and run.
type recorder struct {
	out   io.Writer
	start time.Time
	lines chan string
	done  chan struct{}
}

// newRecorder returns a recorder that writes to out until it is closed.
func newRecorder(out io.Writer) *recorder {
	r := &recorder{out: out, start: time.Now(), lines: make(chan string, 1024), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		for line := range r.lines {
			fmt.Fprintln(r.out, line)
		}
	}()
	return r
}

// logf records a line with the time since the start of the case.
func (r *recorder) logf(format string, args ...any) {
	r.lines <- fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
}

// close writes the lines that are queued. No line may be recorded afterwards.
func (r *recorder) close() {
	close(r.lines)
	<-r.done
}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
	}
	os.Exit(code)
}

// run runs the case that the arguments name and returns its exit code.
func run() (code int, err error) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		return exitNotRun, errors.New("usage: stand CASE RECORD, in the root of the repository")
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		return exitNotRun, err
	}
	defer file.Close()
	record := newRecorder(file)
	defer record.close()
	c, err := newCluster(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return exitNotRun, err
	}
	defer c.close()
	broken, err := cases[os.Args[1]](c)
	switch {
	case err != nil:
		record.logf("NOT RUN: %v", err)
		return exitNotRun, err
	case broken:
		record.logf("BROKEN")
		return exitBroken, nil
	}
	record.logf("HELD")
	return exitHeld, nil
}
