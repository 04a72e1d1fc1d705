//go:build review

// Command standins3 runs the cases 11 to 15 of the review. Each case starts instances
// with the command of the deploy file, and plays the platform, its minions and clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime ends a case that hangs.
const maxRunTime = 110 * time.Second

// caseFunc plays a case. It reports whether the rule was broken.
type caseFunc func(d *deployment, trouble bool) (isBroken bool, err error)

var cases = map[string]caseFunc{
	"late-order":   playLateOrder,
	"two-owners":   playTwoOwners,
	"frozen-owner": playFrozenOwner,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins3 CASE RECORD")
		return exitNotRun
	}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		return exitNotRun
	}
	file, err := os.Create(filepath.Clean(os.Args[2]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	rec := newRecord(file)
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	type verdict struct {
		isBroken bool
		err      error
	}
	verdicts := make(chan verdict, 1)
	go func() {
		isBroken, err := play(d, os.Getenv("TROUBLE") != "0")
		verdicts <- verdict{isBroken, err}
	}()
	var v verdict
	select {
	case v = <-verdicts:
	case <-time.After(maxRunTime):
		v.err = errors.New("the case took too long")
	}
	switch {
	case v.err != nil:
		rec.addf("verdict: not run: %v", v.err)
		return exitNotRun
	case v.isBroken:
		rec.addf("verdict: the rule was broken")
		return exitBroken
	}
	rec.addf("verdict: the rule held")
	return exitHeld
}
