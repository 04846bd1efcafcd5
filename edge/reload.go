package edge

import (
	"maps"
	"slices"
	"strings"
)

// Reload applies the settings that may change while the node runs, which are the seeds. It
// returns the names of all settings that differ, including those that require a restart.
func (n *Node) Reload(settings Settings) (changed []string) {
	known := n.settings
	for _, field := range []struct {
		name  string
		equal bool
	}{
		{"seeds", slices.Equal(known.Seeds, settings.Seeds)},
		{"listen", known.Clients == settings.Clients && known.Peers == settings.Peers && known.Readiness == settings.Readiness},
		{"store", known.Store == settings.Store},
		{"zone", known.Zone == settings.Zone},
		{"regions", maps.Equal(known.Regions, settings.Regions)},
		{"time to leave a zone", known.LeaveWithin == settings.LeaveWithin},
		{"partitions", known.Partitions == settings.Partitions},
		{"grace", known.Grace == settings.Grace},
	} {
		if !field.equal {
			changed = append(changed, field.name)
		}
	}
	n.announce(slices.DeleteFunc(slices.Clone(settings.Seeds), func(seed string) bool {
		return strings.EqualFold(seed, known.Peers)
	}))
	return changed
}
