package scale

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/infra/infrahttp"
	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/link/linkhttp"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/node"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/zone"
)

const (
	peerToken       = "the peer token of a scale run"
	storeTimeout    = 5 * time.Second
	backendTimeout  = 5 * time.Second
	transcriptBytes = 1 << 20
	idleTimeout     = 90 * time.Second
)

// member is one node of the run, through all its restarts.
type member struct {
	fleet   *fleet
	entry   machine.Machine
	real    bool
	traffic traffic
	// controlNanoseconds is the time spent in control steps.
	controlNanoseconds atomic.Int64

	http     *linkhttp.Transport
	server   *fasthttp.Server
	platform *infrahttp.Platform

	mutex sync.RWMutex
	node  *node.Node
	// revision is the highest settings revision of the present node.
	revision uint64
	starts   uint64
	started  time.Time
}

// newMember opens the listener through which real nodes reach this one.
func newMember(f *fleet, index int, place zone.Name, real bool) (*member, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &member{
		fleet: f,
		real:  real,
		entry: machine.Machine{
			ID: machine.ID(fmt.Sprintf("node-%03d", index)), Kind: machine.KindNode, Zone: place,
			Address: listener.Addr().String(), Status: machine.StatusLive, Incarnation: newIncarnation(),
		},
	}
	settings := linkhttp.DefaultConfig(m.entry.ID, place, peerToken)
	settings.Permits = f.network.permits
	if m.http, err = linkhttp.New(settings); err != nil {
		return nil, err
	}
	m.server = &fasthttp.Server{
		Handler:               m.http.Handler(m.receive),
		IdleTimeout:           idleTimeout,
		ReadTimeout:           idleTimeout,
		WriteTimeout:          storeTimeout,
		MaxRequestBodySize:    settings.MaximumBody,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
	}
	m.platform = infrahttp.New(httpclient.Options{Address: f.platformAddress, Zone: string(place), Timeout: storeTimeout})
	go func() { _ = m.server.Serve(listener) }()
	return m, nil
}

// newIncarnation grows with each start.
func newIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// start begins a new process of the node, with a higher incarnation.
func (m *member) start() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.starts++
	m.started = time.Now()
	if m.starts > 1 {
		m.entry.Incarnation = newIncarnation()
	}
	self := m.entry
	random := newRandom(m.fleet.config.Seed+m.starts, string(m.entry.ID))
	settings := schedule.DefaultConfig()
	settings.Self = self.Zone
	settings.Random = random
	settings.LinkDelay = func(to zone.Name) time.Duration { return m.fleet.world.delay(self.Zone, to) }
	policy, err := schedule.New(settings)
	if err != nil {
		return err
	}
	core := control.DefaultConfig(self, recordlog.WriterName(self.ID, self.Incarnation), random, policy)
	core.PartitionsPerBranch = m.fleet.partitionsPerBranch
	core.Replica.AcceptLossAfter = m.fleet.config.AcceptLossAfter
	if timeout := m.fleet.config.ProbeTimeout; timeout > 0 {
		core.Membership.SuspectTimeout *= timeout / core.Membership.ProbeTimeout
		core.Membership.ProbeTimeout = timeout
	}
	core.SweepPeriod = m.fleet.config.SweepPeriod
	core.Follower.Zones = m.fleet.world.names()
	m.revision = 0
	m.node, err = node.New(node.Config{
		Control: core, PeerToken: peerToken, StoreTimeout: storeTimeout,
		BackendTimeout: backendTimeout, TranscriptBytes: transcriptBytes,
	}, node.Dependencies{
		Log: countedLog{Log: m.platform, fleet: m.fleet}, Machines: m.fleet.machines.of(m),
		Engines: m.fleet.backends, Tools: m.fleet.backends,
		Transport: m, Metrics: &measure{member: m, start: m.starts}, Logger: &log.Logger{Level: log.PanicLevel},
	})
	if err != nil {
		return err
	}
	m.node.Start()
	return nil
}

// kill ends the node as a crash does: nothing is handed over, and the machine
// list goes on showing it until its entry expires.
func (m *member) kill() {
	m.mutex.Lock()
	killed := m.node
	m.node = nil
	m.mutex.Unlock()
	if killed != nil {
		killed.Close()
	}
}

// close ends the node and its listener.
func (m *member) close() {
	m.kill()
	m.http.Close()
	_ = m.server.Shutdown()
	m.platform.Close()
}

// running returns the present node, if there is one.
func (m *member) running() (*node.Node, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return m.node, m.node != nil
}

// Send implements node.Transport.
func (m *member) Send(to machine.Machine, message link.Message) error {
	message.From, message.To = m.entry.ID, to.ID
	if receiver, ok := m.fleet.network.hollow(to.ID); ok && !m.real {
		return m.fleet.network.carry(m, receiver, message)
	}
	return m.http.Send(to, message)
}

// receive takes a message that came over loopback.
func (m *member) receive(message link.Message) {
	if running, ok := m.running(); ok {
		running.Receive(message)
	}
}

// take receives a message of a hollow node, as bytes.
func (m *member) take(encoded []byte, size int64) {
	running, ok := m.running()
	if !ok {
		return
	}
	var message link.Message
	if err := json.Unmarshal(encoded, &message); err != nil {
		panic(fmt.Sprintf("scale: a message has no JSON form: %v", err))
	}
	m.traffic.received.Add(size)
	m.traffic.sent.Add(answerOverhead)
	running.Receive(message)
}

// controlBytes is what the node has sent to and received from its peers.
func (m *member) controlBytes() int64 {
	counted := m.http.Counters()
	return m.traffic.sent.Load() + m.traffic.received.Load() + counted.BytesSent + counted.BytesReceived
}

// measure is the node's metrics.
type measure struct {
	member *member
	start  uint64
}

var _ node.Metrics = (*measure)(nil)

// ControlStep adds up the control time.
func (m *measure) ControlStep(took time.Duration) {
	m.member.controlNanoseconds.Add(int64(took))
}

// SettingsRevision notes when a revision came into force, and that it never
// goes back while the process lives.
func (m *measure) SettingsRevision(revision uint64) {
	m.member.mutex.Lock()
	defer m.member.mutex.Unlock()
	if m.start != m.member.starts {
		return
	}
	if revision < m.member.revision {
		m.member.fleet.violations.add(ViolationSettingsReverted, "%s went from %d to %d", m.member.entry.ID, m.member.revision, revision)
	}
	m.member.fleet.spread.inForce(m.member.revision, revision, m.member.started)
	m.member.revision = revision
}

// StoreAppend, FirstToken, CallFinished, ProgramFinished and Refused are not
// measured here.
func (m *measure) StoreAppend(time.Duration, error)           {}
func (m *measure) FirstToken(time.Duration)                   {}
func (m *measure) CallFinished(api.Call)                      {}
func (m *measure) ProgramFinished(api.Program, time.Duration) {}
func (m *measure) Refused(*api.Error)                         {}
