package standin

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"birchwood.example/birchwood/emulator/enginemodel"
	"birchwood.example/birchwood/emulator/platformmodel"
	"birchwood.example/birchwood/machine"
)

// Set is a running set of stand-ins. It is safe for concurrent use.
type Set struct {
	config   Config
	faults   *Faults
	platform *platformService
	engines  []*engineService
	tools    []*toolService
	servers  []*server
	// addresses holds the back ends' listen addresses.
	addresses      map[machine.ID]string
	platformServer *server
	controlServer  *server
	closed         chan struct{}
	closeOnce      sync.Once
	drivers        sync.WaitGroup
}

// Addresses holds the listen addresses of the stand-ins, each as "ip:port".
type Addresses struct {
	Platform string                `json:"platform"`
	Control  string                `json:"control"`
	Engines  map[machine.ID]string `json:"engines"`
	Tools    map[machine.ID]string `json:"tools"`
}

// Start starts all stand-ins. If it returns an error, no listener is left open.
func Start(config Config) (*Set, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewPCG(config.Seed, config.Seed))
	faults := newFaults(random, time.Now)
	set := &Set{
		config:    config,
		faults:    faults,
		platform:  newPlatformService(config, faults),
		addresses: make(map[machine.ID]string),
		closed:    make(chan struct{}),
	}
	if err := set.open(); err != nil {
		set.Close()
		return nil, err
	}
	return set, nil
}

// open starts all services.
func (s *Set) open() error {
	var err error
	if s.platformServer, err = serve(s.config.Platform, s.platform.routes(s.closed)); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	if s.controlServer, err = serve(s.config.Control, s.controlRoutes()); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	for i, config := range s.config.Engines {
		if err := s.openEngine(i, config); err != nil {
			return fmt.Errorf("engine %s: %w", config.ID, err)
		}
	}
	for _, config := range s.config.Tools {
		if err := s.openTool(config); err != nil {
			return fmt.Errorf("tool %s: %w", config.ID, err)
		}
	}
	return nil
}

// openEngine starts one engine.
func (s *Set) openEngine(index int, config EngineConfig) error {
	running, err := newRunningEngine(config, rand.New(rand.NewPCG(s.config.Seed, uint64(index)+1)))
	if err != nil {
		return err
	}
	running.recorder = s.config.Recorder
	opened := &engineService{
		engine: running,
		gate:   &gate{service: service{name: string(config.ID), zone: config.Zone}, faults: s.faults, closed: s.closed},
		set:    s,
	}
	listening, err := serve(config.Address, opened.routes())
	if err != nil {
		return err
	}
	s.servers = append(s.servers, listening)
	s.engines = append(s.engines, opened)
	s.addresses[config.ID] = listening.address()
	s.drivers.Go(func() { running.run(s.closed) })
	s.platform.setBackend(running.machine(listening.address(), machine.StatusLive))
	return nil
}

// openTool starts one tool service.
func (s *Set) openTool(config ToolConfig) error {
	opened := newToolService(config, s.faults, s.closed)
	opened.recorder = s.config.Recorder
	listening, err := serve(config.Address, opened.routes())
	if err != nil {
		return err
	}
	s.servers = append(s.servers, listening)
	s.tools = append(s.tools, opened)
	s.addresses[config.ID] = listening.address()
	s.platform.setBackend(opened.machine(listening.address(), machine.StatusLive))
	return nil
}

// Addresses returns the listen addresses of the stand-ins.
func (s *Set) Addresses() Addresses {
	addresses := Addresses{
		Platform: s.platformServer.address(),
		Control:  s.controlServer.address(),
		Engines:  make(map[machine.ID]string),
		Tools:    make(map[machine.ID]string),
	}
	for _, opened := range s.engines {
		addresses.Engines[opened.engine.config.ID] = s.addresses[opened.engine.config.ID]
	}
	for _, opened := range s.tools {
		addresses.Tools[opened.config.ID] = s.addresses[opened.config.ID]
	}
	return addresses
}

// Faults returns the active faults, through which faults are added and removed.
func (s *Set) Faults() *Faults { return s.faults }

// ToolRuns returns all runs of each tool service, to check a history against.
func (s *Set) ToolRuns() map[machine.ID][]platformmodel.ToolRun {
	runs := make(map[machine.ID][]platformmodel.ToolRun)
	for _, opened := range s.tools {
		runs[opened.config.ID] = opened.runs()
	}
	return runs
}

// Leave makes an engine or a tool service refuse new work, and lists it as
// leaving in the machine list.
func (s *Set) Leave(id machine.ID) error {
	for _, opened := range s.engines {
		if opened.engine.config.ID == id {
			s.platform.setBackend(opened.engine.machine(s.addresses[id], machine.StatusLeaving))
			return opened.engine.step(enginemodel.Event{Leave: true})
		}
	}
	for _, opened := range s.tools {
		if opened.config.ID == id {
			opened.leave()
			s.platform.setBackend(opened.machine(s.addresses[id], machine.StatusLeaving))
			return nil
		}
	}
	return fmt.Errorf("%w: %q", errUnknownBackend, id)
}

// Restart makes an engine lose its streams and prefixes, as in a crash.
func (s *Set) Restart(id machine.ID) error {
	for _, opened := range s.engines {
		if opened.engine.config.ID == id {
			if err := opened.engine.restart(); err != nil {
				return err
			}
			s.platform.setBackend(opened.engine.machine(s.addresses[id], machine.StatusLive))
			return nil
		}
	}
	return fmt.Errorf("%w: %q", errUnknownBackend, id)
}

var errUnknownBackend = errors.New("no such engine or tool service")

// Withdraw removes an engine or a tool service from the machine list.
func (s *Set) Withdraw(id machine.ID) { s.platform.removeBackend(id) }

// findEngine returns the engine with the machine ID or address, or nil.
func (s *Set) findEngine(name string) *runningEngine {
	for _, opened := range s.engines {
		id := opened.engine.config.ID
		if string(id) == name || s.addresses[id] == name {
			return opened.engine
		}
	}
	return nil
}

// Close stops all services and waits until they have stopped.
func (s *Set) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		for _, opened := range append(s.servers, s.platformServer, s.controlServer) {
			if opened != nil {
				opened.close()
			}
		}
		s.drivers.Wait()
	})
}
