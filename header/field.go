package header

import "bytes"

// FieldName checks a line of a head or trailer, without its CRLF, and returns the name of its field,
// as a part of the line. The name is a token of RFC 9110: a name with whitespace in or next to it is
// ambiguous, since a parser may read its line as a field of its own or as a continuation of the line
// before it. Errors are of type *InvalidError.
func FieldName(line []byte) ([]byte, error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	switch {
	case len(line) > 0 && (line[0] == ' ' || line[0] == '\t'):
		return nil, &InvalidError{Problem: "a folded line"}
	case !found:
		return nil, &InvalidError{Problem: "a line without a field"}
	case len(name) == 0:
		return nil, &InvalidError{Problem: "a field without a name"}
	case !isToken(name):
		return nil, invalid("name of a field", name)
	case !isText(value):
		return nil, invalid("a control byte in the value of", name)
	}
	return name, nil
}

// tokenMarks are the bytes besides letters and digits that a token may have.
var tokenMarks = []byte("!#$%&'*+-.^_`|~")

func isToken(name []byte) bool {
	for _, char := range name {
		letter := 'a' <= char|0x20 && char|0x20 <= 'z'
		digit := '0' <= char && char <= '9'
		if !letter && !digit && bytes.IndexByte(tokenMarks, char) < 0 {
			return false
		}
	}
	return true
}

// isText reports whether bytes have no control bytes except tabs, as values of fields and the reason
// of a status must not.
func isText(text []byte) bool {
	const del = 0x7F
	for _, char := range text {
		if char < ' ' && char != '\t' || char == del {
			return false
		}
	}
	return true
}
