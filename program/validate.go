package program

import "fmt"

// maximumSequence guards the fold against a damaged record: no program has
// this many calls.
const maximumSequence = 1 << 24

// validate checks that a record from the journal has one meaning.
func (r Record) validate() error {
	if r.Program == "" {
		return fmt.Errorf("record without a program")
	}
	set := 0
	for _, present := range []bool{
		r.Created != nil, r.Accepted != nil, r.Dispatched != nil, r.Ended != nil,
		r.Carved != nil, r.Terms != nil, r.Closed != nil,
	} {
		if present {
			set++
		}
	}
	if set != 1 {
		return fmt.Errorf("record of program %s: %d facts, want one", r.Program, set)
	}
	if r.Accepted != nil && (r.Accepted.Sequence == 0 || r.Accepted.Sequence > maximumSequence) {
		return fmt.Errorf("record of program %s: call with place %d", r.Program, r.Accepted.Sequence)
	}
	return nil
}
