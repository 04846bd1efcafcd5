package schedule

import (
	"slices"
	"strings"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/zone"
)

// zoneSeparator joins the zone names of a zone.Placement.
const zoneSeparator = "_"

// feasible appends to candidates the back ends that may serve the request:
// live, in a permitted zone, with the model loaded or the tool answered, and
// not one that failed the call before. Nothing later in a decision adds a
// back end, so these rules hold whatever the ranking prefers.
func (v *view) feasible(request *Request, candidates []*backend) []*backend {
	key := poolKey{kind: request.Kind, name: request.Model}
	if request.Kind == api.CallTool {
		key.name = request.Tool
	}
	rest := string(request.Placement)
	for rest != "" {
		name, tail, _ := strings.Cut(rest, zoneSeparator)
		key.zone = zone.Name(name)
		for _, entry := range v.pools[key] {
			if !slices.Contains(request.Avoid, entry.machine.ID) {
				candidates = append(candidates, entry)
			}
		}
		rest = tail
	}
	return candidates
}
