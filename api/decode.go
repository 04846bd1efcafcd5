package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"unicode/utf8"
)

// maximumFindings bounds the number of findings for one input.
const maximumFindings = 20

// Findings lists what is wrong with one input.
type Findings []Finding

// Add adds a finding at a location such as "$.calls[0].key", unless the list is
// full.
func (f *Findings) Add(location, format string, arguments ...any) {
	if len(*f) < maximumFindings {
		*f = append(*f, Finding{Location: location, Message: fmt.Sprintf(format, arguments...)})
	}
}

// Error returns nil if there are no findings, and otherwise a bad_request error
// with all of them.
func (f Findings) Error() *Error {
	if len(f) == 0 {
		return nil
	}
	refusal := Refuse(CodeBadRequest, "%s: %s", f[0].Location, f[0].Message).WithLocation(f[0].Location)
	if len(f) > 1 {
		refusal.Message += fmt.Sprintf(" (and %d more)", len(f)-1)
		refusal.Findings = f
	}
	return refusal
}

// Decode decodes one JSON object into the struct that target points to. Unlike
// json.Unmarshal it continues after an error and returns all of them with their
// locations: fields of a wrong type, unknown fields and repeated fields. For
// invalid JSON it returns the line and column of the first error.
func Decode(body []byte, target any) Findings {
	var findings Findings
	if location, message := checkSyntax(body); message != "" {
		findings.Add(location, "%s", message)
		return findings
	}
	decodeValue(body, reflect.ValueOf(target).Elem(), "$", &findings)
	return findings
}

// checkSyntax returns the location and the description of the first syntax error
// in the text. If there is none, the message is empty.
func checkSyntax(body []byte) (location, message string) {
	if len(bytes.TrimSpace(body)) == 0 {
		return "$", "the body is empty; want one JSON object"
	}
	if !utf8.Valid(body) {
		return lineAndColumn(body, validPrefix(body)), "the body is not valid UTF-8"
	}
	var raw json.RawMessage
	err := json.Unmarshal(body, &raw)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return lineAndColumn(body, int(syntax.Offset)-1), "not valid JSON: " + syntax.Error()
	}
	if err != nil {
		return "$", "not valid JSON: " + err.Error()
	}
	return "", ""
}

// validPrefix returns the length of the longest valid UTF-8 prefix.
func validPrefix(body []byte) int {
	valid := 0
	for valid < len(body) {
		character, size := utf8.DecodeRune(body[valid:])
		if character == utf8.RuneError && size <= 1 {
			break
		}
		valid += size
	}
	return valid
}

// lineAndColumn formats a byte offset as line and column, both from 1. Columns
// count bytes.
func lineAndColumn(body []byte, offset int) string {
	before := body[:min(offset, len(body))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

// decodeValue decodes raw, which is valid JSON, into value.
func decodeValue(raw json.RawMessage, value reflect.Value, location string, findings *Findings) {
	_, decodesItself := value.Addr().Interface().(json.Unmarshaler)
	switch {
	case decodesItself || isNull(raw):
		decodeStandard(raw, value, location, findings)
	case value.Kind() == reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		decodeValue(raw, value.Elem(), location, findings)
	case value.Kind() == reflect.Struct:
		decodeObject(raw, value, location, findings)
	case value.Kind() == reflect.Slice:
		decodeArray(raw, value, location, findings)
	default:
		decodeStandard(raw, value, location, findings)
	}
}

func isNull(raw json.RawMessage) bool {
	return string(bytes.TrimSpace(raw)) == "null"
}

// decodeStandard decodes the value with encoding/json.
func decodeStandard(raw json.RawMessage, value reflect.Value, location string, findings *Findings) {
	err := json.Unmarshal(raw, value.Addr().Interface())
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		findings.Add(location, "want %s, got %s", describeKind(value.Type()), wrongType.Value)
	case err != nil:
		findings.Add(location, "%s", err.Error())
	}
}

// describeKind describes a Go type in terms of JSON.
func describeKind(kind reflect.Type) string {
	switch kind.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint64:
		return "a whole number from 0"
	default:
		return "a " + kind.Kind().String()
	}
}

// decodeArray decodes each element, with its index as part of the location.
func decodeArray(raw json.RawMessage, value reflect.Value, location string, findings *Findings) {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		findings.Add(location, "want an array")
		return
	}
	slice := reflect.MakeSlice(value.Type(), len(elements), len(elements))
	for i, element := range elements {
		decodeValue(element, slice.Index(i), fmt.Sprintf("%s[%d]", location, i), findings)
	}
	value.Set(slice)
}

// decodeObject decodes each member into the field with its JSON name.
func decodeObject(raw json.RawMessage, value reflect.Value, location string, findings *Findings) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if open, _ := decoder.Token(); open != json.Delim('{') {
		findings.Add(location, "want an object")
		return
	}
	seen := make(map[string]bool)
	for decoder.More() {
		token, _ := decoder.Token()
		name, _ := token.(string)
		var member json.RawMessage
		if err := decoder.Decode(&member); err != nil {
			findings.Add(location+"."+name, "%s", err.Error())
			return
		}
		field, known := fieldByName(value, name)
		switch {
		case !known:
			findings.Add(location+"."+name, "unknown field")
		case seen[name]:
			findings.Add(location+"."+name, "repeated field")
		default:
			decodeValue(member, field, location+"."+name, findings)
		}
		seen[name] = true
	}
}

// fieldByName returns the struct field with exactly this JSON name.
func fieldByName(value reflect.Value, name string) (reflect.Value, bool) {
	kind := value.Type()
	for i := range kind.NumField() {
		tag, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
		if tag == name && tag != "" && tag != "-" {
			return value.Field(i), true
		}
	}
	return reflect.Value{}, false
}
