package recordlog

// WriteQuorum is how many of count mirrors must hold a record before it is
// durable without the log: a majority.
func WriteQuorum(count int) int {
	return count/2 + 1
}

// ReadQuorum is how many of count mirrors a later epoch must read. A write
// quorum and a read quorum have count+1 members together, so they share one:
// either that mirror held the record before it was read, and reports it, or it
// was read first, and refused the record. The owner itself counts in neither:
// its death is what the mirrors are for.
func ReadQuorum(count int) int {
	return count - WriteQuorum(count) + 1
}
