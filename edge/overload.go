package edge

// New programs are refused if even the least utilised replica is this full. Another program
// would make the running ones miss their finish times and evict their prompts from the
// replicas' KV caches, which costs prefill and adds to the load. Requests of the most
// urgent priority get the higher limit.
const (
	fullUtilisation       = 1.25
	fullUtilisationUrgent = 1.6
)

// overloaded reports whether a new program has to wait.
func (n *Node) overloaded(r *requestState) bool {
	if !n.settings.uses(RefuseWhenFull) {
		return false
	}
	limit := fullUtilisation
	if r.priority() == 0 {
		limit = fullUtilisationUrgent
	}
	return n.replicas.minUtilisation(n.selectionRequest(r)) >= limit
}
