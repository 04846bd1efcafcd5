package cluster

import (
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/history"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/recordlog"
	"birchwood.example/birchwood/schedule"
	"birchwood.example/birchwood/zone"
)

// node is a machine that runs birchwood's node process, running or not.
type node struct {
	cluster *Cluster
	index   int
	self    machine.Machine
	core    *control.Core
	// starts counts the starts of the process; running and paused are its
	// state. backlog holds what arrived while the process was paused.
	starts   uint64
	running  bool
	paused   bool
	backlog  []func()
	nextWake time.Time
	// leaving is set when a planned stop starts, handedOver when the core has
	// handed over everything.
	leaving    bool
	handedOver bool

	// handles counts the requests to the core. waiting holds the reply function
	// of each unanswered one by its handle.
	handles  uint64
	waiting  map[uint64]func(control.Reply)
	attempts map[program.AttemptRef]*attempt
	// connections holds the unanswered requests of callers and of relaying
	// nodes; each value reports to the sender that its connection was lost.
	connections map[uint64]func()
	// verdicts holds the functions that pass a change's verdict to the waiting
	// operator, by change ID.
	verdicts map[string]func(contract.Verdict)
	// inForce is the settings revision last recorded in the history.
	inForce contract.Revision
	// inputs holds the inputs of calls that were sent from this node and have
	// not ended; succeededCalls holds those that succeeded.
	inputs         map[program.CallRef]string
	succeededCalls map[program.CallRef]api.Call
}

// start starts a new process on the machine.
func (n *node) start() error {
	n.starts++
	n.self.Incarnation = uint64(n.cluster.now.Sub(epoch)/time.Millisecond) + n.starts
	random := rand.New(rand.NewPCG(n.cluster.config.Seed, uint64(n.index)<<32+n.starts))
	settings := schedule.DefaultConfig()
	settings.Self = n.self.Zone
	settings.Random = random
	settings.LinkDelay = func(zone.Name) time.Duration { return n.cluster.config.LinkDelay }
	policy, err := schedule.New(settings)
	if err != nil {
		return err
	}
	config := control.DefaultConfig(n.self, recordlog.WriterName(n.self.ID, n.self.Incarnation), random, policy)
	config.PartitionsPerBranch = 2
	config.Replica.AcceptLossAfter = acceptLossAfter
	config.Follower.Zones = n.cluster.config.Zones
	core, err := control.New(config)
	if err != nil {
		return fmt.Errorf("node %s: %w", n.self.ID, err)
	}
	n.core = core
	n.running, n.paused, n.leaving, n.handedOver = true, false, false, false
	n.backlog = nil
	n.nextWake = time.Time{}
	n.inForce = 0
	n.inputs = map[program.CallRef]string{}
	n.succeededCalls = map[program.CallRef]api.Call{}
	n.waiting = map[uint64]func(control.Reply){}
	n.attempts = map[program.AttemptRef]*attempt{}
	n.connections = map[uint64]func(){}
	n.verdicts = map[string]func(contract.Verdict){}
	n.post(control.Tick{})
	return nil
}

// whileRunning wraps a callback of the present process: it is dropped once the
// process has ended, and delayed while the process is paused.
func (n *node) whileRunning(run func(error)) func(error) {
	starts := n.starts
	return func(err error) {
		if n.running && n.starts == starts {
			n.enqueue(func() { run(err) })
		}
	}
}

// enqueue runs a function in the process: at once, or when a paused process
// resumes.
func (n *node) enqueue(run func()) {
	switch {
	case !n.running:
	case n.paused:
		n.backlog = append(n.backlog, run)
	default:
		run()
	}
}

// post passes an event to the core, after the event that is being handled.
func (n *node) post(event control.Event) {
	starts := n.starts
	n.cluster.after(0, func() {
		if n.starts == starts {
			n.enqueue(func() { n.step(event) })
		}
	})
}

// step passes an event to the core and performs the resulting actions.
func (n *node) step(event control.Event) {
	n.cluster.steps++
	n.core.Step(n.cluster.now, event)
	for _, action := range n.core.Ready() {
		n.perform(action)
	}
	n.recordInForce()
	n.scheduleWake()
	n.finishStop()
}

// scheduleWake queues the next tick for the core's next wake, but at least 1 ms
// and at most longestSleep from now.
func (n *node) scheduleWake() {
	now := n.cluster.now
	nextWake := now.Add(longestSleep)
	if next := n.core.NextWake(); !next.IsZero() && next.Before(nextWake) {
		nextWake = next
	}
	if nextWake.Before(now.Add(time.Millisecond)) {
		nextWake = now.Add(time.Millisecond)
	}
	if n.nextWake.After(now) && !nextWake.Before(n.nextWake) {
		return
	}
	n.nextWake = nextWake
	starts := n.starts
	n.cluster.after(nextWake.Sub(now), func() {
		if n.running && n.starts == starts && n.nextWake.Equal(nextWake) {
			n.enqueue(func() { n.step(control.Tick{}) })
		}
	})
}

// recordInForce records the settings revision by which this node places new
// work, when it changes.
func (n *node) recordInForce() {
	revision := n.core.Tree().Revision()
	if revision == n.inForce || !n.core.Freshness(n.cluster.now).MayPlace {
		return
	}
	n.inForce = revision
	n.cluster.record(history.Event{InForce: &history.InForce{
		Node: n.self.ID, Incarnation: n.self.Incarnation, Revision: uint64(revision),
	}})
}

// perform executes one action of the core.
func (n *node) perform(action control.Action) {
	switch action := action.(type) {
	case control.AppendStream:
		n.appendStream(action)
	case control.ReadStream:
		n.readStream(action)
	case control.ReadSettings:
		n.readSettings(action)
	case control.ListMachines:
		n.listMachines(action)
	case control.SendMessage:
		n.sendMessage(action)
	case control.SendAttempt:
		n.startAttempt(action)
	case control.StopAttempt:
		n.stopAttempt(action.Attempt)
	case control.LookUpKey:
		n.lookUp(action)
	case control.QueryBackend:
		n.queryBackend(action)
	case control.ListPrefixes:
		n.listPrefixes(action)
	case control.ReleasePrefix:
		n.releasePrefix(action)
	default:
		n.performLocal(action)
	}
}

// performLocal executes the actions that complete a request or report an event.
func (n *node) performLocal(action control.Action) {
	switch action := action.(type) {
	case control.Answer:
		n.answer(action.Handle, action.Reply)
	case control.FetchHistory:
		n.fetchHistory(action)
	case control.SettingsVerdict:
		n.recordVerdict(action.Verdict)
	case control.CallFinished:
		n.cacheCall(action.Call)
		n.cluster.record(history.Event{CallEnded: &history.CallEnded{
			Node: n.self.ID, Program: action.Call.Program, Sequence: action.Call.Sequence, Status: action.Call.Status,
		}})
	case control.ProgramFinished:
		n.cluster.record(history.Event{ProgramEnded: &history.ProgramEnded{Program: action.Program.ID}})
	case control.StopComplete:
		n.handedOver = true
	}
}

// sendMessage sends a control message to a peer; DropShare of them are lost.
func (n *node) sendMessage(action control.SendMessage) {
	c := n.cluster
	peer := c.node(action.To.ID)
	if peer == nil || c.chance(c.config.DropShare) {
		return
	}
	message := action.Message
	c.transmit(n.self.Zone, peer.self.Zone, func() {
		peer.enqueue(func() { peer.step(control.MessageReceived{Message: message}) })
	}, func() {})
}

// answer passes a reply to the request waiting on the handle.
func (n *node) answer(handle uint64, reply control.Reply) {
	waiting, found := n.waiting[handle]
	if !found {
		return
	}
	delete(n.waiting, handle)
	n.cluster.after(0, func() { waiting(reply) })
}

// crash ends the process without a handover; its connections are lost.
func (n *node) crash() {
	n.running = false
	n.paused = false
	n.backlog = nil
	for _, handle := range sortedKeys(n.connections) {
		n.connections[handle]()
	}
	for _, each := range sortedAttempts(n.attempts) {
		each.disconnect()
	}
	n.connections, n.attempts, n.waiting = nil, nil, nil
}

// finishStop ends the process once a planned stop has handed everything over
// and every request has been answered.
func (n *node) finishStop() {
	if !n.handedOver || len(n.connections) > 0 || len(n.waiting) > 0 {
		return
	}
	c := n.cluster
	c.record(history.Event{PlannedStop: &history.PlannedStop{Machine: n.self.ID, Done: true}})
	c.record(history.Event{Fault: &history.Fault{Kind: history.FaultDown, Machine: n.self.ID, Begin: true}})
	n.crash()
}
