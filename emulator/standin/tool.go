package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/emulator/platformmodel"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/tool"
)

// toolService is the stand-in of one tool service.
type toolService struct {
	// recorder records the service's events; nil disables recording.
	recorder *history.Recorder
	config   ToolConfig
	gate     *gate
	mutex    sync.Mutex
	state    *platformmodel.ToolService
	leaving  bool
}

// newToolService returns a tool service without runs.
func newToolService(config ToolConfig, faults *Faults, closed <-chan struct{}) *toolService {
	return &toolService{
		config: config,
		gate:   &gate{service: service{name: string(config.ID), zone: config.Zone}, faults: faults, closed: closed},
		state:  platformmodel.NewToolService(config.Kind),
	}
}

// routes returns the service's routes with fault injection; /runs is exempt from
// faults.
func (t *toolService) routes() *router.Router {
	routes := router.New()
	routes.POST("/run", t.gate.guard(t.run))
	routes.GET("/lookup", t.gate.guard(t.lookup))
	routes.GET("/runs", t.listRuns)
	return routes
}

// machine returns the service's entry in the machine list.
func (t *toolService) machine(address string, status machine.Status) machine.Machine {
	return machine.Machine{
		ID:      t.config.ID,
		Kind:    machine.KindTool,
		Zone:    t.config.Zone,
		Address: address,
		Status:  status,
		Tools:   platformmodel.ToolsOf(t.config.Kind),
	}
}

type runBody struct {
	Output string `json:"output"`
}

type lookupBody struct {
	Found  bool   `json:"found"`
	Output string `json:"output"`
	Count  int    `json:"count"`
}

type runsBody struct {
	Runs []platformmodel.ToolRun `json:"runs"`
}

// run executes a request, then answers after the service's delay.
func (t *toolService) run(ctx *fasthttp.RequestCtx) {
	var request tool.Request
	if !decode(ctx, &request) {
		return
	}
	if request.Key == "" {
		fail(ctx, fasthttp.StatusBadRequest, fmt.Errorf("key: missing"))
		return
	}
	output, err := t.execute(request)
	if err != nil {
		fail(ctx, fasthttp.StatusBadRequest, err)
		return
	}
	t.gate.pause(t.config.Delay)
	t.recordEnd(request, output)
	answer(ctx, runBody{Output: output})
}

// execute applies the effect of a request.
func (t *toolService) execute(request tool.Request) (string, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.leaving {
		return "", fmt.Errorf("leaving, no new work")
	}
	output, err := t.state.Run(time.Now(), request.Key, request.Tool, request.Input)
	if err == nil {
		t.recordStart(request)
	}
	return output, err
}

// lookup answers whether a key was run, with its output and number of runs.
func (t *toolService) lookup(ctx *fasthttp.RequestCtx) {
	key := string(ctx.QueryArgs().Peek("key"))
	t.mutex.Lock()
	run, found := t.state.Lookup(key)
	t.mutex.Unlock()
	answer(ctx, lookupBody{Found: found, Output: run.Output, Count: run.Count})
}

// listRuns answers with all runs, to check a history against.
func (t *toolService) listRuns(ctx *fasthttp.RequestCtx) {
	answer(ctx, runsBody{Runs: t.runs()})
}

// runs returns all runs, sorted by key.
func (t *toolService) runs() []platformmodel.ToolRun {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.state.Runs()
}

// leave makes the service refuse new work.
func (t *toolService) leave() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.leaving = true
}
