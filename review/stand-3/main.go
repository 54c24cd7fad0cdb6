// Command stand-3 is the stand-in of the cases review/4 and review/5: the state service, the cloud, the workers
// and the users of a small deployment, all on loopback. It writes the settings of three controllers, which the
// case's script starts, plays the case and judges it by what users, workers and the platform can see.
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"time"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the cases by name. Each returns an exit code.
var cases = map[string]func(*run) int{
	lateBoot:      playLateBoot,
	"late-launch": playLateLaunch,
	"quarantine":  playQuarantine,
}

func main() {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", "", "folder for the settings files")
	record := flag.String("record", "", "file for the record")
	flag.Parse()
	os.Exit(play(*name, *dir, *record))
}

// play starts the platform and plays a case.
func play(name, dir, record string) int {
	playCase := cases[name]
	if playCase == nil {
		fmt.Fprintln(os.Stderr, "stand-3: unknown case", name)
		return notRun
	}
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand-3:", err)
		return notRun
	}
	defer file.Close()
	p, err := startPlatform(dir, name != lateBoot)
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand-3:", err)
		return notRun
	}
	r := &run{
		platform: p,
		start:    time.Now(),
		trouble:  os.Getenv("TROUBLE") != "0",
		record:   file,
		client:   &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	p.cloud.mu.Lock()
	p.cloud.log = r.logf
	p.cloud.mu.Unlock()
	r.logf("case %s, trouble %v", name, r.trouble)
	if !r.awaitService(20 * time.Second) {
		r.logf("not run: no controller answers")
		return notRun
	}
	code := playCase(r)
	r.logHistory()
	r.logf("exit status %d", code)
	return code
}
