package partition_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/recordlog"
)

// stream is the partition's stream, kept in memory.
type stream struct {
	entries []recordlog.Entry
}

// drive performs the replica's output until there is no more. A real driver
// performs the requests asynchronously, and sends the messages to other nodes.
func (s *stream) drive(replica *partition.Replica, now time.Time) {
	for replica.HasReady() {
		ready := replica.Ready()
		for _, record := range ready.Recovered {
			fmt.Printf("recovered %s\n", record.Payload)
		}
		for _, record := range ready.Confirmed {
			fmt.Printf("confirmed record %d\n", record.Token)
		}
		if ready.Acquired {
			fmt.Println("owns epoch", ready.Epoch)
		}
		for _, request := range ready.Appends {
			answer := partition.Appended{Request: request.Request, FirstOffset: uint64(len(s.entries))}
			s.entries = append(s.entries, request.Entries...)
			replica.Step(now, answer)
		}
		for _, request := range ready.Reads {
			replica.Step(now, s.read(request))
		}
	}
}

func (s *stream) read(request partition.Read) partition.ReadDone {
	end := uint64(len(s.entries))
	from := min(request.From, end)
	if request.Tail {
		from = end - min(end, 1)
	}
	to := min(end, from+uint64(request.Maximum))
	return partition.ReadDone{Request: request.Request, FirstOffset: from, Entries: s.entries[from:to], End: end}
}

// A node owns a partition and dies; another node takes it over.
func Example() {
	id, err := partition.Parse("koudeketting~triage.0")
	if err != nil {
		fmt.Println(err)
		return
	}
	log := &stream{}
	now := time.Unix(0, 0)
	start := func(node machine.Machine) *partition.Replica {
		writer := recordlog.WriterName(node.ID, 1)
		config := partition.DefaultConfig(id, node.ID, writer, rand.New(rand.NewPCG(1, 2)))
		config.MirrorCount = 0 // a deployment has mirrors in other zones
		replica, err := partition.NewReplica(config)
		if err != nil {
			fmt.Println(err)
		}
		replica.SetView(now, partition.View{Placement: "isando_midrand-a", Nodes: []machine.Machine{node}})
		now = replica.NextWake() // the end of ClaimDwell
		replica.Tick(now)
		log.drive(replica, now)
		return replica
	}

	first := start(machine.Machine{ID: "10.0.0.1", Zone: "isando", Status: machine.StatusLive})
	if _, err := first.Propose(now, []byte(`"seal broken"`)); err != nil {
		fmt.Println(err)
	}
	log.drive(first, now)

	start(machine.Machine{ID: "10.0.0.2", Zone: "midrand-a", Status: machine.StatusLive})
	// Output:
	// owns epoch 1
	// confirmed record 1
	// recovered "seal broken"
	// owns epoch 2
}

// All nodes compute the same owner from the same list.
func ExampleOwner() {
	nodes := []machine.Machine{
		{ID: "10.0.0.1", Zone: "isando"},
		{ID: "10.0.0.2", Zone: "midrand-a"},
		{ID: "10.0.0.3", Zone: "khalda"},
	}
	owned := map[machine.ID]int{}
	for index := range 1000 {
		id := partition.ID{Group: "koudeketting~triage", Index: index}
		owner, _ := partition.Owner(id, "isando_midrand-a", nodes, "")
		owned[owner]++
	}
	fmt.Println(owned["10.0.0.1"]+owned["10.0.0.2"], "in permitted zones,", owned["10.0.0.3"], "elsewhere")
	// Output:
	// 1000 in permitted zones, 0 elsewhere
}
