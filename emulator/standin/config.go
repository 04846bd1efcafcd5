package standin

import (
	"errors"
	"fmt"
	"net"
	"time"

	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/emulator/platformmodel"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Defaults of Config.
const (
	// AnyPort lets the operating system choose a free port on loopback.
	AnyPort               = "127.0.0.1:0"
	defaultMachineLag     = time.Second
	defaultMachineExpiry  = 5 * time.Second
	defaultWeightTransfer = 8 * time.Second
	defaultToolDelay      = 20 * time.Millisecond
)

// Config describes a set of stand-ins. Zero fields get a default.
type Config struct {
	// Seed seeds the random choices: lost cache events and faults with a
	// probability.
	Seed uint64 `yaml:"seed"`
	// Platform and Control are the listen addresses, "ip:port".
	Platform string `yaml:"platform"`
	Control  string `yaml:"control"`
	// PlatformZone is the zone of the platform's services for
	// FaultNetworkPartition; if it is empty, blocked links between zones don't
	// affect them.
	PlatformZone zone.Name `yaml:"platform_zone"`
	// LogDelay is the delay of each request to the log service.
	LogDelay time.Duration `yaml:"log_delay"`
	// MachineLag is the age of the machine list that is served; MachineExpiry is
	// the time after which an entry expires without renewal.
	MachineLag    time.Duration `yaml:"machine_lag"`
	MachineExpiry time.Duration `yaml:"machine_expiry"`
	// WeightTransfer is the time that the weight store takes to transfer the
	// weights of one model.
	WeightTransfer time.Duration `yaml:"weight_transfer"`
	// Recorder records the back ends' events for package history; nil disables
	// recording.
	Recorder *history.Recorder `yaml:"-"`
	Engines  []EngineConfig    `yaml:"engines"`
	Tools    []ToolConfig      `yaml:"tools"`
}

// EngineConfig describes one model engine.
type EngineConfig struct {
	ID      machine.ID `yaml:"id"`
	Zone    zone.Name  `yaml:"zone"`
	Address string     `yaml:"address"`
	Models  []string   `yaml:"models"`
	// Slots and CacheTokens default to those of package enginemodel if zero.
	Slots       int `yaml:"slots"`
	CacheTokens int `yaml:"cache_tokens"`
	// Speed multiplies the default rates of the engine. Zero means 1.
	Speed float64 `yaml:"speed"`
}

// ToolConfig describes one tool service.
type ToolConfig struct {
	ID      machine.ID `yaml:"id"`
	Zone    zone.Name  `yaml:"zone"`
	Address string     `yaml:"address"`
	// Kind is "depot-events" or "collections".
	Kind string `yaml:"kind"`
	// Delay is the time from a run's effect to its answer.
	Delay time.Duration `yaml:"delay"`
}

// withDefaults returns the configuration with defaults for zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.Platform, AnyPort)
	setDefault(&c.Control, AnyPort)
	setDefault(&c.MachineLag, defaultMachineLag)
	setDefault(&c.MachineExpiry, defaultMachineExpiry)
	setDefault(&c.WeightTransfer, defaultWeightTransfer)
	engines := make([]EngineConfig, len(c.Engines))
	for i, engine := range c.Engines {
		setDefault(&engine.Address, AnyPort)
		setDefault(&engine.Slots, enginemodel.DefaultSlots)
		setDefault(&engine.CacheTokens, enginemodel.DefaultCacheTokens)
		setDefault(&engine.Speed, 1)
		engines[i] = engine
	}
	c.Engines = engines
	tools := make([]ToolConfig, len(c.Tools))
	for i, tool := range c.Tools {
		setDefault(&tool.Address, AnyPort)
		setDefault(&tool.Delay, defaultToolDelay)
		tools[i] = tool
	}
	c.Tools = tools
	return c
}

// setDefault sets a field that has the zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validate reports all invalid fields with their locations.
func (c Config) validate() error {
	var findings []error
	find := func(location, format string, arguments ...any) {
		findings = append(findings, fmt.Errorf("%s: "+format, append([]any{location}, arguments...)...))
	}
	checkAddress := func(location, address string) {
		if _, _, err := net.SplitHostPort(address); err != nil {
			find(location, "want ip:port: %w", err)
		}
	}
	checkAddress("platform", c.Platform)
	checkAddress("control", c.Control)
	ids := make(map[machine.ID]bool)
	checkMachine := func(location string, id machine.ID, in zone.Name, address string) {
		if id == "" || ids[id] {
			find(location+".id", "missing or used twice: %q", id)
		}
		ids[id] = true
		if err := in.Validate(); err != nil {
			find(location+".zone", "%w", err)
		}
		checkAddress(location+".address", address)
	}
	for i, engine := range c.Engines {
		location := fmt.Sprintf("engines[%d]", i)
		checkMachine(location, engine.ID, engine.Zone, engine.Address)
		if len(engine.Models) == 0 {
			find(location+".models", "want at least one")
		}
		if engine.Speed < 0 || engine.Slots < 0 || engine.CacheTokens < 0 {
			find(location, "speed, slots and cache_tokens must not be negative")
		}
	}
	for i, tool := range c.Tools {
		location := fmt.Sprintf("tools[%d]", i)
		checkMachine(location, tool.ID, tool.Zone, tool.Address)
		if platformmodel.ToolsOf(tool.Kind) == nil {
			find(location+".kind", "unknown kind %q", tool.Kind)
		}
	}
	return errors.Join(findings...)
}
