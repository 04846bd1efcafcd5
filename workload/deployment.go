package workload

import (
	"fmt"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Deployment is one installation: its zones, services, branches and the kinds
// of program that its callers run.
type Deployment struct {
	Name  string
	Zones []zone.Zone
	// LocalDelay is the one-way delay within a zone, ZoneDelay between two zones
	// of one region and RegionDelay between regions.
	LocalDelay  time.Duration
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// ClientDelay is the one-way delay between a caller and a zone.
	ClientDelay time.Duration
	// NodesPerZone is the number of birchwood nodes in each zone.
	NodesPerZone int
	// Replicas are the model engines. Tools are the tool services.
	Replicas []machine.Machine
	Tools    []machine.Machine
	Models   []string
	Branches []Branch
	Profiles []Profile
}

// Branch is one branch of the settings tree that callers start programs on.
type Branch struct {
	Path contract.Path
	// Zones are the zones in which the branch's data is permitted. Empty means
	// all zones of the deployment.
	Zones    []zone.Name
	Priority int
	// BudgetTokens is the token budget of each program of the branch.
	BudgetTokens int64
	MaxTurns     int
}

// ByName returns the deployment with the name koudeketting, qasr or letter.
func ByName(name string) (Deployment, error) {
	switch name {
	case "koudeketting":
		return Koudeketting(), nil
	case "qasr":
		return Qasr(), nil
	case "letter":
		return DesignSize(), nil
	}
	return Deployment{}, fmt.Errorf("deployment %q: want koudeketting, qasr or letter", name)
}

// Names returns the names that ByName accepts.
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

// Placement returns the zones in which a branch's data is permitted.
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

// region returns the region of a zone, or an empty string for an unknown zone.
func (d *Deployment) region(name zone.Name) zone.Region {
	for _, each := range d.Zones {
		if each.Name == name {
			return each.Region
		}
	}
	return ""
}
