//go:build review

// Command harness plays the cases of the review: it starts the system's processes with the
// command of the deploy file on loopback addresses, beside a store, minions and clients of
// its own, and judges by what these have seen.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit is how long a case may run.
const timeLimit = 110 * time.Second

// scenario is a case. It returns what broke the rule, one line for each event.
type scenario func(e *environment) (broken []string, err error)

// environment is what a case works with.
type environment struct {
	record *record
	site   *site
	fleet  *fleet
	// trouble is set if the disruption of the case is to happen.
	trouble bool
}

// scenarios has each case by its name.
var scenarios = make(map[string]scenario)

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return 2
	}
	play, folder := scenarios[os.Args[1]], os.Args[2]
	rec := newRecord()
	s, err := newSite(rec)
	if err != nil {
		return fail(err)
	}
	defer s.close()
	f, err := newFleet(s)
	if err != nil {
		return fail(err)
	}
	defer f.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(timeLimit):
		}
		f.close()
		os.Exit(fail(errors.New("it was interrupted, or took too long")))
	}()
	if !f.freePort() {
		return fail(fmt.Errorf("the ports from %d on are in use", f.ports.front))
	}
	broken, err := play(&environment{record: rec, site: s, fleet: f, trouble: os.Getenv("TROUBLE") != "0"})
	for _, line := range broken {
		rec.note("BROKEN: %s", line)
	}
	if writeErr := rec.write(filepath.Join(folder, "record.txt")); writeErr != nil {
		return fail(writeErr)
	}
	if err != nil {
		return fail(err)
	}
	for _, line := range broken[:min(len(broken), 10)] {
		fmt.Println(line)
	}
	if len(broken) > 0 {
		fmt.Printf("the rule was broken %d times\n", len(broken))
		return 1
	}
	fmt.Println("the rule held")
	return 0
}

func fail(err error) int {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	return 2
}
