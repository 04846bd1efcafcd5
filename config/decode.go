package config

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// rootPath is the YAML path of the document root.
const rootPath = "$"

// defaulter is implemented by sections with default values of their own.
type defaulter interface{ setDefaults() }

// decoder decodes a YAML document into typed values. Unlike the library's
// decoder it continues after a finding, and it records the position of each
// value.
type decoder struct {
	source   source
	findings []Finding
}

// decode decodes the document into target, a pointer to a struct or slice.
func (d *decoder) decode(data []byte, target any) {
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		d.addSyntaxError(err)
		return
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		d.findings = append(d.findings, d.source.finding(rootPath, "want exactly one YAML document"))
		return
	}
	d.source.positions[rootPath] = position{source: d.source.name, line: 1, column: 1}
	d.decodeValue(parsed.Docs[0].Body, reflect.ValueOf(target).Elem(), rootPath)
}

// addSyntaxError reports a document that is not valid YAML.
func (d *decoder) addSyntaxError(err error) {
	found := Finding{File: d.source.name, Path: rootPath, Message: err.Error()}
	var yamlError yaml.Error
	if errors.As(err, &yamlError) {
		found.Message = yamlError.GetMessage()
		if token := yamlError.GetToken(); token != nil {
			found.Line, found.Column = token.Position.Line, token.Position.Column
		}
	}
	d.findings = append(d.findings, found)
}

func (d *decoder) addFinding(path, format string, arguments ...any) {
	d.findings = append(d.findings, d.source.finding(path, format, arguments...))
}

// decodeValue decodes one node of the document.
func (d *decoder) decodeValue(node ast.Node, target reflect.Value, path string) {
	d.recordPosition(node, path)
	switch typed := node.(type) {
	case *ast.NullNode:
		return // keeps the default
	case *ast.AliasNode, *ast.AnchorNode, *ast.TagNode, *ast.MergeKeyNode:
		d.addFinding(path, "YAML aliases, anchors and tags are not supported: write the value out")
		return
	case *ast.MappingValueNode:
		d.decodeMapping([]*ast.MappingValueNode{typed}, target, path)
		return
	case *ast.MappingNode:
		d.decodeMapping(typed.Values, target, path)
		return
	case *ast.SequenceNode:
		d.decodeSequence(typed, target, path)
		return
	}
	d.decodeScalar(node, target, path)
}

func (d *decoder) recordPosition(node ast.Node, path string) {
	if token := node.GetToken(); token != nil {
		if _, known := d.source.positions[path]; !known {
			d.source.positions[path] = position{source: d.source.name, line: token.Position.Line, column: token.Position.Column}
		}
	}
}

func (d *decoder) decodeMapping(entries []*ast.MappingValueNode, target reflect.Value, path string) {
	if target.Kind() == reflect.Pointer {
		if target.IsNil() {
			target.Set(newWithDefaults(target.Type().Elem()))
		}
		target = target.Elem()
	}
	if target.Kind() != reflect.Struct {
		d.addFinding(path, "a mapping stands here: want %s", kindName(target.Type()))
		return
	}
	fields := fieldIndexes(target.Type())
	for _, entry := range entries {
		name := entry.Key.GetToken().Value
		entryPath := path + "." + name
		d.recordPosition(entry.Key, entryPath)
		index, known := fields[name]
		if !known {
			d.addFinding(entryPath, "unknown key")
			continue
		}
		d.decodeValue(entry.Value, target.Field(index), entryPath)
	}
}

// newWithDefaults returns a pointer to a new value with its section's defaults.
func newWithDefaults(sectionType reflect.Type) reflect.Value {
	pointer := reflect.New(sectionType)
	if section, hasDefaults := pointer.Interface().(defaulter); hasDefaults {
		section.setDefaults()
	}
	return pointer
}

// fieldIndexes returns the indexes of a struct's fields, keyed by YAML name.
func fieldIndexes(structure reflect.Type) map[string]int {
	fields := make(map[string]int, structure.NumField())
	for index := range structure.NumField() {
		if name := yamlName(structure.Field(index)); name != "" {
			fields[name] = index
		}
	}
	return fields
}

// yamlName returns a field's YAML key, or "" if the field has none.
func yamlName(field reflect.StructField) string {
	tag := field.Tag.Get("yaml")
	if tag == "" {
		tag = field.Tag.Get("json")
	}
	name, _, _ := strings.Cut(tag, ",")
	return name
}

func (d *decoder) decodeSequence(node *ast.SequenceNode, target reflect.Value, path string) {
	if target.Kind() != reflect.Slice {
		d.addFinding(path, "a list stands here: want %s", kindName(target.Type()))
		return
	}
	items := reflect.MakeSlice(target.Type(), 0, len(node.Values))
	for index, item := range node.Values {
		element := newWithDefaults(target.Type().Elem()).Elem()
		d.decodeValue(item, element, fmt.Sprintf("%s[%d]", path, index))
		items = reflect.Append(items, element)
	}
	target.Set(items)
}

var durationType = reflect.TypeFor[time.Duration]()

// decodeScalar decodes a string, a number or a boolean.
func (d *decoder) decodeScalar(node ast.Node, target reflect.Value, path string) {
	if target.Kind() == reflect.Pointer {
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	if err := assignScalar(node, target); err != nil {
		d.addFinding(path, "%v", err)
	}
}

func assignScalar(node ast.Node, target reflect.Value) error {
	typeError := fmt.Errorf("%q: want %s", node.GetToken().Value, kindName(target.Type()))
	if target.Type() == durationType {
		return assignDuration(node.GetToken().Value, target)
	}
	if _, isText := target.Addr().Interface().(encoding.TextUnmarshaler); isText {
		return yaml.NodeToValue(node, target.Addr().Interface())
	}
	switch target.Kind() {
	case reflect.Struct, reflect.Slice:
		return typeError
	case reflect.String:
		if _, isString := node.(*ast.StringNode); !isString {
			return fmt.Errorf("%q: want text; put it in quotes", node.GetToken().Value)
		}
	case reflect.Int, reflect.Int64, reflect.Uint64:
		if _, isInteger := node.(*ast.IntegerNode); !isInteger {
			return typeError
		}
	}
	if err := yaml.NodeToValue(node, target.Addr().Interface()); err != nil {
		return typeError
	}
	return nil
}

func assignDuration(text string, target reflect.Value) error {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q: want a duration with a unit, such as 250ms, 2s or 1m30s", text)
	}
	target.SetInt(int64(parsed))
	return nil
}

// kindName describes a type in the words that findings and the reference page
// use.
func kindName(of reflect.Type) string {
	if of == durationType {
		return "a duration"
	}
	switch of.Kind() {
	case reflect.Pointer:
		return kindName(of.Elem())
	case reflect.Struct:
		return "a mapping"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Uint64:
		return "a whole number that is not negative"
	default:
		return "a whole number"
	}
}
