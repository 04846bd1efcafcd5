package recordlog

// WriteQuorum returns how many of count mirrors must hold a record before it is
// durable without the log: a majority.
func WriteQuorum(count int) int {
	return count/2 + 1
}

// ReadQuorum returns how many of count mirrors a later epoch must read. A write
// quorum and a read quorum have count+1 members together, so they share at least
// one mirror: either it held the record before it was read, and reports it, or
// it was read first, and refused the record. The owner is in neither quorum,
// because mirrors exist for the case that it fails.
func ReadQuorum(count int) int {
	return count - WriteQuorum(count) + 1
}
