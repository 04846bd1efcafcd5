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

// maximumFindings bounds how much of a wrong input is reported.
const maximumFindings = 20

// Findings collects what is wrong with one input.
type Findings []Finding

// Add records that the input is wrong at the place, such as "$.calls[0].key".
func (f *Findings) Add(place, format string, arguments ...any) {
	if len(*f) < maximumFindings {
		*f = append(*f, Finding{Place: place, Message: fmt.Sprintf(format, arguments...)})
	}
}

// Error returns nil when nothing was found, and otherwise one bad_request
// error that carries everything.
func (f Findings) Error() *Error {
	if len(f) == 0 {
		return nil
	}
	refusal := Refuse(CodeBadRequest, "%s: %s", f[0].Place, f[0].Message).At(f[0].Place)
	if len(f) > 1 {
		refusal.Message += fmt.Sprintf(" (and %d more)", len(f)-1)
		refusal.Findings = f
	}
	return refusal
}

// Decode reads one JSON object into the struct that target points to. Unlike
// json.Unmarshal it goes on after a mistake and collects all of them: fields
// of a wrong type, unknown fields and repeated fields, each with its place.
// Text that is not JSON at all is reported with its line and column.
func Decode(body []byte, target any) Findings {
	var findings Findings
	if place, message := checkSyntax(body); message != "" {
		findings.Add(place, "%s", message)
		return findings
	}
	decodeValue(body, reflect.ValueOf(target).Elem(), "$", &findings)
	return findings
}

// checkSyntax returns the place and the description of the first mistake in
// the text, or an empty message.
func checkSyntax(body []byte) (place, message string) {
	if len(bytes.TrimSpace(body)) == 0 {
		return "$", "the body is empty; want one JSON object"
	}
	if !utf8.Valid(body) {
		return position(body, validPrefix(body)), "the body is not valid UTF-8"
	}
	var raw json.RawMessage
	err := json.Unmarshal(body, &raw)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return position(body, int(syntax.Offset)-1), "not valid JSON: " + syntax.Error()
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

// position describes a byte offset as line and column, both from 1.
func position(body []byte, offset int) string {
	before := body[:min(offset, len(body))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf("line %d, column %d", line, column)
}

// decodeValue reads raw, which is valid JSON, into value.
func decodeValue(raw json.RawMessage, value reflect.Value, place string, findings *Findings) {
	_, decodesItself := value.Addr().Interface().(json.Unmarshaler)
	switch {
	case decodesItself || isNull(raw):
		decodeWhole(raw, value, place, findings)
	case value.Kind() == reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		decodeValue(raw, value.Elem(), place, findings)
	case value.Kind() == reflect.Struct:
		decodeObject(raw, value, place, findings)
	case value.Kind() == reflect.Slice:
		decodeArray(raw, value, place, findings)
	default:
		decodeWhole(raw, value, place, findings)
	}
}

func isNull(raw json.RawMessage) bool {
	return string(bytes.TrimSpace(raw)) == "null"
}

// decodeWhole leaves the value to the standard decoder.
func decodeWhole(raw json.RawMessage, value reflect.Value, place string, findings *Findings) {
	err := json.Unmarshal(raw, value.Addr().Interface())
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &wrongType):
		findings.Add(place, "want %s, got %s", describeKind(value.Type()), wrongType.Value)
	case err != nil:
		findings.Add(place, "%s", err.Error())
	}
}

// describeKind names a Go type the way a JSON author would.
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

// decodeArray reads each element with its index in the place.
func decodeArray(raw json.RawMessage, value reflect.Value, place string, findings *Findings) {
	var elements []json.RawMessage
	if err := json.Unmarshal(raw, &elements); err != nil {
		findings.Add(place, "want an array")
		return
	}
	slice := reflect.MakeSlice(value.Type(), len(elements), len(elements))
	for i, element := range elements {
		decodeValue(element, slice.Index(i), fmt.Sprintf("%s[%d]", place, i), findings)
	}
	value.Set(slice)
}

// decodeObject reads each member into the field of its JSON name.
func decodeObject(raw json.RawMessage, value reflect.Value, place string, findings *Findings) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if open, _ := decoder.Token(); open != json.Delim('{') {
		findings.Add(place, "want an object")
		return
	}
	seen := make(map[string]bool)
	for decoder.More() {
		token, _ := decoder.Token()
		name, _ := token.(string)
		var member json.RawMessage
		if err := decoder.Decode(&member); err != nil {
			findings.Add(place+"."+name, "%s", err.Error())
			return
		}
		field, known := fieldByName(value, name)
		switch {
		case !known:
			findings.Add(place+"."+name, "unknown field")
		case seen[name]:
			findings.Add(place+"."+name, "repeated field")
		default:
			decodeValue(member, field, place+"."+name, findings)
		}
		seen[name] = true
	}
}

// fieldByName finds the struct field with the JSON name, spelled exactly.
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
