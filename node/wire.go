package node

import (
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"go.uber.org/dig"

	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/engine/enginehttp"
	"birchwood.example/birchwood/gateway"
	"birchwood.example/birchwood/httpclient"
	"birchwood.example/birchwood/infra"
	"birchwood.example/birchwood/infra/infrahttp"
	"birchwood.example/birchwood/link/linkhttp"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/operator"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/tool"
	"birchwood.example/birchwood/tool/toolhttp"
	"birchwood.example/birchwood/zone"
)

// Wire builds a node's process from its settings file. It opens no listeners or
// connections.
func Wire(file *config.File, logger *log.Logger) (*Process, error) {
	container := dig.New()
	constructors := []any{
		func() *config.File { return file },
		func() *log.Logger { return logger },
		newSelf,
		newNodeRandom,
		newLog,
		newMachineList,
		newEngines,
		newTools,
		newTransport,
		newManagedEngines,
		newPolicy,
		newControlConfig,
		operator.NewMetrics,
		func(metrics *operator.Metrics) Metrics { return metrics },
		newDependencies,
		newConfig,
		newNode,
		newRefusals,
		newGateway,
		newOperator,
		newProcess,
	}
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	var process *Process
	err := container.Invoke(func(built *Process) { process = built })
	return process, Error.Wrap(dig.RootCause(err))
}

// newSelf uses the start time as the incarnation, so that it increases with each
// start of the process.
func newSelf(file *config.File) machine.Machine {
	return file.Node.Machine(uint64(time.Now().UnixNano()))
}

func newNodeRandom(self machine.Machine) *rand.Rand { return newRandom(self.ID) }

func platformOptions(file *config.File, address string) httpclient.Options {
	return httpclient.Options{Address: address, Zone: string(file.Node.Zone), Timeout: file.Timings.LogTimeout}
}

func newLog(file *config.File) infra.Log {
	return infrahttp.New(platformOptions(file, file.Platform.Log))
}

func newMachineList(file *config.File) infra.MachineList {
	return infrahttp.New(platformOptions(file, file.Platform.Machines))
}

func newEngines(file *config.File) engine.Dialer {
	return enginehttp.NewDialer(httpclient.Options{Zone: string(file.Node.Zone), Timeout: backendTimeout})
}

func newTools(file *config.File) tool.Dialer {
	return toolhttp.NewDialer(httpclient.Options{Zone: string(file.Node.Zone), Timeout: backendTimeout})
}

// backendTimeout bounds a request to a back end that has no deadline.
const backendTimeout = 5 * time.Second

func newTransport(file *config.File) (*linkhttp.Transport, error) {
	settings := linkhttp.DefaultConfig(file.Node.ID, file.Node.Zone, file.PeerToken)
	settings.DialTimeout = file.Timings.DialTimeout
	return linkhttp.New(settings)
}

// managedEngines reports to the scheduler which engines its node manages. The
// node is built after the scheduler; newNode sets it.
type managedEngines struct{ node *Node }

func newManagedEngines() *managedEngines { return &managedEngines{} }

// managed reports whether the node manages an engine. Like the scheduler, it runs
// on the control goroutine.
func (c *managedEngines) managed(id machine.ID) bool { return c.node != nil && c.node.core.Manages(id) }

// newNode builds the node and makes it available to its scheduler.
func newNode(settings Config, dependencies Dependencies, managed *managedEngines) (*Node, error) {
	node, err := New(settings, dependencies)
	managed.node = node
	return node, err
}

func newPolicy(file *config.File, random *rand.Rand, managed *managedEngines) (schedule.Policy, error) {
	settings := schedule.DefaultConfig()
	settings.ManagesEngine = managed.managed
	settings.Self = file.Node.Zone
	settings.Random = random
	settings.LinkDelay = func(to zone.Name) time.Duration { return file.Links.Delay(file.Node.Zone, to) }
	return schedule.New(settings)
}

func newControlConfig(file *config.File, self machine.Machine, random *rand.Rand, policy schedule.Policy) control.Config {
	settings := control.DefaultConfig(self, recordlog.WriterName(self.ID, self.Incarnation), random, policy)
	timings, limits := file.Timings, file.Limits
	settings.PartitionsPerBranch = limits.PartitionsPerBranch
	settings.MirrorBytes = max(limits.MirrorBytes, 1)
	settings.ListPeriod = timings.MachineListPeriod
	settings.LoadPeriod = timings.LoadPeriod
	settings.SweepPeriod = timings.SweepPeriod
	settings.ParkTimeout = timings.ParkTimeout
	settings.DrainTimeout = timings.DrainTimeout
	settings.Membership.ProbePeriod = timings.ProbePeriod
	settings.Membership.ProbeTimeout = timings.ProbeTimeout
	settings.Membership.SuspectTimeout = timings.SuspectTimeout
	settings.Follower.Zones = file.ZoneNames()
	settings.Follower.PollInterval = timings.SettingsPoll
	settings.Follower.FreshnessBound = timings.SettingsFreshness
	settings.Replica.MirrorCount = limits.Mirrors
	settings.Replica.MirrorDelay = timings.MirrorDelay
	settings.Replica.AcceptLossAfter = timings.AcceptLossAfter
	settings.Replica.AppendTimeout = timings.LogTimeout
	settings.Replica.AppendRetryMinimum = timings.LogRetryMinimum
	settings.Replica.AppendRetryMaximum = timings.LogRetryMaximum
	settings.Replica.MaximumUnconfirmedBytes = limits.UnconfirmedBytes
	settings.Replica.SnapshotEvery = limits.SnapshotRecords
	settings.Store.MaximumPrograms = limits.Programs
	settings.Store.MaximumQueuedCalls = limits.QueuedCalls
	settings.Store.MaximumDepth = limits.SubAgentDepth
	return settings
}

func newDependencies(
	logService infra.Log, machines infra.MachineList, engines engine.Dialer, tools tool.Dialer,
	transport *linkhttp.Transport, metrics Metrics, logger *log.Logger,
) Dependencies {
	return Dependencies{
		Log: logService, Machines: machines, Engines: engines, Tools: tools,
		Transport: transport, Metrics: metrics, Logger: logger,
	}
}

// maxTranscriptBytes bounds the cache of program histories. Half of a node's
// memory budget of 256 MB is reserved for everything else.
const maxTranscriptBytes = 64 << 20

func newConfig(file *config.File, settings control.Config) Config {
	return Config{
		Control:         settings,
		PeerToken:       file.PeerToken,
		StoreTimeout:    file.Timings.LogTimeout,
		BackendTimeout:  backendTimeout,
		TranscriptBytes: maxTranscriptBytes,
	}
}

// refusalLogSize is the number of recent refusals that a node keeps, so that
// they can be looked up and explained.
const refusalLogSize = 4096

func newRefusals() *operator.RefusalLog { return operator.NewRefusalLog(refusalLogSize) }

func newOperator(
	file *config.File, node *Node, callers *gateway.Gateway, transport *linkhttp.Transport,
	metrics *operator.Metrics, refusals *operator.RefusalLog, logger *log.Logger,
) (*operator.Server, error) {
	metrics.SetSnapshotSource(func() operator.Snapshot {
		snapshot := node.snapshot()
		traffic := transport.Counters()
		snapshot.ControlBytesSent = traffic.BytesSent
		snapshot.ControlBytesReceived = traffic.BytesReceived
		return snapshot
	})
	settings := operator.DefaultConfig()
	settings.BootstrapToken = file.BootstrapToken
	return operator.New(settings, node, callers, metrics, refusals, logger)
}

func newGateway(file *config.File, node *Node, metrics *operator.Metrics, refusals *operator.RefusalLog, logger *log.Logger) (*gateway.Gateway, error) {
	settings := gateway.DefaultConfig()
	timings, limits := file.Timings, file.Limits
	settings.Node = string(file.Node.ID)
	settings.Observer = operator.Observer{Metrics: metrics, Refusals: refusals}
	settings.FindRefusal = refusals.Find
	settings.MaximumBodyBytes = limits.BodyBytes
	settings.ReadTimeout = timings.ReadTimeout
	settings.WriteTimeout = timings.WriteTimeout
	settings.IdleTimeout = timings.IdleTimeout
	settings.KeepAlive = timings.KeepAlive
	settings.MaximumWait = timings.MaximumWait
	settings.DialTimeout = timings.DialTimeout
	settings.Connections = limits.Connections
	settings.ConnectionsPerPeer = limits.ConnectionsPerPeer
	return gateway.New(settings, node, logger)
}
