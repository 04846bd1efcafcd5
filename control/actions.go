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

// Action is an output of a Core: something that its driver does outside.
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

// FetchSettings asks a peer for the settings that it holds, because the log
// service cannot be read and the peer knows newer ones; SettingsFetched
// answers it.
type FetchSettings struct{ Peer machine.Machine }

// SettingsVerdict tells what became of a change of the settings.
type SettingsVerdict struct{ Verdict contract.Verdict }

// SettingsChanged carries the tree that is in force on this node from now on.
type SettingsChanged struct{ Tree *contract.Tree }

// ListMachines asks for the machine list and renews this machine's own entry;
// MachinesListed answers it.
type ListMachines struct{ Self machine.Machine }

// SendMessage sends a control message to a peer; nothing answers it.
type SendMessage struct {
	To      machine.Machine
	Message link.Message
}

// SendAttempt sends an attempt to its back end; AttemptEnded answers it, once.
type SendAttempt struct {
	Partition partition.ID
	Attempt   program.AttemptRef
	// Epoch goes back with the outcome, so that the outcome of another
	// epoch's attempt of the same number is told apart.
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
	// Prompt locates the program's history, which precedes the call's input.
	Prompt []program.CallLocation
}

// StopAttempt cancels an attempt; its AttemptEnded still follows.
type StopAttempt struct{ Attempt program.AttemptRef }

// LookUpKey asks a tool service about a call's key; LookupReturned answers it.
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

// ReleasePrefix frees a program's memory at an engine; PrefixReleased answers
// it.
type ReleasePrefix struct {
	Backend machine.Machine
	Owner   api.ProgramID
}

// MovePrefix has the engine To fetch a program's prefix from the engine From.
// A failure costs a prefill later and nothing else; nothing answers it.
type MovePrefix struct {
	Owner    api.ProgramID
	From, To machine.Machine
}

// OrderModel orders an engine to load or unload a model. The driver takes the
// fence from the log, whose order is the order of the commands; nothing
// answers it but the machine list, once the engine has obeyed.
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

// FetchHistory reads calls back from the partition's stream and then replies
// to a request with them: as the one Call when Single, else as History.
type FetchHistory struct {
	Handle    uint64
	Partition partition.ID
	Program   api.ProgramID
	Locations []program.CallLocation
	Next      uint64
	Single    bool
}

// CallFinished says that a call is terminal and durable.
type CallFinished struct {
	Branch string
	Call   api.Call
	Ended  time.Time
}

// ProgramFinished says that a program ended and the end is durable.
type ProgramFinished struct {
	Program   api.Program
	CreatedAt time.Time
	EndedAt   time.Time
}

// PartitionChanged tells that this node acquired or lost a partition.
type PartitionChanged struct {
	Partition partition.ID
	Owned     bool
	Epoch     uint64
	Programs  int
}

// PartitionUnreadable says that a partition stays closed on this node, because
// a record of it could not be read.
type PartitionUnreadable struct {
	Partition partition.ID
	Err       error
}

// StopComplete says that a planned stop has handed everything over.
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
