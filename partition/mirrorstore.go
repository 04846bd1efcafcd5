package partition

import (
	"slices"

	"birchwood.example/birchwood/findings"
	"birchwood.example/birchwood/machine"
	"birchwood.example/birchwood/recordlog"
)

// MirrorStoreConfig sets the bounds of a node's MirrorStore.
type MirrorStoreConfig struct {
	// Instance is recordlog.WriterName of this process.
	Instance string
	// MaximumBytes bounds the entries held for all partitions together.
	MaximumBytes int
	// MaximumMessageBytes bounds the entries of one answer.
	MaximumMessageBytes int
}

func (c MirrorStoreConfig) validate() error {
	found := findings.Of("mirror store config")
	found.Require(c.Instance != "", "Instance", "missing")
	findings.Positive(found, "MaximumBytes", c.MaximumBytes)
	findings.Positive(found, "MaximumMessageBytes", c.MaximumMessageBytes)
	return found.Err()
}

// MirrorStore holds, for the owners of other nodes, entries that the log has
// not confirmed. It lives in memory alone: a restarted process answers with
// another instance and holds nothing.
type MirrorStore struct {
	config     MirrorStoreConfig
	partitions map[ID]*mirrored
	bytes      int
}

// mirrored is what a store knows of one partition.
type mirrored struct {
	// reader is the newest epoch that queried; older ones are refused.
	reader uint64
	epochs map[uint64]*mirroredEpoch
}

// mirroredEpoch holds the entries of one epoch after logged, without gaps.
type mirroredEpoch struct {
	// logged is the sequence up to which the log has the epoch.
	logged  uint64
	entries []recordlog.Entry
	// complete is set when this node owned the epoch itself.
	complete bool
}

func (e *mirroredEpoch) last() uint64 {
	return e.logged + uint64(len(e.entries))
}

// NewMirrorStore returns an empty store, or every finding about the config.
func NewMirrorStore(config MirrorStoreConfig) (*MirrorStore, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	return &MirrorStore{config: config, partitions: map[ID]*mirrored{}}, nil
}

// Bytes is the size of the entries that the store holds.
func (s *MirrorStore) Bytes() int {
	return s.bytes
}

// Step takes a message for which Message.ForMirror holds and returns the
// answers.
func (s *MirrorStore) Step(from machine.ID, message Message) []Outbound {
	id := message.Partition
	var answer Message
	switch {
	case message.Mirror != nil:
		answer.Mirrored = s.hold(id, *message.Mirror)
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

// partition returns what is known of a partition, remembering it from now on.
func (s *MirrorStore) partition(id ID) *mirrored {
	known := s.partitions[id]
	if known == nil {
		known = &mirrored{epochs: map[uint64]*mirroredEpoch{}}
		s.partitions[id] = known
	}
	return known
}

// hold takes entries of an owner and acknowledges what it holds of the epoch.
func (s *MirrorStore) hold(id ID, request MirrorAppend) *MirrorAck {
	ack := &MirrorAck{Epoch: request.Epoch, Instance: s.config.Instance}
	known := s.partition(id)
	if request.Epoch < known.reader {
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
	// An owner appends to mirrors only after it opened its epoch, which
	// settles the earlier ones.
	s.forgetBefore(known, request.Epoch)
	epoch := known.epochs[request.Epoch]
	if epoch == nil {
		epoch = &mirroredEpoch{}
		known.epochs[request.Epoch] = epoch
	}
	s.forget(epoch, request.Logged)
	ack.Full = !s.extend(epoch, request.Entries)
	ack.Sequence = epoch.last()
	return ack
}

// extend adds the entries that follow on what the epoch holds, and reports
// whether there was room for them.
func (s *MirrorStore) extend(epoch *mirroredEpoch, entries []recordlog.Entry) bool {
	for _, entry := range entries {
		if entry.Sequence <= epoch.last() {
			continue
		}
		if entry.Sequence != epoch.last()+1 {
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

// forget drops the entries up to the sequence, which the log has.
func (s *MirrorStore) forget(epoch *mirroredEpoch, logged uint64) {
	if logged <= epoch.logged {
		return
	}
	count := min(logged-epoch.logged, uint64(len(epoch.entries)))
	for _, entry := range epoch.entries[:count] {
		s.bytes -= entry.Size()
	}
	epoch.entries = slices.Clone(epoch.entries[count:])
	epoch.logged = logged
}

// keep takes what this node had not logged of an epoch that it owned and lost,
// if there is room. It answers for the whole epoch from then on.
func (s *MirrorStore) keep(id ID, rest recordlog.Rest) {
	epoch := &mirroredEpoch{logged: rest.Logged}
	if !s.extend(epoch, rest.Entries) {
		s.forget(epoch, epoch.last())
		return
	}
	epoch.complete = true
	s.partition(id).epochs[rest.Epoch] = epoch
}

// settle forgets the epochs before one that this node opened: the log has them.
func (s *MirrorStore) settle(id ID, epoch uint64) {
	if known := s.partitions[id]; known != nil {
		s.forgetBefore(known, epoch)
	}
}

// forgetBefore drops every epoch before the given one.
func (s *MirrorStore) forgetBefore(known *mirrored, epoch uint64) {
	for number, older := range known.epochs {
		if number < epoch {
			s.forget(older, older.last())
			delete(known.epochs, number)
		}
	}
}

// answer tells a later epoch's owner what the store holds, and refuses every
// epoch before that one from then on.
func (s *MirrorStore) answer(id ID, query MirrorQuery) *MirrorAnswer {
	answer := &MirrorAnswer{Epoch: query.Epoch, Instance: s.config.Instance, Reader: query.Reader}
	if query.Instance != s.config.Instance {
		answer.Restarted = true
		return answer
	}
	known := s.partition(id)
	if query.Reader < known.reader {
		answer.Refused = true
		return answer
	}
	known.reader = query.Reader
	epoch := known.epochs[query.Epoch]
	if epoch == nil {
		answer.Last = query.Sequence
		return answer
	}
	answer.Complete = epoch.complete
	answer.Last = max(epoch.last(), query.Sequence)
	answer.Entries = s.chunk(epoch, query.Sequence)
	return answer
}

// chunk returns the entries after the sequence that fit in one message, at
// least one if there is any.
func (s *MirrorStore) chunk(epoch *mirroredEpoch, sequence uint64) []recordlog.Entry {
	if sequence >= epoch.last() || sequence < epoch.logged {
		return nil
	}
	var chunk []recordlog.Entry
	bytes := 0
	for _, entry := range epoch.entries[sequence-epoch.logged:] {
		bytes += entry.Size()
		if len(chunk) > 0 && bytes > s.config.MaximumMessageBytes {
			break
		}
		chunk = append(chunk, entry)
	}
	return chunk
}

// trim forgets what the log holds: all of the earlier epochs, and the epoch
// itself up to the sequence.
func (s *MirrorStore) trim(id ID, trim MirrorTrim) *MirrorAck {
	known := s.partitions[id]
	ack := &MirrorAck{Epoch: trim.Epoch, Instance: s.config.Instance, Sequence: trim.Sequence, Trimmed: true}
	if known == nil {
		return ack
	}
	s.forgetBefore(known, trim.Epoch)
	if epoch := known.epochs[trim.Epoch]; epoch != nil {
		s.forget(epoch, trim.Sequence)
	}
	known.reader = max(known.reader, trim.Epoch)
	return ack
}

// ForMirror reports whether the message is for the receiver's MirrorStore
// rather than for its Replica.
func (m Message) ForMirror() bool {
	return m.Mirror != nil || m.Query != nil || m.Trim != nil
}
