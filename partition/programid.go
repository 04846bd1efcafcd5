package partition

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"birchwood.example/birchwood/api"
)

// hashDigits is the number of hexadecimal digits in the last part of a
// program's ID.
const hashDigits = 16

// NewProgramID returns the ID of the program that a caller's key names on a
// branch. It is deterministic: the branch's group, the index of one of its
// partitions and a hash of branch and key.
func NewProgramID(branch string, partitions int, key string) api.ProgramID {
	hash := xxhash.Sum64String(branch + "\x00" + key)
	id := ID{Group: GroupOf(branch), Index: int(hash % uint64(partitions))}
	return api.ProgramID(fmt.Sprintf("%s.%016x", id, hash))
}

// OfProgram returns the partition that holds a program, as encoded in its ID.
func OfProgram(program api.ProgramID) (ID, error) {
	last := strings.LastIndexByte(string(program), '.')
	if last < 0 {
		return ID{}, fmt.Errorf("program id %q: want group.index.hash", program)
	}
	name, hash := string(program)[:last], string(program)[last+1:]
	if _, err := strconv.ParseUint(hash, 16, 64); err != nil || len(hash) != hashDigits {
		return ID{}, fmt.Errorf("program id %q: want %d hexadecimal digits at the end", program, hashDigits)
	}
	id, err := Parse(name)
	if err != nil {
		return ID{}, fmt.Errorf("program id %q: %w", program, err)
	}
	return id, nil
}

// NewChildID returns the ID of the sub-agent that a key names under a parent
// program. It is deterministic; the sub-agent is a program in its parent's
// partition.
func NewChildID(parent api.ProgramID, key string) (api.ProgramID, error) {
	id, err := OfProgram(parent)
	if err != nil {
		return "", err
	}
	hash := xxhash.Sum64String(string(parent) + "\x00" + key)
	return api.ProgramID(fmt.Sprintf("%s.%016x", id, hash)), nil
}
