package standin

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/emulator/platformmodel"
	"birchwood.example/birchwood/machine"
)

// Limits of one read of the log.
const (
	maximumReadEntries = 10000
	maximumReadBytes   = 16 << 20
)

// platformService serves the log service, the machine list and the weight
// store.
type platformService struct {
	config   Config
	faults   *Faults
	mutex    sync.Mutex
	log      *platformmodel.Log
	machines *platformmodel.MachineList
	weights  *platformmodel.WeightStore
	// own are the stand-ins' engines and tools, renewed at each reading.
	own []machine.Machine
}

// newPlatformService returns an empty platform.
func newPlatformService(config Config, faults *Faults) *platformService {
	return &platformService{
		config:   config,
		faults:   faults,
		log:      platformmodel.NewLog(),
		machines: platformmodel.NewMachineList(config.MachineLag, config.MachineExpiry),
		weights:  platformmodel.NewWeightStore(config.WeightTransfer),
	}
}

// routes returns the platform's routes behind their faults.
func (p *platformService) routes(closed <-chan struct{}) *router.Router {
	routes := router.New()
	guardOf := func(name string, delay time.Duration) *gate {
		return &gate{service: service{name: name, zone: p.config.PlatformZone}, faults: p.faults, closed: closed, delay: delay}
	}
	log := guardOf(TargetLog, p.config.LogDelay)
	routes.POST("/streams/{stream}", log.guard(p.append))
	routes.GET("/streams/{stream}", log.guard(p.read))
	machines := guardOf(TargetMachines, 0)
	routes.GET("/machines", machines.guard(p.list))
	routes.PUT("/machines/{id}", machines.guard(p.announce))
	routes.DELETE("/machines/{id}", machines.guard(p.withdraw))
	weights := guardOf(TargetWeights, 0)
	routes.POST("/weights/{model}/reserve", weights.guard(p.reserve))
	return routes
}

// appendBody and the types below are the bodies of the routes. Entries travel
// as base64 strings.
type appendBody struct {
	Entries [][]byte `json:"entries"`
}

type appendedBody struct {
	FirstOffset uint64 `json:"first_offset"`
}

type readBody struct {
	Entries [][]byte `json:"entries"`
	End     uint64   `json:"end"`
}

type machinesBody struct {
	Machines []machine.Machine `json:"machines,omitempty"`
	// Version names the list's content. Unchanged is set, and Machines left
	// out, when the caller already knows this version.
	Version   string `json:"version"`
	Unchanged bool   `json:"unchanged,omitempty"`
}

type reservedBody struct {
	WaitMilliseconds int64 `json:"wait_ms"`
}

// append adds entries to a stream.
func (p *platformService) append(ctx *fasthttp.RequestCtx) {
	var body appendBody
	if !decode(ctx, &body) {
		return
	}
	if len(body.Entries) == 0 {
		fail(ctx, fasthttp.StatusBadRequest, fmt.Errorf("entries: want at least one"))
		return
	}
	p.mutex.Lock()
	first := p.log.Append(unescape(parameter(ctx, "stream")), body.Entries)
	p.mutex.Unlock()
	answer(ctx, appendedBody{FirstOffset: first})
}

// read returns entries of a stream.
func (p *platformService) read(ctx *fasthttp.RequestCtx) {
	from, err := ctx.QueryArgs().GetUint("from")
	if err != nil {
		from = 0
	}
	maximum, err := ctx.QueryArgs().GetUint("max")
	if err != nil || maximum > maximumReadEntries {
		maximum = maximumReadEntries
	}
	p.mutex.Lock()
	entries, end := p.log.Read(unescape(parameter(ctx, "stream")), uint64(from), maximum, maximumReadBytes)
	p.mutex.Unlock()
	answer(ctx, readBody{Entries: entries, End: end})
}

// unescape undoes the escaping of a path part.
func unescape(part string) string {
	if plain, err := url.PathUnescape(part); err == nil {
		return plain
	}
	return part
}

// list shows the machines.
func (p *platformService) list(ctx *fasthttp.RequestCtx) {
	shown := p.shown(time.Now())
	version := versionOf(shown)
	if string(ctx.QueryArgs().Peek("known")) == version {
		answer(ctx, machinesBody{Version: version, Unchanged: true})
		return
	}
	answer(ctx, machinesBody{Machines: shown, Version: version})
}

// versionOf names the content of a list.
func versionOf(listed []machine.Machine) string {
	encoded, err := json.Marshal(listed)
	if err != nil {
		panic("standin: a machine has no JSON form: " + err.Error())
	}
	return strconv.FormatUint(xxhash.Sum64(encoded), 16)
}

// shown returns the machine list as it shows at a time.
func (p *platformService) shown(now time.Time) []machine.Machine {
	lag, lagging := p.faults.lag(TargetMachines)
	if !lagging {
		lag = p.config.MachineLag
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, own := range p.own {
		p.machines.Announce(now, own)
	}
	p.machines.SetLag(lag)
	return p.machines.Machines(now)
}

// announce registers or renews a machine.
func (p *platformService) announce(ctx *fasthttp.RequestCtx) {
	var entry machine.Machine
	if !decode(ctx, &entry) {
		return
	}
	if string(entry.ID) != unescape(parameter(ctx, "id")) {
		fail(ctx, fasthttp.StatusBadRequest, fmt.Errorf("id: body and path differ"))
		return
	}
	p.mutex.Lock()
	p.machines.Announce(time.Now(), entry)
	p.mutex.Unlock()
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// withdraw removes a machine.
func (p *platformService) withdraw(ctx *fasthttp.RequestCtx) {
	p.mutex.Lock()
	p.machines.Withdraw(time.Now(), machine.ID(unescape(parameter(ctx, "id"))))
	p.mutex.Unlock()
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// reserve books a transfer of weights.
func (p *platformService) reserve(ctx *fasthttp.RequestCtx) {
	answer(ctx, reservedBody{WaitMilliseconds: p.reserveWeights(parameter(ctx, "model")).Milliseconds()})
}

// reserveWeights books a transfer and returns when it will have ended.
func (p *platformService) reserveWeights(model string) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.weights.Reserve(time.Now(), model)
}

// setOwn lists a stand-in's own machine, in place of its earlier state.
func (p *platformService) setOwn(entry machine.Machine) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.machines.Announce(time.Now(), entry)
	for i, own := range p.own {
		if own.ID == entry.ID {
			p.own[i] = entry
			return
		}
	}
	p.own = append(p.own, entry)
}

// dropOwn withdraws a stand-in's own machine.
func (p *platformService) dropOwn(id machine.ID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i, own := range p.own {
		if own.ID == id {
			p.own = append(p.own[:i], p.own[i+1:]...)
			break
		}
	}
	p.machines.Withdraw(time.Now(), id)
}
