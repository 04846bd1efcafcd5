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

// The nodes' records are distributed over the partitions of their stream. Each node reads
// the partition with its own record. The node that ranks first among those listed there
// reads all partitions, and the others get the list from it. The load on the store thus grows
// with the number of nodes rather than with its square.
const (
	pathNodes = "/peer/nodes"
	// directoryRankKey is the key, in place of a partition, by which the nodes that read all
	// partitions are ranked.
	directoryRankKey = -3
	// directoryReaders is how many nodes of a partition may be queried for the list, in the
	// order of their rank.
	directoryReaders = 4
	// directoryReadAllMaximum is the maximum number of nodes in a partition at which each
	// node reads all partitions itself.
	directoryReadAllMaximum = 3
	// directoryConcurrentReads is the number of partitions that are read concurrently.
	directoryConcurrentReads = 6
	// directoryWait is how long a starting node waits for the list of nodes, plus a random
	// part of up to half of it, before it continues without.
	directoryWait = 3 * time.Second
	// nodeListTimeout bounds a query for the list: some 400 KB for 2,000 nodes, which a
	// node with a slow link can send to forty others in that time.
	nodeListTimeout = 8 * time.Second
	// joinMinimumBackoff and joinMaximumBackoff space the tries of a starting node.
	joinMinimumBackoff = 60 * time.Millisecond
	joinMaximumBackoff = 2 * time.Second
	// nodesPeriodFirst and nodesPeriod are the first and the longest period between two
	// reads of the list: nodes that start together publish their records within seconds.
	nodesPeriodFirst = 2 * time.Second
	nodesPeriod      = 15 * time.Second
)

// nodePage is the answer to a query for the list of nodes.
type nodePage struct {
	// Digest identifies the list. If the query has the same digest, the answer has no
	// nodes.
	Digest string            `json:"digest"`
	Nodes  []machine.Machine `json:"nodes,omitempty"`
}

// awaitDirectory waits until this node has the list of nodes, from which it derives the
// nodes to follow. Without a list it continues after a time in which most nodes get theirs.
func (n *Node) awaitDirectory(ctx context.Context) {
	timeout := directoryWait + time.Duration(n.draw()*float64(directoryWait)/2)
	select {
	case <-n.nodeListKnown:
	case <-time.After(timeout):
	case <-ctx.Done():
	}
}

// followNodes publishes this node's address and keeps the list of nodes up to date.
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
	// read is set once the partition was read; next is the offset at which its tail begins.
	read bool
	next uint64
}

// update applies new records of the partition.
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

// readNeighbours reads the partition at first, and again after each failed refresh of the
// list.
func (n *Node) readNeighbours(ctx context.Context, near *neighbours, try int) {
	if near.read && try == 0 {
		return
	}
	nodes, next, err := n.readNodes(ctx, n.nodePartition())
	if err != nil {
		n.logger.Warn().Err(err).Msg("nodes: partition could not be read")
		return
	}
	*near = neighbours{nodes: nodes, read: true, next: next}
	n.control.post(coordinator.NodesDiscovered{Nodes: nodes})
}

// nodePartition returns the partition of the node stream that has this node's record.
func (n *Node) nodePartition() int {
	return ownership.PartitionOf(n.settings.Node, n.settings.Partitions)
}

// publishSelf writes this node's record, and keeps trying in the background if that fails:
// until then, other nodes discover this one through its messages.
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
	stream := recordstore.Stream{Name: recordstore.StreamNodes, Partition: n.nodePartition()}
	return n.appendUnfenced(ctx, stream, []recordstore.Record{{Key: n.settings.Node, Value: value}}) == nil
}

// refreshNodes refreshes the list of nodes: from the store if this node ranks first in its
// partition or the fleet is small, otherwise from another node. It returns the list's
// digest.
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

// rankDirectory returns the nodes of a partition that should have the list. The first one
// reads it from the store.
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

// readNodes reads one partition of the node stream.
func (n *Node) readNodes(ctx context.Context, partition int) (nodes []machine.Machine, next uint64, err error) {
	records, next, err := n.readNewest(ctx, recordstore.Stream{Name: recordstore.StreamNodes, Partition: partition})
	if err != nil {
		return nil, 0, err
	}
	return n.decodeNodes(records), next, nil
}

// readAllNodes reads the list of nodes from the store, several partitions at a time,
// because all other nodes of this one's partition wait for it.
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

// applyNodes passes a list of nodes to the core.
func (n *Node) applyNodes(source string, nodes []machine.Machine) {
	n.logger.Info().Str("source", source).Int("nodes", len(nodes)).Dur("after", time.Since(n.started)).Msg("nodes: list read")
	n.control.post(coordinator.NodeListRead{Nodes: nodes})
}

// markNodeListKnown records that this node has the list of nodes, and thereby its role.
func (n *Node) markNodeListKnown() { n.nodeListOnce.Do(func() { close(n.nodeListKnown) }) }

// fetchNodes queries another node for the list.
func (n *Node) fetchNodes(ctx context.Context, address, digest string) (string, error) {
	return n.fetchNodesWithin(ctx, address, digest, nodeListTimeout)
}

// fetchNodesWithin is fetchNodes with a timeout.
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

// receiveNodes answers a query for the list of nodes.
func (p *peers) receiveNodes(ctx *fasthttp.RequestCtx) {
	callCtx, cancel := context.WithTimeout(p.node.ctx, peerRequestTimeout)
	defer cancel()
	known, err := p.node.control.directory(callCtx)
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

// digestOf returns a digest of the nodes' ids and incarnations.
func digestOf(nodes []machine.Machine) string {
	hash := xxhash.New()
	for _, node := range nodes {
		// Writes to a digest return no error.
		_, _ = hash.WriteString(string(node.ID))
		_, _ = hash.WriteString(strconv.FormatUint(node.Incarnation, 36))
	}
	return strconv.FormatUint(hash.Sum64(), 36)
}

// decodeNodes decodes the nodes' records. A record that cannot be decoded is from another
// version and is skipped; the node is discovered through its peers instead.
func (n *Node) decodeNodes(records []recordstore.Record) []machine.Machine {
	var nodes []machine.Machine
	for _, record := range records {
		if len(record.Value) == 0 {
			continue
		}
		var node machine.Machine
		if err := json.Unmarshal(record.Value, &node); err != nil {
			n.logger.Warn().Str("record", record.Key).Err(err).Msg("nodes: record could not be decoded")
			continue
		}
		nodes = append(nodes, node)
	}
	return nodes
}

// announce sends this node's status to peers of which only the address is known. They
// answer with statuses of their own.
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
