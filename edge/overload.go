package edge

// New programs are refused while even the emptiest replica is this full: what
// they would add makes those under way miss their time, and their prompts give
// way in the replicas' memory, which costs prefill and adds to the load. The
// most urgent routes are refused later than others.
const (
	fullUtilisation       = 1.25
	fullUtilisationUrgent = 1.6
)

// overloaded reports whether a program that has not begun is to wait.
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
