package config

import (
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/zone"
)

// Standin configures the stand-ins that one process runs: simulated platform
// services, engines and tool services.
type Standin struct {
	Platform       string        `yaml:"platform" validate:"required,address" help:"Where the log service, the machine list and the weight store listen."`
	Control        string        `yaml:"control" validate:"required,address" help:"Where faults are switched on and off."`
	PlatformZone   zone.Name     `yaml:"platform_zone" validate:"omitempty,zone" help:"The zone that the platform counts as standing in when zones are cut. Left out: no cut concerns it."`
	Seed           uint64        `yaml:"seed" help:"The seed of every random choice."`
	Settings       string        `yaml:"settings" help:"A file of initial settings, appended to the settings stream when that is empty. A relative path starts at the folder of this file."`
	LogDelay       time.Duration `yaml:"log_delay" validate:"min=0,max=10s" help:"How long the log service takes for one request."`
	MachineLag     time.Duration `yaml:"machine_lag" validate:"min=0,max=5m" help:"How old the machine list is that is shown."`
	MachineExpiry  time.Duration `yaml:"machine_expiry" validate:"min=1s,max=1h" help:"After how long without a renewal the machine list drops a machine."`
	WeightTransfer time.Duration `yaml:"weight_transfer" validate:"min=1ms,max=1h" help:"How long the weight store takes to hand out one model; transfers follow each other."`
	Engines        []Engine      `yaml:"engines" validate:"max=1000,unique=ID,dive" help:"The model engines."`
	Tools          []ToolService `yaml:"tools" validate:"max=1000,unique=ID,dive" help:"The tool services."`
}

// Engine configures a stand-in for a model engine.
type Engine struct {
	ID          machine.ID `yaml:"id" validate:"required,machine" help:"The engine's name."`
	Zone        zone.Name  `yaml:"zone" validate:"required,zone" help:"The zone that it runs in."`
	Address     string     `yaml:"address" validate:"required,address" help:"Where it listens."`
	Models      []string   `yaml:"models" validate:"required,min=1,max=64,unique,dive,required,max=128" help:"The models loaded at the start."`
	Slots       int        `yaml:"slots" validate:"min=1,max=100000" help:"How many sequences it decodes at once."`
	CacheTokens int        `yaml:"cache_tokens" validate:"min=1,max=1000000000" help:"The memory for prefixes, in tokens."`
	Speed       float64    `yaml:"speed" validate:"gt=0,max=10000" help:"How many times as fast as the default rates it computes."`
}

func (e *Engine) setDefaults() {
	*e = Engine{Slots: defaultEngineSlots, CacheTokens: defaultEngineCacheTokens, Speed: 1}
}

// ToolService configures a stand-in for a tool service.
type ToolService struct {
	ID      machine.ID    `yaml:"id" validate:"required,machine" help:"The service's name."`
	Zone    zone.Name     `yaml:"zone" validate:"required,zone" help:"The zone that it runs in."`
	Address string        `yaml:"address" validate:"required,address" help:"Where it listens."`
	Kind    string        `yaml:"kind" validate:"oneof=depot-events collections" help:"What it does: depot-events or collections."`
	Delay   time.Duration `yaml:"delay" validate:"min=0,max=10m" help:"How long it takes to run a request."`
}

func (t *ToolService) setDefaults() { t.Delay = defaultToolDelay }
