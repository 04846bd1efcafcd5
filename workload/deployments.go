package workload

import (
	"fmt"
	"slices"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// The capacity of an engine in all deployments.
const (
	engineSlots       = 16
	engineCacheTokens = 120_000
)

// Koudeketting is a cold-chain operator in Gauteng. It has three zones with
// low delays between them, and similar delays to the clients.
func Koudeketting() Deployment {
	zones := sameRegion("gauteng", "midrand-a", "midrand-b", "isando")
	models := []string{"veld-8b", "veld-70b"}
	return Deployment{
		Name:         "koudeketting",
		Zones:        zones,
		LocalDelay:   100 * time.Microsecond,
		ZoneDelay:    1200 * time.Microsecond,
		RegionDelay:  1200 * time.Microsecond,
		ClientDelay:  time.Millisecond,
		NodesPerZone: 1,
		Models:       models,
		Replicas:     replicas(12, zones, models, 1),
		Tools:        tools(3, "depot-events", zones, depotTools()...),
		Branches: []Branch{
			{Path: "koudeketting/triage", Priority: 9, BudgetTokens: 200_000, MaxTurns: 60},
			{Path: "koudeketting/alarms", Priority: 8, BudgetTokens: 50_000, MaxTurns: 20},
			{Path: "koudeketting/seals", Priority: 6, BudgetTokens: 50_000, MaxTurns: 20},
			{Path: "koudeketting/audit", Priority: 4, BudgetTokens: 20_000_000, MaxTurns: 160},
			{Path: "koudeketting/loggers", Priority: 2, BudgetTokens: 500_000, MaxTurns: 80},
			{
				Path:  "koudeketting/loggers/isando-farms",
				Zones: []zone.Name{"isando"}, Priority: 2, BudgetTokens: 500_000, MaxTurns: 80,
			},
		},
		Profiles: koudekettingProfiles(models),
	}
}

// Qasr is a collections desk in Amman. It has four zones with very low delays
// between them, and delays to the clients that are several times higher.
func Qasr() Deployment {
	zones := sameRegion("amman", "abdali", "sweileh", "marka", "khalda")
	models := []string{"dinar-8b", "dinar-32b"}
	return Deployment{
		Name:         "qasr",
		Zones:        zones,
		LocalDelay:   100 * time.Microsecond,
		ZoneDelay:    400 * time.Microsecond,
		RegionDelay:  400 * time.Microsecond,
		ClientDelay:  2500 * time.Microsecond,
		NodesPerZone: 1,
		Models:       models,
		Replicas:     replicas(14, zones, models, 1),
		Tools:        tools(4, "collections", zones, collectionsTools()...),
		Branches: []Branch{
			{Path: "qasr/counters", Priority: 9, BudgetTokens: 100_000, MaxTurns: 40},
			{Path: "qasr/chats", Priority: 7, BudgetTokens: 1_000_000, MaxTurns: 80},
			{
				Path:  "qasr/chats/water-authority",
				Zones: []zone.Name{"abdali", "khalda"}, Priority: 7, BudgetTokens: 1_000_000, MaxTurns: 80,
			},
			{Path: "qasr/letters", Priority: 3, BudgetTokens: 200_000, MaxTurns: 40},
			{Path: "qasr/billing", Priority: 4, BudgetTokens: 2_000_000, MaxTurns: 80},
		},
		Profiles: qasrProfiles(models),
	}
}

// The design size, the largest deployment that birchwood is built for.
const (
	designReplicas     = 600
	designTenants      = 600
	designModels       = 29
	designZones        = 10
	designRegions      = 3
	designNodesPerZone = 39
	designToolServices = 30
)

// DesignSize is the deployment of the design size: 99,000 started programs, 600
// replicas, 600 tenants, 29 models, 10 zones in 3 regions and 390 nodes.
func DesignSize() Deployment {
	zones := make([]zone.Zone, designZones)
	for i := range zones {
		region := i % designRegions
		zones[i] = zone.Zone{
			Name:   zone.Name(fmt.Sprintf("r%d-z%d", region+1, i/designRegions+1)),
			Region: zone.Region(fmt.Sprintf("region-%d", region+1)),
		}
	}
	models := make([]string, designModels)
	for i := range models {
		models[i] = fmt.Sprintf("model-%02d", i+1)
	}
	branches := designBranches(zones)
	return Deployment{
		Name:         "letter",
		Zones:        zones,
		LocalDelay:   100 * time.Microsecond,
		ZoneDelay:    800 * time.Microsecond,
		RegionDelay:  20 * time.Millisecond,
		ClientDelay:  3 * time.Millisecond,
		NodesPerZone: designNodesPerZone,
		Models:       models,
		Replicas:     replicas(designReplicas, zones, models, 2),
		Tools:        tools(designToolServices, "tools", zones, slices.Concat(depotTools(), collectionsTools())...),
		Branches:     branches,
		Profiles:     designProfiles(models, branches),
	}
}

// designBranches returns one branch for each tenant, with the zones of one
// region, the tenant's home region.
func designBranches(zones []zone.Zone) []Branch {
	branches := make([]Branch, designTenants)
	for i := range branches {
		home := zones[i%designRegions].Region
		var permitted []zone.Name
		for _, each := range zones {
			if each.Region == home {
				permitted = append(permitted, each.Name)
			}
		}
		branches[i] = Branch{
			Path:         contract.Path(fmt.Sprintf("tenant-%03d", i+1)),
			Zones:        permitted,
			Priority:     5,
			BudgetTokens: 50_000_000,
			MaxTurns:     160,
		}
	}
	return branches
}

// sameRegion returns zones in one region.
func sameRegion(region zone.Region, names ...zone.Name) []zone.Zone {
	zones := make([]zone.Zone, len(names))
	for i, name := range names {
		zones[i] = zone.Zone{Name: name, Region: region}
	}
	return zones
}

// replicas distributes engines over the zones. Each engine loads
// modelsPerEngine models. The first model shifts with the zone and with each
// engine in a zone, so that each zone serves as many models as possible.
func replicas(count int, zones []zone.Zone, models []string, modelsPerEngine int) []machine.Machine {
	machines := make([]machine.Machine, count)
	for i := range machines {
		loaded := make([]string, modelsPerEngine)
		for k := range loaded {
			loaded[k] = models[(i/len(zones)+i%len(zones)+k)%len(models)]
		}
		machines[i] = machine.Machine{
			ID:          machine.ID(fmt.Sprintf("engine-%03d", i+1)),
			Kind:        machine.KindEngine,
			Zone:        zones[i%len(zones)].Name,
			Status:      machine.StatusLive,
			Models:      loaded,
			Slots:       engineSlots,
			CacheTokens: engineCacheTokens,
		}
	}
	return machines
}

// tools distributes tool services over the zones. Each serves all named tools.
func tools(count int, prefix string, zones []zone.Zone, names ...string) []machine.Machine {
	machines := make([]machine.Machine, count)
	for i := range machines {
		machines[i] = machine.Machine{
			ID:     machine.ID(fmt.Sprintf("%s-%d", prefix, i+1)),
			Kind:   machine.KindTool,
			Zone:   zones[i%len(zones)].Name,
			Status: machine.StatusLive,
			Tools:  names,
		}
	}
	return machines
}

// depotTools returns the tools of a depot event service.
func depotTools() []string {
	return []string{toolRecordSealBreak, toolAcknowledgeAlarm, toolReadLogger}
}

// collectionsTools returns the tools of a collections back end.
func collectionsTools() []string {
	return []string{toolPlanReceipt, toolSendLetter, toolReadAccount}
}
