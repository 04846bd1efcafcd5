package control_test

import (
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/control"
	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/zone"
)

var _ = Describe("A partition that is offered to a node", func() {
	It("is not looked for there once the node turns out not to be its owner", func() {
		peer := machine.Machine{ID: "node-2", Kind: machine.KindNode, Zone: "isando", Address: "10.0.0.2:1", Status: machine.StatusLive, Incarnation: 1}
		node := newTestNode(peer)
		node.applySettings(contract.Change{ID: "first", Edits: []contract.Edit{
			{Path: contract.Root, Values: contract.Values{Zones: []zone.Name{"isando"}}}, {Path: "cold"},
		}})
		id := partitionOwnedBy(node.listed, peer.ID)
		// The node considers itself a possible owner only once the list has
		// settled.
		for range 12 {
			node.now = node.now.Add(500 * time.Millisecond)
			node.step(control.MachinesListed{Machines: node.listed})
		}
		Expect(node.owner(id)).To(Equal(peer.ID))

		offer := partition.Message{Partition: id, Handover: &partition.HandoverOffer{Epoch: 1}}
		node.step(control.MessageReceived{Message: link.Message{From: peer.ID, To: "node-1", Partition: &offer}})
		for range 5 {
			node.now = node.now.Add(10 * time.Millisecond)
			node.step(control.Tick{})
		}
		Expect(node.owner(id)).To(Equal(peer.ID))
	})
})

// applySettings answers the node's read of the settings stream with a change.
func (n *testNode) applySettings(change contract.Change) {
	text, err := json.Marshal(change)
	Expect(err).NotTo(HaveOccurred())
	n.step(control.SettingsRead{Result: contract.ReadDone{Request: n.settingsRead.Request, Changes: [][]byte{text}, End: 1}})
	Expect(n.core.Tree().Revision()).To(BeEquivalentTo(1))
}

func (n *testNode) owner(id partition.ID) machine.ID {
	owner, _ := n.core.Owner(id)
	return owner
}

// partitionOwnedBy returns a partition whose owner by the listed machines is
// wanted.
func partitionOwnedBy(listed []machine.Machine, wanted machine.ID) partition.ID {
	var nodes []machine.Machine
	for _, each := range listed {
		if each.Kind == machine.KindNode {
			nodes = append(nodes, each)
		}
	}
	for index := range 64 {
		id := partition.ID{Group: partition.GroupOf("cold"), Index: index}
		if owner, ok := partition.Owner(id, "isando", nodes, ""); ok && owner == wanted {
			return id
		}
	}
	Fail("no partition falls to " + string(wanted))
	return partition.ID{}
}
