// Command review2 plays the cases of the second review against the project's own program: review2 CASE FOLDER. It exits
// with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun is how long a case may take.
const longestRun = 110 * time.Second

// cases holds the cases by name; each file of a case adds its own. A case reports whether the rule was broken.
var cases = map[string]func(*world) (broken bool, err error){}

// The codes with which the program exits.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case, ends all that it started, and returns the code to exit with.
func play(name, folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	ended := make(chan result, 1)
	go func() {
		broken, err := cases[name](w)
		ended <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	var r result
	select {
	case r = <-ended:
	case <-time.After(longestRun):
		r.err = fmt.Errorf("not done after %v", longestRun)
	case s := <-interrupted:
		r.err = fmt.Errorf("ended by %v", s)
	}
	switch {
	case r.err != nil:
		w.note("could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, r.err)
		return notRun
	case r.broken:
		w.note("the rule was BROKEN")
		return ruleBroken
	}
	w.note("the rule held")
	return ruleHeld
}
