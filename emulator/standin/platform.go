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
	// own holds the entries of the stand-ins' engines and tool services, which
	// are renewed at each read of the list.
	own []machine.Machine
}

// newPlatformService returns a platform with an empty log and machine list.
func newPlatformService(config Config, faults *Faults) *platformService {
	return &platformService{
		config:   config,
		faults:   faults,
		log:      platformmodel.NewLog(),
		machines: platformmodel.NewMachineList(config.MachineLag, config.MachineExpiry),
		weights:  platformmodel.NewWeightStore(config.WeightTransfer),
	}
}

// routes returns the platform's routes with fault injection.
func (p *platformService) routes(closed <-chan struct{}) *router.Router {
	routes := router.New()
	newGate := func(name string, delay time.Duration) *gate {
		return &gate{service: service{name: name, zone: p.config.PlatformZone}, faults: p.faults, closed: closed, delay: delay}
	}
	log := newGate(TargetLog, p.config.LogDelay)
	routes.POST("/streams/{stream}", log.guard(p.append))
	routes.GET("/streams/{stream}", log.guard(p.read))
	machines := newGate(TargetMachines, 0)
	routes.GET("/machines", machines.guard(p.list))
	routes.PUT("/machines/{id}", machines.guard(p.announce))
	routes.DELETE("/machines/{id}", machines.guard(p.withdraw))
	weights := newGate(TargetWeights, 0)
	routes.POST("/weights/{model}/reserve", weights.guard(p.reserve))
	return routes
}

// appendBody and the types below are the bodies of the routes. JSON encodes
// entries as base64 strings.
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
	// Version identifies the list's content. If the caller already has this
	// version, Unchanged is set and Machines omitted.
	Version   string `json:"version"`
	Unchanged bool   `json:"unchanged,omitempty"`
}

type reservedBody struct {
	WaitMilliseconds int64 `json:"wait_ms"`
}

// append appends entries to a stream.
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

// read answers with entries of a stream, within the limits of one read.
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

// unescape decodes a percent-encoded path segment; an invalid one is returned
// unchanged.
func unescape(part string) string {
	if plain, err := url.PathUnescape(part); err == nil {
		return plain
	}
	return part
}

// list answers with the machine list, or only its version if the caller has it.
func (p *platformService) list(ctx *fasthttp.RequestCtx) {
	visible := p.visible(time.Now())
	version := versionOf(visible)
	if string(ctx.QueryArgs().Peek("known")) == version {
		answer(ctx, machinesBody{Version: version, Unchanged: true})
		return
	}
	answer(ctx, machinesBody{Machines: visible, Version: version})
}

// versionOf returns a hash of the list's content.
func versionOf(listed []machine.Machine) string {
	encoded, err := json.Marshal(listed)
	if err != nil {
		panic("standin: encode machine list as JSON: " + err.Error())
	}
	return strconv.FormatUint(xxhash.Sum64(encoded), 16)
}

// visible renews the stand-ins' entries and returns the machine list as it is
// visible at a time.
func (p *platformService) visible(now time.Time) []machine.Machine {
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

// withdraw removes a machine from the list.
func (p *platformService) withdraw(ctx *fasthttp.RequestCtx) {
	p.mutex.Lock()
	p.machines.Withdraw(time.Now(), machine.ID(unescape(parameter(ctx, "id"))))
	p.mutex.Unlock()
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// reserve reserves a transfer of weights and answers with the time until its end.
func (p *platformService) reserve(ctx *fasthttp.RequestCtx) {
	answer(ctx, reservedBody{WaitMilliseconds: p.reserveWeights(parameter(ctx, "model")).Milliseconds()})
}

// reserveWeights reserves a transfer of a model's weights and returns the time
// until its end.
func (p *platformService) reserveWeights(model string) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.weights.Reserve(time.Now(), model)
}

// setBackend adds the entry of a stand-in's engine or tool service to the machine
// list, or replaces it.
func (p *platformService) setBackend(entry machine.Machine) {
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

// removeBackend removes the entry of a stand-in's engine or tool service.
func (p *platformService) removeBackend(id machine.ID) {
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
