package edge

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"birchwood.example/birchwood/coordinator"
	"birchwood.example/birchwood/internal/wait"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/ownership"
	"birchwood.example/birchwood/recordstore"
)

// The nodes' records are dealt to the partitions of their stream. A node reads the
// partition of its own record. The node that ranks first among those listed there reads
// all partitions, and the others have the list of it: what the store sends grows with the
// nodes, and not with nodes times nodes.
const (
	pathNodes = "/peer/nodes"
	// directoryRank stands for a partition in the ranking of those that read all.
	directoryRankKey = -3
	// directoryReaders is how many of a partition's nodes may be asked for the list, the
	// one that ranks first before the others.
	directoryReaders = 4
	// directoryAll is how many nodes a partition names at most in a fleet in which each
	// node reads all partitions.
	directoryReadAllMaximum = 3
	// directoryReads is how many partitions are read at the same time.
	directoryConcurrentReads = 6
	// directoryPatience is how long a node that starts waits for the list of nodes, and
	// as much longer as half of it by chance, before it goes on without.
	directoryWait = 3 * time.Second
	// listPatience bounds the answer to a question for the list: some 400 KB for 2,000
	// nodes, which a slow link sends to forty others in that time.
	nodeListTimeout = 8 * time.Second
	// joinPauseFirst and joinPauseMost space the tries of a node that starts.
	joinMinimumBackoff = 60 * time.Millisecond
	joinMaximumBackoff = 2 * time.Second
	// nodesPeriodFirst and nodesPeriod are the first and the longest time between two
	// reads of the list: nodes that start together publish their records within seconds.
	nodesPeriodFirst = 2 * time.Second
	nodesPeriod      = 15 * time.Second
)

// nodePage is the answer to a question for the list of nodes.
type nodePage struct {
	// Digest tells one list from another. An answer to a question that names the
	// same one has no nodes.
	Digest string            `json:"digest"`
	Nodes  []machine.Machine `json:"nodes,omitempty"`
}

// awaitDirectory waits until this node has the list of nodes, and so knows whom to follow.
// One that does not get it goes on without, later than most have it.
func (n *Node) awaitDirectory(ctx context.Context) {
	timeout := directoryWait + time.Duration(n.draw()*float64(directoryWait)/2)
	select {
	case <-n.nodeListKnown:
	case <-time.After(timeout):
	case <-ctx.Done():
	}
}

// followNodes publishes this node's address and learns those of the others.
func (n *Node) followNodes(ctx context.Context) {
	n.control.post(coordinator.PeerReceived{Message: coordinator.PeerMessage{From: n.self}})
	n.announce(n.settings.Seeds)
	n.publishSelf(ctx)
	backoff := n.backoffOf(joinMinimumBackoff, joinMaximumBackoff)
	pause, digest := nodesPeriodFirst, ""
	var near neighbours
	for try := 0; ctx.Err() == nil; try++ {
		n.readNeighbours(ctx, &near, try)
		next, err := n.refreshNodes(ctx, near.nodes, try, digest)
		if err != nil {
			n.logger.Warn().Int("turn", try).Int("near", len(near.nodes)).Err(err).Msg("nodes: list not learned")
			wait.For(ctx, backoff.Next())
			continue
		}
		backoff.Reset()
		digest, try = next, -1
		n.watchNeighbours(ctx, &near, pause)
		pause = min(2*pause, nodesPeriod)
	}
}

// neighbours are the nodes whose records are in the same partition as this node's.
type neighbours struct {
	nodes []machine.Machine
	// read says that the partition was read, and next is where its tail begins.
	read bool
	next uint64
}

// note takes in a record of the partition that was written since.
func (near *neighbours) update(nodes []machine.Machine) {
	for _, node := range nodes {
		index := slices.IndexFunc(near.nodes, func(known machine.Machine) bool { return known.ID == node.ID })
		if index < 0 {
			near.nodes = append(near.nodes, node)
			continue
		}
		near.nodes[index] = node
	}
}

// readNeighbours reads the partition at first, and again while the list is not learned.
func (n *Node) readNeighbours(ctx context.Context, near *neighbours, try int) {
	if near.read && try == 0 {
		return
	}
	nodes, next, err := n.readNodes(ctx, n.nodePartition())
	if err != nil {
		n.logger.Warn().Err(err).Msg("nodes: partition not read")
		return
	}
	*near = neighbours{nodes: nodes, read: true, next: next}
	n.control.post(coordinator.NodesDiscovered{Nodes: nodes})
}

// nodePartition returns the partition of the nodes' stream that has this node's record.
func (n *Node) nodePartition() int {
	return ownership.PartitionOf(n.settings.Node, n.settings.Partitions)
}

// publishSelf writes this node's record, and goes on trying if it has to: others learn of
// the node through its messages meanwhile.
func (n *Node) publishSelf(ctx context.Context) {
	value, err := json.Marshal(n.self)
	if err != nil {
		panic(err)
	}
	if n.publish(ctx, value) {
		return
	}
	n.run(func(ctx context.Context) {
		backoff := n.backoffOf(joinMinimumBackoff, joinMaximumBackoff)
		for wait.For(ctx, backoff.Next()) {
			if n.publish(ctx, value) {
				return
			}
		}
	})
}

func (n *Node) publish(ctx context.Context, value []byte) bool {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	stream := recordstore.Stream{Name: recordstore.StreamNodes, Partition: n.nodePartition()}
	records := []recordstore.Record{{Key: n.settings.Node, Value: value}}
	err := n.adapter.Store.Append(callCtx, stream, recordstore.Writer{}, records)
	n.recordStoreCall(err)
	return err == nil
}

// learnNodes learns the list of nodes: of the store where this node ranks first among
// those near, or the fleet is small, else of another node. It returns the list's digest.
func (n *Node) refreshNodes(ctx context.Context, near []machine.Machine, try int, digest string) (string, error) {
	ranked := rankDirectory(near)
	first := len(ranked) > 0 && ranked[0].ID == n.self.ID
	if first || (len(near) > 0 && len(near) <= directoryReadAllMaximum) || try >= 2*directoryReaders {
		return "", n.readAllNodes(ctx)
	}
	others := slices.DeleteFunc(ranked, func(node machine.Machine) bool { return node.ID == n.self.ID })
	if len(others) > 0 && (try%3 != 2 || len(n.settings.Seeds) == 0) {
		return n.fetchNodes(ctx, others[try%len(others)].Address, digest)
	}
	if len(n.settings.Seeds) == 0 {
		return "", Error.New("no other node is known")
	}
	return n.fetchNodes(ctx, n.settings.Seeds[int(n.draw()*float64(len(n.settings.Seeds)))], digest)
}

// rankDirectory returns the nodes of a partition that are to have the list, the one that is
// to read it of the store first.
func rankDirectory(near []machine.Machine) []machine.Machine {
	candidates := make([]ownership.Node, 0, len(near))
	for _, node := range near {
		candidates = append(candidates, ownership.Node{ID: string(node.ID), Weight: node.Weight})
	}
	var ranked []machine.Machine
	for _, id := range ownership.TopNodes(directoryRankKey, ownership.Eligible(candidates), directoryReaders) {
		index := slices.IndexFunc(near, func(node machine.Machine) bool { return string(node.ID) == id })
		ranked = append(ranked, near[index])
	}
	return ranked
}

// readNodes reads one partition of the nodes' stream.
func (n *Node) readNodes(ctx context.Context, partition int) (nodes []machine.Machine, next uint64, err error) {
	records, next, err := n.readNewest(ctx, recordstore.Stream{Name: recordstore.StreamNodes, Partition: partition})
	if err != nil {
		return nil, 0, err
	}
	return n.decodeNodes(records), next, nil
}

// readAllNodes reads the list of nodes of the store, a few partitions at a time: all other
// nodes of this one's partition wait for it.
func (n *Node) readAllNodes(ctx context.Context) error {
	parts := make([][]machine.Machine, n.settings.Partitions)
	failures := make([]error, len(parts))
	slots := make(chan struct{}, directoryConcurrentReads)
	var reads sync.WaitGroup
	for partition := range parts {
		slots <- struct{}{}
		reads.Go(func() {
			defer func() { <-slots }()
			parts[partition], _, failures[partition] = n.readNodes(ctx, partition)
		})
	}
	reads.Wait()
	if err := errors.Join(failures...); err != nil {
		return err
	}
	n.applyNodes("store", slices.Concat(parts...))
	return nil
}

// takeNodes takes the list of nodes over.
func (n *Node) applyNodes(source string, nodes []machine.Machine) {
	n.logger.Info().Str("source", source).Int("nodes", len(nodes)).Dur("after", time.Since(n.started)).Msg("nodes: list read")
	n.control.post(coordinator.NodeListRead{Nodes: nodes})
}

// noteDirectory takes in that this node knows the list of nodes, and its role.
func (n *Node) markNodeListKnown() { n.nodeListOnce.Do(func() { close(n.nodeListKnown) }) }

// askNodes asks another node for the list.
func (n *Node) fetchNodes(ctx context.Context, address, digest string) (string, error) {
	return n.fetchNodesWithin(ctx, address, digest, nodeListTimeout)
}

// askNodesWithin asks another node for the list, and waits for so long at most.
func (n *Node) fetchNodesWithin(ctx context.Context, address, digest string, timeout time.Duration) (string, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var page nodePage
	err := n.peers.client(address).Do(callCtx, fasthttp.MethodGet, pathNodes+"?digest="+digest, nil, &page)
	if err != nil {
		return "", err
	}
	if page.Digest != digest {
		n.applyNodes(address, page.Nodes)
	}
	return page.Digest, nil
}

// receiveNodes answers a question for the list of nodes.
func (p *peers) receiveNodes(ctx *fasthttp.RequestCtx) {
	askCtx, cancel := context.WithTimeout(p.node.ctx, peerRequestTimeout)
	defer cancel()
	known, err := p.node.control.directory(askCtx)
	if err != nil || !known.complete {
		ctx.Error("the list of nodes is not known here", fasthttp.StatusServiceUnavailable)
		return
	}
	page := nodePage{Digest: digestOf(known.nodes)}
	if string(ctx.QueryArgs().Peek("digest")) != page.Digest {
		page.Nodes = known.nodes
	}
	writeJSON(ctx, page)
}

// digestOf tells lists of nodes apart that name other nodes, or other processes of them.
func digestOf(nodes []machine.Machine) string {
	hash := xxhash.New()
	for _, node := range nodes {
		// Writes to a digest return no error.
		_, _ = hash.WriteString(string(node.ID))
		_, _ = hash.WriteString(strconv.FormatUint(node.Incarnation, 36))
	}
	return strconv.FormatUint(hash.Sum64(), 36)
}

// decodeNodes reads the nodes' records. One that is not understood is another version's
// and passed over: its node is learned of through its peers.
func (n *Node) decodeNodes(records []recordstore.Record) []machine.Machine {
	var nodes []machine.Machine
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		var node machine.Machine
		if err := json.Unmarshal(record.Value, &node); err != nil {
			n.logger.Warn().Str("record", record.Key).Err(err).Msg("nodes: record not understood")
			continue
		}
		nodes = append(nodes, node)
	}
	return nodes
}

// greet tells peers that are known by address alone of this node. They answer
// with statuses.
func (n *Node) announce(addresses []string) {
	for _, address := range addresses {
		if address == n.settings.Peers {
			continue
		}
		status := &coordinator.Status{ReachesStore: true, Known: []machine.Machine{n.self}}
		n.peers.send(coordinator.Outbound{
			To:      machine.Machine{ID: machine.ID(address), Address: address},
			Message: coordinator.PeerMessage{From: n.self, Status: status},
		})
	}
}
