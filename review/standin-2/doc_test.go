//go:build review

// Package standin2 is a program of stand-ins for the cases of the second review. It starts
// nodes as processes, serves as their platform, replicas and clients, brings one disruption
// about, and checks one rule. review/build-2.sh builds it; TestMain is its entry.
package standin2

import (
	"fmt"
	"os"
	"testing"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its run, which reports whether the rule was broken.
var cases = map[string]func(*bed) (broken bool, err error){
	"budget":     runBudget,
	"resumed":    runResumed,
	"stale-list": runStaleList,
}

// TestMain runs the case that the variable CASE names. TROUBLE=0 leaves its disruption out, and
// RECORD is the file of the record.
func TestMain(*testing.M) { os.Exit(runCase(os.Getenv("CASE"))) }

func runCase(name string) int {
	run, known := cases[name]
	if !known {
		fmt.Fprintf(os.Stderr, "no such case: %q\n", name)
		return exitNotRun
	}
	b, err := newBed(os.Getenv("RECORD"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	broken, err := run(b)
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		b.note("verdict: broken")
		return exitBroken
	default:
		b.note("verdict: held")
		return exitHeld
	}
}
