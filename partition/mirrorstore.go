package partition

import (
	"slices"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
)

// MirrorStoreConfig sets the limits of a node's MirrorStore.
type MirrorStoreConfig struct {
	// Instance is the recordlog.WriterName of this process.
	Instance string
	// MaximumBytes limits the size of the entries of all partitions together.
	MaximumBytes int
	// MaximumMessageBytes limits the size of the entries of one answer.
	MaximumMessageBytes int
}

func (c MirrorStoreConfig) validate() error {
	found := findings.Of("mirror store config")
	found.Require(c.Instance != "", "Instance", "missing")
	findings.Positive(found, "MaximumBytes", c.MaximumBytes)
	findings.Positive(found, "MaximumMessageBytes", c.MaximumMessageBytes)
	return found.Err()
}

// MirrorStore holds entries that the log has not confirmed, for owners on other
// nodes. It is kept in memory only: a restarted process answers as another
// instance and holds nothing.
type MirrorStore struct {
	config     MirrorStoreConfig
	partitions map[ID]*mirroredPartition
	bytes      int
}

// mirroredPartition is the state of one partition in a MirrorStore.
type mirroredPartition struct {
	// readerEpoch is the newest epoch that queried this store; entries of older
	// epochs are refused.
	readerEpoch uint64
	epochs      map[uint64]*mirroredEpoch
}

// mirroredEpoch holds the entries of one epoch after loggedSequence, without
// gaps.
type mirroredEpoch struct {
	// loggedSequence is the sequence up to which the log has the epoch.
	loggedSequence uint64
	entries        []recordlog.Entry
	// complete is set when this node owned the epoch itself.
	complete bool
}

func (e *mirroredEpoch) lastSequence() uint64 {
	return e.loggedSequence + uint64(len(e.entries))
}

// NewMirrorStore returns an empty store, or an error with all findings about
// the config.
func NewMirrorStore(config MirrorStoreConfig) (*MirrorStore, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &MirrorStore{config: config, partitions: map[ID]*mirroredPartition{}}, nil
}

// Bytes returns the size of the entries in the store.
func (s *MirrorStore) Bytes() int {
	return s.bytes
}

// Step processes a message for which Message.ForMirror returns true, and
// returns the answers.
func (s *MirrorStore) Step(from machine.ID, message Message) []Outbound {
	id := message.Partition
	var answer Message
	switch {
	case message.Mirror != nil:
		answer.Mirrored = s.appendEntries(id, *message.Mirror)
	case message.Query != nil:
		answer.Answer = s.answer(id, *message.Query)
	case message.Trim != nil:
		answer.Mirrored = s.trim(id, *message.Trim)
	default:
		return nil
	}
	answer.Partition = id
	return []Outbound{{To: from, Message: answer}}
}

// partitionState returns the state of a partition, creating it if needed.
func (s *MirrorStore) partitionState(id ID) *mirroredPartition {
	state := s.partitions[id]
	if state == nil {
		state = &mirroredPartition{epochs: map[uint64]*mirroredEpoch{}}
		s.partitions[id] = state
	}
	return state
}

// appendEntries stores an owner's entries and acknowledges the entries of the
// epoch that the store holds.
func (s *MirrorStore) appendEntries(id ID, request MirrorAppend) *MirrorAck {
	ack := &MirrorAck{Epoch: request.Epoch, Instance: s.config.Instance}
	state := s.partitionState(id)
	if request.Epoch < state.readerEpoch {
		ack.Refused = true
		return ack
	}
	if request.Instance == "" {
		return ack
	}
	if request.Instance != s.config.Instance {
		ack.Restarted = true
		return ack
	}
	// An owner sends entries to mirrors only after it has opened its epoch, so
	// the log has the entries of all earlier epochs.
	s.dropEpochsBefore(state, request.Epoch)
	epoch := state.epochs[request.Epoch]
	if epoch == nil {
		epoch = &mirroredEpoch{}
		state.epochs[request.Epoch] = epoch
	}
	s.dropThrough(epoch, request.LoggedSequence)
	ack.Full = !s.extend(epoch, request.Entries)
	ack.Sequence = epoch.lastSequence()
	return ack
}

// extend appends the entries that directly follow those of the epoch. It
// reports false if they would exceed the store's limit.
func (s *MirrorStore) extend(epoch *mirroredEpoch, entries []recordlog.Entry) bool {
	for _, entry := range entries {
		if entry.Sequence <= epoch.lastSequence() {
			continue
		}
		if entry.Sequence != epoch.lastSequence()+1 {
			return true
		}
		if s.bytes+entry.Size() > s.config.MaximumBytes {
			return false
		}
		s.bytes += entry.Size()
		epoch.entries = append(epoch.entries, entry)
	}
	return true
}

// dropThrough drops the entries up to the sequence, which the log has.
func (s *MirrorStore) dropThrough(epoch *mirroredEpoch, loggedSequence uint64) {
	if loggedSequence <= epoch.loggedSequence {
		return
	}
	count := min(loggedSequence-epoch.loggedSequence, uint64(len(epoch.entries)))
	for _, entry := range epoch.entries[:count] {
		s.bytes -= entry.Size()
	}
	epoch.entries = slices.Clone(epoch.entries[count:])
	epoch.loggedSequence = loggedSequence
}

// keepOwned stores the unlogged entries of an epoch that this node owned and
// lost, if they fit. From then on the store answers for the whole epoch.
func (s *MirrorStore) keepOwned(id ID, rest recordlog.Unlogged) {
	epoch := &mirroredEpoch{loggedSequence: rest.LoggedSequence}
	if !s.extend(epoch, rest.Entries) {
		s.dropThrough(epoch, epoch.lastSequence())
		return
	}
	epoch.complete = true
	s.partitionState(id).epochs[rest.Epoch] = epoch
}

// epochOpened drops the epochs before one that this node opened: the log has
// their entries.
func (s *MirrorStore) epochOpened(id ID, epoch uint64) {
	if state := s.partitions[id]; state != nil {
		s.dropEpochsBefore(state, epoch)
	}
}

// dropEpochsBefore drops every epoch before the given one.
func (s *MirrorStore) dropEpochsBefore(state *mirroredPartition, epoch uint64) {
	for number, older := range state.epochs {
		if number < epoch {
			s.dropThrough(older, older.lastSequence())
			delete(state.epochs, number)
		}
	}
}

// answer returns the store's entries to the owner of a later epoch, and refuses
// every epoch before that one from then on.
func (s *MirrorStore) answer(id ID, query MirrorQuery) *MirrorAnswer {
	answer := &MirrorAnswer{Epoch: query.Epoch, Instance: s.config.Instance, ReaderEpoch: query.ReaderEpoch}
	if query.Instance != s.config.Instance {
		answer.Restarted = true
		return answer
	}
	state := s.partitionState(id)
	if query.ReaderEpoch < state.readerEpoch {
		answer.Refused = true
		return answer
	}
	state.readerEpoch = query.ReaderEpoch
	epoch := state.epochs[query.Epoch]
	if epoch == nil {
		answer.LastSequence = query.Sequence
		return answer
	}
	answer.Complete = epoch.complete
	answer.LastSequence = max(epoch.lastSequence(), query.Sequence)
	answer.Entries = s.chunk(epoch, query.Sequence)
	return answer
}

// chunk returns the entries after the sequence that fit in one message, but at
// least one if there is any.
func (s *MirrorStore) chunk(epoch *mirroredEpoch, sequence uint64) []recordlog.Entry {
	if sequence >= epoch.lastSequence() || sequence < epoch.loggedSequence {
		return nil
	}
	var chunk []recordlog.Entry
	bytes := 0
	for _, entry := range epoch.entries[sequence-epoch.loggedSequence:] {
		bytes += entry.Size()
		if len(chunk) > 0 && bytes > s.config.MaximumMessageBytes {
			break
		}
		chunk = append(chunk, entry)
	}
	return chunk
}

// trim drops the entries that the log holds: those of all earlier epochs, and
// those of the epoch itself up to the sequence.
func (s *MirrorStore) trim(id ID, trim MirrorTrim) *MirrorAck {
	state := s.partitions[id]
	ack := &MirrorAck{Epoch: trim.Epoch, Instance: s.config.Instance, Sequence: trim.Sequence, Trimmed: true}
	if state == nil {
		return ack
	}
	s.dropEpochsBefore(state, trim.Epoch)
	if epoch := state.epochs[trim.Epoch]; epoch != nil {
		s.dropThrough(epoch, trim.Sequence)
	}
	state.readerEpoch = max(state.readerEpoch, trim.Epoch)
	return ack
}

// ForMirror reports whether the message is for the receiver's MirrorStore
// rather than its Replica.
func (m Message) ForMirror() bool {
	return m.Mirror != nil || m.Query != nil || m.Trim != nil
}
