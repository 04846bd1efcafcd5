package partition

import "birchwood.example/birchwood/machine"

// mirroring follows the mirrors of an owner.
type mirroring struct {
	config Config
}

func (m *mirroring) reset() {}

func (r *Replica) stepMirrored(machine.ID, MirrorAck) {}

func (r *Replica) stepMirrorAnswer(machine.ID, MirrorAnswer) {}
