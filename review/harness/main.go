// Command harness plays the scripted cases of the review: it starts the system's processes
// as separate processes, stands in for the platform, its servers and its clients, and checks
// one rule. It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// timeLimit is less than the 120 s that a script may run.
	timeLimit = 100 * time.Second
)

// cases holds the cases by name. A case returns what broke the rule, or "" if it held.
var cases = map[string]func(d *deployment, trouble bool) (broken string, err error){
	"silence":  playSilence,
	"versions": playVersions,
	"takeup":   playTakeUp,
	"memory":   playMemory,
	"poison":   playPoison,
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER, in the repository")
		return exitFailed
	}
	root, err := os.Getwd()
	if err != nil {
		return fail(err)
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		return fail(err)
	}
	defer rec.close()
	d, err := newDeployment(root, rec)
	if err != nil {
		return fail(err)
	}
	defer d.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, with disruption: %v", os.Args[1], trouble)
	go func() {
		broken, err := cases[os.Args[1]](d, trouble)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-interrupted:
		r.err = fmt.Errorf("interrupted")
	case <-time.After(timeLimit):
		r.err = fmt.Errorf("the case did not end within %v", timeLimit)
	}
	switch {
	case r.err != nil:
		rec.add("the case could not run: %v", r.err)
		return fail(r.err)
	case r.broken != "":
		rec.add("broken: %s", r.broken)
		fmt.Println("broken:", r.broken)
		return exitBroken
	}
	rec.add("held")
	fmt.Println("held")
	return exitHeld
}

func fail(err error) (code int) {
	fmt.Fprintln(os.Stderr, "harness:", err)
	return exitFailed
}
