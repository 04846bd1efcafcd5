package program

import "fmt"

// maximumSequenceGap is how far a recovered call's sequence number may be ahead of
// the calls before it. It keeps a damaged record from exhausting memory.
const maximumSequenceGap = 1 << 16

// validate checks that a recovered record names a program and has exactly one
// event.
func (r Record) validate() error {
	if r.Program == "" {
		return fmt.Errorf("record without a program")
	}
	set := 0
	for _, present := range []bool{
		r.Created != nil, r.Accepted != nil, r.Dispatched != nil, r.Ended != nil,
		r.BudgetTransferred != nil, r.Terms != nil, r.Closed != nil, r.OwnershipConfirmed != nil,
	} {
		if present {
			set++
		}
	}
	if set != 1 {
		return fmt.Errorf("record of program %s: %d event fields are set, want one", r.Program, set)
	}
	return nil
}

// validateSequence checks that the sequence number of a recovered call is not too
// far ahead of the others.
func (s *Store) validateSequence(record Record) error {
	p, ok := s.programs[record.Program]
	if !ok || record.Accepted == nil {
		return nil
	}
	sequence := record.Accepted.Sequence
	if sequence == 0 || sequence > uint64(len(p.calls))+maximumSequenceGap {
		return fmt.Errorf("record of program %s: sequence number %d is out of range after %d calls", record.Program, sequence, len(p.calls))
	}
	return nil
}
