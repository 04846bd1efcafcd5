package partition

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
	"birchwood.example/birchwood/zone"
)

// NewProgramID returns the id that a branch and a caller's key always name:
// the placement, the index of one of its partitions, and a hash of both.
func NewProgramID(placement zone.Placement, partitions int, branch, key string) api.ProgramID {
	hash := xxhash.Sum64String(branch + "\x00" + key)
	index := int(hash % uint64(partitions))
	return api.ProgramID(fmt.Sprintf("%s.%d.%016x", placement, index, hash))
}

// NewChildID returns the id of a sub-agent: a program of its own in its
// parent's partition.
func NewChildID(parent api.ProgramID, branch, key string) (api.ProgramID, error) {
	id, err := OfProgram(parent)
	if err != nil {
		return "", err
	}
	hash := xxhash.Sum64String(string(parent) + "\x00" + branch + "\x00" + key)
	return api.ProgramID(fmt.Sprintf("%s.%d.%016x", id.Placement, id.Index, hash)), nil
}

// OfProgram returns the partition that a program's id names.
func OfProgram(program api.ProgramID) (ID, error) {
	last := strings.LastIndexByte(string(program), '.')
	if last < 0 {
		return ID{}, fmt.Errorf("program id %q: want placement.index.hash", program)
	}
	name, hash := string(program)[:last], string(program)[last+1:]
	if _, err := strconv.ParseUint(hash, 16, 64); err != nil || len(hash) != 16 {
		return ID{}, fmt.Errorf("program id %q: want 16 hexadecimal digits at the end", program)
	}
	middle := strings.LastIndexByte(name, '.')
	if middle < 0 {
		return ID{}, fmt.Errorf("program id %q: want placement.index.hash", program)
	}
	index, err := strconv.Atoi(name[middle+1:])
	if err != nil || index < 0 {
		return ID{}, fmt.Errorf("program id %q: want a partition index", program)
	}
	return ID{Placement: zone.Placement(name[:middle]), Index: index}, nil
}
