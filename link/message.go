package link

import (
	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/schedule"
)

// Message is one control message between two nodes, a tagged union: at most one
// of the optional fields besides Settings is set. It is encoded as JSON.
type Message struct {
	From machine.ID `json:"from"`
	To   machine.ID `json:"to"`
	// Settings reports which settings the sender holds and how recently they
	// were confirmed. It accompanies each membership message, and is sent alone
	// when the sender has made a change.
	Settings   *contract.Report   `json:"settings,omitempty"`
	Membership *machine.Message   `json:"membership,omitempty"`
	Partition  *partition.Message `json:"partition,omitempty"`
	Sweep      *SweepMessage      `json:"sweep,omitempty"`
	Load       *LoadMessage       `json:"load,omitempty"`
	// Drain requests that the receiver begin its planned stop.
	Drain bool `json:"drain,omitempty"`
}

// SweepMessage queries the owner of partitions for which of the Queried programs
// are gone, or is the answer, with Gone.
type SweepMessage struct {
	Backend machine.ID      `json:"backend"`
	Queried []api.ProgramID `json:"question,omitempty"`
	// Gone lists the programs in partitions of the sender that have ended or
	// never existed.
	Gone []api.ProgramID `json:"gone,omitempty"`
}

// LoadMessage carries load reports of back ends that the sender manages.
type LoadMessage struct {
	Loads []schedule.Load `json:"loads"`
}
