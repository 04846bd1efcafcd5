package scale

import (
	"fmt"
	"sync"
)

// Kind names a broken promise.
type Kind string

// The promises that a run checks.
const (
	// ViolationWrongAnswer: the answer does not follow from the program's own
	// history, in its order.
	ViolationWrongAnswer Kind = "wrong_answer"
	// ViolationUnanswered: a call got no final answer in time.
	ViolationUnanswered Kind = "unanswered"
	// ViolationRanTwice: a tool ran more than once under one key.
	ViolationRanTwice Kind = "ran_twice"
	// ViolationNotRun: a call was answered as not run, and its tool had run.
	ViolationNotRun Kind = "not_run_but_ran"
	// ViolationMemoryHeld: an engine holds memory for a program that ended.
	ViolationMemoryHeld Kind = "memory_held"
	// ViolationSettingsReverted: a node went back to an older revision.
	ViolationSettingsReverted Kind = "settings_reverted"
)

// maximumExamples bounds the examples that a result shows of each kind.
const maximumExamples = 5

// violations collects broken promises.
type violations struct {
	mutex    sync.Mutex
	counts   map[Kind]int
	examples map[Kind][]string
}

func newViolations() *violations {
	return &violations{counts: make(map[Kind]int), examples: make(map[Kind][]string)}
}

func (v *violations) add(kind Kind, format string, arguments ...any) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.counts[kind]++
	if len(v.examples[kind]) < maximumExamples {
		v.examples[kind] = append(v.examples[kind], fmt.Sprintf(format, arguments...))
	}
}

func (v *violations) total() int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	total := 0
	for _, count := range v.counts {
		total += count
	}
	return total
}
