package control

import (
	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/contract"
	"birchwood.example/birchwood/engine"
	"birchwood.example/birchwood/link"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/partition"
	"birchwood.example/birchwood/program"
	"birchwood.example/birchwood/schedule"
)

// Event is an input of a Core: something that happened outside it.
type Event interface{ isEvent() }

// Tick reports only that time has passed.
type Tick struct{}

// MessageReceived is a control message from a peer.
type MessageReceived struct{ Message link.Message }

// MachinesListed is the platform's machine list, or the failure to get it.
type MachinesListed struct {
	Machines []machine.Machine
	Err      error
}

// StreamAppended answers AppendStream.
type StreamAppended struct {
	Partition partition.ID
	Result    partition.Appended
}

// StreamRead answers ReadStream.
type StreamRead struct {
	Partition partition.ID
	Result    partition.ReadDone
}

// SettingsRead answers ReadSettings.
type SettingsRead struct{ Result contract.ReadDone }

// SettingsFetched answers FetchSettings.
type SettingsFetched struct {
	Data []byte
	Err  error
}

// RequestReceived is a request of a caller or operator. The Core replies once,
// with the same handle.
type RequestReceived struct {
	Handle  uint64
	Request Request
}

// RequestAbandoned reports that the handle's caller no longer waits for an
// answer.
type RequestAbandoned struct{ Handle uint64 }

// AttemptEnded reports the outcome of an attempt at its back end.
type AttemptEnded struct {
	Backend machine.ID
	Outcome program.Outcome
	// Load is the back end's load as reported in its answer; nil if it reported
	// none.
	Load *schedule.Load
	// Resident is the number of tokens of the program's prefix that the engine
	// keeps cached.
	Resident int
}

// LookupReturned answers LookUpKey.
type LookupReturned struct{ Result program.LookupResult }

// BackendObserved answers QueryBackend.
type BackendObserved struct {
	Backend machine.ID
	Load    *schedule.Load
	Events  []engine.CacheEvent
	Err     error
}

// PrefixesListed answers ListPrefixes.
type PrefixesListed struct {
	Backend  machine.ID
	Prefixes []engine.Prefix
	Err      error
}

// PrefixReleased answers ReleasePrefix.
type PrefixReleased struct {
	Backend machine.ID
	Owner   api.ProgramID
	Err     error
}

// StopRequested begins the planned stop of this node.
type StopRequested struct{}

// LossAccepted is an operator's decision that a partition's recovery on this
// node may continue without mirrors that have lost their entries.
type LossAccepted struct{ Partition partition.ID }

// DrainRequested begins the planned stop of this node or, by a message, of a
// peer.
type DrainRequested struct{ Node machine.ID }

// SettingsAppended reports that this node appended a change to the settings
// stream, at the offset of Revision.
type SettingsAppended struct{ Revision contract.Revision }

func (Tick) isEvent()             {}
func (MessageReceived) isEvent()  {}
func (MachinesListed) isEvent()   {}
func (StreamAppended) isEvent()   {}
func (StreamRead) isEvent()       {}
func (SettingsRead) isEvent()     {}
func (SettingsFetched) isEvent()  {}
func (RequestReceived) isEvent()  {}
func (RequestAbandoned) isEvent() {}
func (AttemptEnded) isEvent()     {}
func (LookupReturned) isEvent()   {}
func (BackendObserved) isEvent()  {}
func (PrefixesListed) isEvent()   {}
func (PrefixReleased) isEvent()   {}
func (LossAccepted) isEvent()     {}
func (DrainRequested) isEvent()   {}
func (StopRequested) isEvent()    {}
func (SettingsAppended) isEvent() {}
