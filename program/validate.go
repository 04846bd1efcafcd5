package program

import "fmt"

// maximumSequenceGap guards the fold against a damaged record: no call is accepted
// this far ahead of the calls before it.
const maximumSequenceGap = 1 << 16

// validate checks that a record from the journal has one meaning.
func (r Record) validate() error {
	if r.Program == "" {
		return fmt.Errorf("record without a program")
	}
	set := 0
	for _, present := range []bool{
		r.Created != nil, r.Accepted != nil, r.Dispatched != nil, r.Ended != nil,
		r.BudgetTransferred != nil, r.Terms != nil, r.Closed != nil, r.Confirmed != nil,
	} {
		if present {
			set++
		}
	}
	if set != 1 {
		return fmt.Errorf("record of program %s: %d facts, want one", r.Program, set)
	}
	return nil
}

// validateSequence checks that a recovered call stands near the others.
func (s *Store) validateSequence(record Record) error {
	p, ok := s.programs[record.Program]
	if !ok || record.Accepted == nil {
		return nil
	}
	sequence := record.Accepted.Sequence
	if sequence == 0 || sequence > uint64(len(p.calls))+maximumSequenceGap {
		return fmt.Errorf("record of program %s: call with place %d after %d places", record.Program, sequence, len(p.calls))
	}
	return nil
}
