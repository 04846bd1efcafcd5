//go:build review

// Package standin holds the stand-ins of the review's scripts: the platform, replicas and
// clients. It is built as a program by review/build.sh, with TestMain as its entry.
package standin

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
)

// Exit codes of the scripts.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenarios are the cases by name. A scenario reports whether its rule held.
var scenarios = map[string]func(*deployment) (held bool, err error){
	"truncated":         truncated,
	"truncated-streams": truncatedStreams,
	"versions":          versions,
	"resumed":           resumed,
	"foreign":           foreign,
	"taken-up":          takenUp,
	"homes":             homes,
	"lethal":            lethal,
	"finished":          finished,
}

func TestMain(*testing.M) { os.Exit(run(os.Args[1:])) }

// run performs "replica FLAGS..." or "SCENARIO FOLDER", and returns the exit code.
func run(arguments []string) int {
	if len(arguments) > 0 && arguments[0] == "replica" {
		if err := runReplica(arguments[1:]); err != nil {
			fmt.Fprintln(os.Stderr, "replica:", err)
			return exitNotRun
		}
		return exitHeld
	}
	if len(arguments) != 2 || scenarios[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: replica FLAGS... | SCENARIO FOLDER")
		return exitNotRun
	}
	held, err := runScenario(scenarios[arguments[0]], arguments[1])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case held:
		fmt.Println("the rule held")
		return exitHeld
	default:
		fmt.Println("the rule was broken")
		return exitBroken
	}
}

// runScenario starts a deployment, performs the scenario in it, and ends all its processes.
func runScenario(scenario func(*deployment) (bool, error), folder string) (held bool, err error) {
	d, err := newDeployment(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return false, err
	}
	defer d.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		d.close()
		os.Exit(exitNotRun)
	}()
	return scenario(d)
}
