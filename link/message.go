package link

import (
	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/schedule"
)

// Message is one control message between two nodes, a tagged union: exactly
// one of the optional fields besides Settings is set. It travels as JSON over HTTP/1.1.
type Message struct {
	From machine.ID `json:"from"`
	To   machine.ID `json:"to"`
	// Settings tells what the sender holds of the settings and how sure it is
	// of them. It goes with each membership message, and alone when the sender
	// has made a change.
	Settings   *contract.Report   `json:"settings,omitempty"`
	Membership *machine.Message   `json:"membership,omitempty"`
	Partition  *partition.Message `json:"partition,omitempty"`
	Sweep      *SweepMessage      `json:"sweep,omitempty"`
	Load       *LoadMessage       `json:"load,omitempty"`
	// Drain asks the receiver to begin its planned stop.
	Drain bool `json:"drain,omitempty"`
}

// SweepMessage asks the owners of partitions which programs are gone
// (Question), or answers it.
type SweepMessage struct {
	Backend  machine.ID      `json:"backend"`
	Question []api.ProgramID `json:"question,omitempty"`
	// Gone are the programs that the sender owns the partition of and that
	// have ended or never existed.
	Gone []api.ProgramID `json:"gone,omitempty"`
}

// LoadMessage carries load reports that the sender's attendants hold.
type LoadMessage struct {
	Loads []schedule.Load `json:"loads"`
}
