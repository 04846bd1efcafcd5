package schedule

import (
	"slices"
	"strings"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// zoneSeparator separates the zone names of a zone.Placement.
const zoneSeparator = "_"

// feasible reports whether a back end may serve the request: it is live and in
// a permitted zone, has the model loaded or serves the tool, has not failed
// this call before and is not excluded by the contract. Every candidate of
// every policy is checked here and no later step of a decision adds one, so
// these rules hold whatever the ranking prefers.
func feasible(request *Request, candidate *backend) bool {
	entry := &candidate.machine
	if entry.Status != machine.StatusLive || !request.Placement.Contains(entry.Zone) {
		return false
	}
	if slices.Contains(request.Avoid, entry.ID) || slices.Contains(request.Excluded, string(entry.ID)) {
		return false
	}
	if request.Kind == api.CallTool {
		return slices.Contains(entry.Tools, request.Tool)
	}
	return slices.Contains(entry.Models, request.Model)
}

// servingPools appends the pools that may contain feasible back ends for the
// request, at most one for each permitted zone, and returns their total number
// of back ends.
func (v *view) servingPools(request *Request, pools [][]*backend) (found [][]*backend, count int) {
	key := poolKey{kind: request.Kind, name: request.Model}
	if request.Kind == api.CallTool {
		key.name = request.Tool
	}
	rest := string(request.Placement)
	for rest != "" {
		name, tail, _ := strings.Cut(rest, zoneSeparator)
		key.zone = zone.Name(name)
		if pool := v.pools[key]; len(pool) > 0 {
			pools = append(pools, pool)
			count += len(pool)
		}
		rest = tail
	}
	return pools, count
}

// backendAt returns the back end at a position in the concatenated pools, or
// nil if there is none.
func backendAt(pools [][]*backend, position int) *backend {
	for _, pool := range pools {
		if position < len(pool) {
			return pool[position]
		}
		position -= len(pool)
	}
	return nil
}

// feasible appends every back end that is feasible for the request.
func (v *view) feasible(request *Request, candidates []*backend) []*backend {
	v.scratch, _ = v.servingPools(request, v.scratch[:0])
	for _, pool := range v.scratch {
		for _, entry := range pool {
			if feasible(request, entry) {
				candidates = append(candidates, entry)
			}
		}
	}
	return candidates
}
