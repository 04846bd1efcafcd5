package control

import (
	"time"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/schedule"
)

// Action is an output of a Core that its driver performs.
type Action interface{ isAction() }

// AppendStream appends entries to a partition's stream; StreamAppended
// answers it.
type AppendStream struct {
	Partition partition.ID
	Append    partition.Append
}

// ReadStream reads a partition's stream; StreamRead answers it.
type ReadStream struct {
	Partition partition.ID
	Read      partition.Read
}

// ReadSettings reads the settings stream; SettingsRead answers it.
type ReadSettings struct{ Read contract.FollowerRead }

// FetchSettings requests the settings from a peer that has newer ones, because
// the log service cannot be read; SettingsFetched answers it.
type FetchSettings struct{ Peer machine.Machine }

// SettingsVerdict reports whether a change of the settings was accepted.
type SettingsVerdict struct{ Verdict contract.Verdict }

// SettingsChanged reports the tree that is now in force on this node.
type SettingsChanged struct{ Tree *contract.Tree }

// ListMachines reads the machine list and renews this node's own entry;
// MachinesListed answers it.
type ListMachines struct{ Self machine.Machine }

// SendMessage sends a control message to a peer; nothing answers it.
type SendMessage struct {
	To      machine.Machine
	Message link.Message
}

// SendAttempt sends an attempt to its back end; exactly one AttemptEnded
// answers it.
type SendAttempt struct {
	Partition partition.ID
	Attempt   program.AttemptRef
	// Epoch is returned with the outcome. It tells the outcomes of attempts
	// with the same number in different epochs apart.
	Epoch   uint64
	Backend machine.Machine
	Call    api.SubmitCall
	// Key identifies the call at a tool service.
	Key      string
	Deadline time.Time
	Decision schedule.Decision
	// ImportFrom is the engine that holds the program's prefix, if it is to be
	// transferred first.
	ImportFrom machine.Machine
	// Prompt holds the locations of the program's earlier calls, which precede
	// the call's input in the prompt.
	Prompt []program.CallLocation
}

// StopAttempt cancels an attempt; its AttemptEnded still follows.
type StopAttempt struct{ Attempt program.AttemptRef }

// LookUpKey asks a tool service for the outcome of the call with a key;
// LookupReturned answers it.
type LookUpKey struct {
	Call    program.CallRef
	Backend machine.Machine
	Key     string
}

// QueryBackend asks for a back end's load and, for an engine, its cache events
// after AfterEvent; BackendObserved answers it.
type QueryBackend struct {
	Backend    machine.Machine
	AfterEvent uint64
}

// ListPrefixes asks an engine for its prefixes; PrefixesListed answers it.
type ListPrefixes struct{ Backend machine.Machine }

// ReleasePrefix releases a program's prefix from an engine's cache;
// PrefixReleased answers it.
type ReleasePrefix struct {
	Backend machine.Machine
	Owner   api.ProgramID
}

// MovePrefix has the engine To fetch a program's prefix from the engine From.
// If it fails, the only cost is a later prefill; nothing answers it.
type MovePrefix struct {
	Owner    api.ProgramID
	From, To machine.Machine
}

// OrderModel orders an engine to load or unload a model. The driver takes the
// order's fencing number from the log, so that orders are ranked by their
// position in the log. Nothing answers it: the machine list shows the result.
type OrderModel struct {
	Backend machine.Machine
	Load    string
	Unload  string
}

// Answer replies to a request.
type Answer struct {
	Handle uint64
	Reply  Reply
}

// FetchHistory reads calls from the partition's stream and replies to a request
// with them: as Reply.Call if Single is set, otherwise as Reply.History.
type FetchHistory struct {
	Handle    uint64
	Partition partition.ID
	Program   api.ProgramID
	Locations []program.CallLocation
	Next      uint64
	Single    bool
}

// CallFinished reports that a call has ended and its end is durable.
type CallFinished struct {
	Branch string
	Call   api.Call
	Ended  time.Time
}

// ProgramFinished reports that a program has ended and its end is durable.
type ProgramFinished struct {
	Program   api.Program
	CreatedAt time.Time
	EndedAt   time.Time
}

// PartitionChanged reports that this node acquired or lost a partition.
type PartitionChanged struct {
	Partition partition.ID
	Owned     bool
	Epoch     uint64
	Programs  int
}

// PartitionUnreadable reports that a partition stays closed on this node
// because one of its records cannot be decoded.
type PartitionUnreadable struct {
	Partition partition.ID
	Err       error
}

// StopComplete reports that a planned stop has handed over every partition, or
// has exceeded its time limit.
type StopComplete struct{}

func (AppendStream) isAction()        {}
func (ReadStream) isAction()          {}
func (ReadSettings) isAction()        {}
func (FetchSettings) isAction()       {}
func (SettingsVerdict) isAction()     {}
func (SettingsChanged) isAction()     {}
func (ListMachines) isAction()        {}
func (SendMessage) isAction()         {}
func (SendAttempt) isAction()         {}
func (StopAttempt) isAction()         {}
func (LookUpKey) isAction()           {}
func (QueryBackend) isAction()        {}
func (ListPrefixes) isAction()        {}
func (ReleasePrefix) isAction()       {}
func (MovePrefix) isAction()          {}
func (OrderModel) isAction()          {}
func (Answer) isAction()              {}
func (FetchHistory) isAction()        {}
func (CallFinished) isAction()        {}
func (ProgramFinished) isAction()     {}
func (PartitionChanged) isAction()    {}
func (PartitionUnreadable) isAction() {}
func (StopComplete) isAction()        {}
