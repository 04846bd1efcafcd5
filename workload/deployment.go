package workload

import (
	"fmt"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Deployment is one installation: its places, services, branches and the
// programs that its callers run.
type Deployment struct {
	Name  string
	Zones []zone.Zone
	// ZoneDelay is the one-way delay between two zones of one region, and
	// RegionDelay the one between regions. LocalDelay is within a zone.
	LocalDelay  time.Duration
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// ClientDelay is the one-way delay between a caller and a zone.
	ClientDelay time.Duration
	// NodesPerZone is how many of the system's own machines each zone has.
	NodesPerZone int
	// Replicas are the model engines, Tools the tool services.
	Replicas []machine.Machine
	Tools    []machine.Machine
	Models   []string
	Branches []Branch
	Profiles []Profile
}

// Branch is one branch of the settings tree that callers start programs on.
type Branch struct {
	Path contract.Path
	// Zones are the places that data of the branch may visit. Empty means
	// every zone of the deployment.
	Zones    []zone.Name
	Priority int
	// BudgetTokens bounds each program of the branch.
	BudgetTokens int64
	MaxTurns     int
}

// ByName returns the deployment called koudeketting, qasr or letter.
func ByName(name string) (Deployment, error) {
	switch name {
	case "koudeketting":
		return Koudeketting(), nil
	case "qasr":
		return Qasr(), nil
	case "letter":
		return Letter(), nil
	}
	return Deployment{}, fmt.Errorf("deployment %q: want koudeketting, qasr or letter", name)
}

// Names lists the deployments that ByName knows.
func Names() []string { return []string{"koudeketting", "qasr", "letter"} }

// Branch returns the branch at the path.
func (d *Deployment) Branch(path contract.Path) (Branch, bool) {
	for _, branch := range d.Branches {
		if branch.Path == path {
			return branch, true
		}
	}
	return Branch{}, false
}

// Placement returns the zones that a branch's data may visit.
func (d *Deployment) Placement(path contract.Path) zone.Placement {
	branch, found := d.Branch(path)
	if found && len(branch.Zones) > 0 {
		return zone.NewPlacement(branch.Zones...)
	}
	names := make([]zone.Name, len(d.Zones))
	for i, each := range d.Zones {
		names[i] = each.Name
	}
	return zone.NewPlacement(names...)
}

// Delay returns the one-way delay between two zones.
func (d *Deployment) Delay(from, to zone.Name) time.Duration {
	if from == to {
		return d.LocalDelay
	}
	if d.region(from) == d.region(to) {
		return d.ZoneDelay
	}
	return d.RegionDelay
}

// region returns the region of a zone; an unknown zone has none.
func (d *Deployment) region(name zone.Name) zone.Region {
	for _, each := range d.Zones {
		if each.Name == name {
			return each.Region
		}
	}
	return ""
}
