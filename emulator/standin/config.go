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
	// AnyPort makes the system choose a free port on loopback.
	AnyPort               = "127.0.0.1:0"
	defaultMachineLag     = time.Second
	defaultMachineExpiry  = 5 * time.Second
	defaultWeightTransfer = 8 * time.Second
	defaultToolDelay      = 20 * time.Millisecond
)

// Config describes a set of stand-ins. Zero fields get a default.
type Config struct {
	// Seed drives what is random: lost cache events and random faults.
	Seed uint64 `yaml:"seed"`
	// Platform and Control are the listen addresses, "ip:port".
	Platform string `yaml:"platform"`
	Control  string `yaml:"control"`
	// PlatformZone is the zone that the platform's service counts as standing
	// in when zones are cut; empty means that no cut of a zone concerns it.
	PlatformZone zone.Name `yaml:"platform_zone"`
	// LogDelay is how long each request to the log service takes.
	LogDelay time.Duration `yaml:"log_delay"`
	// MachineLag is how old the shown machine list is; MachineExpiry is how
	// long an entry lives without renewal.
	MachineLag    time.Duration `yaml:"machine_lag"`
	MachineExpiry time.Duration `yaml:"machine_expiry"`
	// WeightTransfer is how long the weight store needs for one model.
	WeightTransfer time.Duration `yaml:"weight_transfer"`
	// Recorder gets what the back ends saw, for package history; nil records
	// nothing.
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
	// Slots and CacheTokens: zero means the default of package enginemodel.
	Slots       int `yaml:"slots"`
	CacheTokens int `yaml:"cache_tokens"`
	// Speed is how many times as fast as the default rates the engine
	// computes. Zero means 1.
	Speed float64 `yaml:"speed"`
}

// ToolConfig describes one tool service.
type ToolConfig struct {
	ID      machine.ID `yaml:"id"`
	Zone    zone.Name  `yaml:"zone"`
	Address string     `yaml:"address"`
	// Kind is "depot-events" or "collections".
	Kind string `yaml:"kind"`
	// Delay is how long each run takes.
	Delay time.Duration `yaml:"delay"`
}

// withDefaults fills the zero fields.
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

// setDefault replaces a zero value.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validate collects everything that is wrong, with its place.
func (c Config) validate() error {
	var findings []error
	find := func(place, format string, arguments ...any) {
		findings = append(findings, fmt.Errorf("%s: "+format, append([]any{place}, arguments...)...))
	}
	checkAddress := func(place, address string) {
		if _, _, err := net.SplitHostPort(address); err != nil {
			find(place, "want ip:port: %w", err)
		}
	}
	checkAddress("platform", c.Platform)
	checkAddress("control", c.Control)
	ids := make(map[machine.ID]bool)
	checkMachine := func(place string, id machine.ID, in zone.Name, address string) {
		if id == "" || ids[id] {
			find(place+".id", "missing or used twice: %q", id)
		}
		ids[id] = true
		if err := in.Validate(); err != nil {
			find(place+".zone", "%w", err)
		}
		checkAddress(place+".address", address)
	}
	for i, engine := range c.Engines {
		place := fmt.Sprintf("engines[%d]", i)
		checkMachine(place, engine.ID, engine.Zone, engine.Address)
		if len(engine.Models) == 0 {
			find(place+".models", "want at least one")
		}
		if engine.Speed < 0 || engine.Slots < 0 || engine.CacheTokens < 0 {
			find(place, "speed, slots and cache_tokens must not be negative")
		}
	}
	for i, tool := range c.Tools {
		place := fmt.Sprintf("tools[%d]", i)
		checkMachine(place, tool.ID, tool.Zone, tool.Address)
		if platformmodel.ToolsOf(tool.Kind) == nil {
			find(place+".kind", "unknown kind %q", tool.Kind)
		}
	}
	return errors.Join(findings...)
}
