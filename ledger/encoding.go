package ledger

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"slices"
)

// binaryTurnFormat is the first byte of a stored turn's record whose header is JSON and
// whose bodies follow it as raw bytes. Records of former versions are JSON as a whole,
// with bodies in base64, which are a third longer.
const binaryTurnFormat = 1

// turnHead is the header of a stored turn's record, with the lengths of its bodies.
type turnHead struct {
	turnValue
	BaseBytes   int `json:"base_bytes,omitempty"`
	InputBytes  int `json:"input_bytes,omitempty"`
	OutputBytes int `json:"output_bytes,omitempty"`
}

// errTurnTruncated reports that a stored turn's record is shorter than its header
// states.
var errTurnTruncated = errors.New("ledger: turn record is truncated")

// encodeTurn returns a stored turn's record: the format, the length of the header, the
// header, the base, the input and the output.
func encodeTurn(value *turnValue) []byte {
	head := turnHead{turnValue: *value, BaseBytes: len(value.Base), InputBytes: len(value.Input), OutputBytes: len(value.Output)}
	head.Base, head.Input, head.Output = nil, nil, nil
	encoded := encode(head)
	record := make([]byte, 0, 1+binary.MaxVarintLen64+len(encoded)+len(value.Base)+len(value.Input)+len(value.Output))
	record = append(record, binaryTurnFormat)
	record = binary.AppendUvarint(record, uint64(len(encoded)))
	return slices.Concat(append(record, encoded...), value.Base, value.Input, value.Output)
}

// decodeTurn decodes a stored turn's record, of this version or a former one.
func decodeTurn(record []byte) (turnValue, error) {
	if len(record) == 0 || record[0] != binaryTurnFormat {
		var value turnValue
		err := json.Unmarshal(record, &value)
		return value, err
	}
	length, read := binary.Uvarint(record[1:])
	rest := record[1+max(0, read):]
	if read <= 0 || length > uint64(len(rest)) {
		return turnValue{}, errTurnTruncated
	}
	var head turnHead
	if err := json.Unmarshal(rest[:length], &head); err != nil {
		return turnValue{}, err
	}
	rest = rest[length:]
	if min(head.BaseBytes, head.InputBytes, head.OutputBytes) < 0 || len(rest) != head.BaseBytes+head.InputBytes+head.OutputBytes {
		return turnValue{}, errTurnTruncated
	}
	value := head.turnValue
	value.Base, value.Input, value.Output = rest[:head.BaseBytes], rest[head.BaseBytes:head.BaseBytes+head.InputBytes], rest[head.BaseBytes+head.InputBytes:]
	return value, nil
}
