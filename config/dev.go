package config

import (
	"fmt"
	"time"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// AnyPort is a loopback address whose port the operating system chooses.
const AnyPort = "127.0.0.1:0"

// The tokens and names of the development configuration. The tokens are
// public: a process that listens beyond loopback must not use them.
const (
	DevPeerToken     = "development-peer-token"
	DevCallerToken   = "dev-caller-token"
	DevOperatorToken = "dev-operator-token"
	// DevBranch is the branch that lists DevCallerToken.
	DevBranch contract.Path = "demo"
	// DevModel and DevLargeModel are the models that the engines have loaded.
	DevModel      = "birch-8b"
	DevLargeModel = "birch-70b"
)

// Development is the configuration of a whole system that runs in one process.
type Development struct {
	// Nodes holds the settings of each node. Their listeners use AnyPort and
	// their platform addresses are empty: the caller fills in the addresses
	// that the operating system chose.
	Nodes []*File
	// Standin holds the settings of the stand-ins, whose listeners also use
	// AnyPort.
	Standin *File
	// Changes are the initial edits of the settings tree, in stream order.
	Changes []contract.Change
}

// devEngineSpeed is the speed of the development engines, as a multiple of the
// default rates. It is high enough that a first call answers at once.
const devEngineSpeed = 10

// Dev returns the configuration of `birchwood dev`: three zones, four nodes,
// six engines and two kinds of tool service.
func Dev() *Development {
	zones := []Zone{{Name: "north", Region: "home"}, {Name: "south", Region: "home"}, {Name: "east", Region: "home"}}
	development := &Development{Standin: devStandin(zones), Changes: devChanges(zones)}
	for index := range len(zones) + 1 {
		node := devFile(zones)
		node.Node = &Node{
			ID: machine.ID(fmt.Sprintf("node-%d", index+1)), Zone: zones[index%len(zones)].Name,
			Listen: AnyPort, Operator: AnyPort,
		}
		node.PeerToken = DevPeerToken
		node.Platform = &Platform{}
		development.Nodes = append(development.Nodes, node)
	}
	return development
}

func devFile(zones []Zone) *File {
	file := Defaults()
	file.Zones = zones
	file.Links = Links{}
	file.Timings.MachineListPeriod = 500 * time.Millisecond
	return file
}

func devStandin(zones []Zone) *File {
	file := devFile(zones)
	standin := &Standin{}
	standin.setDefaults()
	standin.Platform, standin.Control = AnyPort, AnyPort
	standin.MachineLag = 500 * time.Millisecond
	for index := range 2 * len(zones) {
		var engine Engine
		engine.setDefaults()
		engine.ID = machine.ID(fmt.Sprintf("engine-%d", index+1))
		engine.Zone = zones[index%len(zones)].Name
		engine.Address = AnyPort
		engine.Models = []string{DevModel, DevLargeModel}
		engine.Speed = devEngineSpeed
		standin.Engines = append(standin.Engines, engine)
	}
	for index, kind := range []string{"depot-events", "collections"} {
		standin.Tools = append(standin.Tools, ToolService{
			ID: machine.ID("tool-" + kind), Zone: zones[index].Name, Address: AnyPort, Kind: kind, Delay: defaultToolDelay,
		})
	}
	file.Standin = standin
	return file
}

// devTools are the tools of the two kinds of stand-in tool service.
var devTools = []string{
	"record_seal_break", "acknowledge_alarm", "read_logger",
	"issue_plan_receipt", "send_letter", "read_account",
}

func devChanges(zones []Zone) []contract.Change {
	names := make([]zone.Name, len(zones))
	for index := range zones {
		names[index] = zones[index].Name
	}
	return []contract.Change{{
		ID: "dev-settings", Actor: "birchwood dev",
		Edits: []contract.Edit{
			{Path: contract.Root, Values: contract.Values{
				Zones: names, Models: []string{DevModel, DevLargeModel}, Tools: devTools,
				OperatorTokens: []string{contract.HashToken(DevOperatorToken)},
			}},
			{Path: DevBranch, Values: contract.Values{CallerTokens: []string{contract.HashToken(DevCallerToken)}}},
			{Path: DevBranch + "/" + contract.Path(names[0]) + "-only", Values: contract.Values{Zones: names[:1]}},
		},
	}}
}
