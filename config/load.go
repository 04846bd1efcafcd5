package config

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/parser"
)

// Override replaces one value of the file.
type Override struct {
	// Path is the value's YAML path without the leading "$.", such as
	// "node.listen".
	Path string
	// Value is the value's text, as written in a file.
	Value string
	// Origin names the flag in findings, such as "flag --listen". If empty,
	// findings say "override".
	Origin string
}

// Load reads a file, applies the overrides in order and validates the result.
// It returns all findings; the file is nil if there are any.
func Load(path string, overrides ...Override) (*File, []Finding) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, []Finding{{File: path, Path: rootPath, Message: err.Error()}}
	}
	return Parse(path, data, overrides...)
}

// Parse is Load for the content of a file. Findings carry the name, and
// relative paths in the file start at its folder.
func Parse(name string, data []byte, overrides ...Override) (*File, []Finding) {
	file := Defaults()
	decoder := &decoder{source: source{name: name, positions: map[string]position{}}}
	decoder.decode(data, file)
	file.source = decoder.source
	findings := decoder.findings
	for _, override := range overrides {
		findings = append(findings, file.Override(override)...)
	}
	if len(findings) > 0 && decoder.documentUnreadable() {
		return nil, findings
	}
	findings = append(findings, file.Validate()...)
	if len(findings) > 0 {
		return nil, findings
	}
	if err := file.resolveSettingsPath(filepath.Dir(name)); err != nil {
		return nil, []Finding{file.source.finding("$.standin.settings", "%v", err)}
	}
	return file, nil
}

// resolveSettingsPath makes the path of the initial settings absolute. A
// relative path starts at folder.
func (f *File) resolveSettingsPath(folder string) error {
	if f.Standin == nil || f.Standin.Settings == "" || filepath.IsAbs(f.Standin.Settings) {
		return nil
	}
	absolute, err := filepath.Abs(filepath.Join(folder, f.Standin.Settings))
	if err != nil {
		return err
	}
	f.Standin.Settings = absolute
	return nil
}

// documentUnreadable reports whether the document as a whole could not be
// decoded. Validating its values would then only report consequences.
func (d *decoder) documentUnreadable() bool {
	for _, found := range d.findings {
		if found.Path == rootPath {
			return true
		}
	}
	return false
}

// Override sets one value and creates its section if the file lacks it.
func (f *File) Override(override Override) []Finding {
	path := rootPath + "." + override.Path
	if override.Origin == "" {
		override.Origin = "override"
	}
	flagPosition := position{source: override.Origin}
	decoder := &decoder{source: source{name: override.Origin, positions: map[string]position{path: flagPosition}}}
	target := reflect.ValueOf(f).Elem()
	for _, name := range strings.Split(override.Path, ".") {
		if target.Kind() == reflect.Pointer {
			if target.IsNil() {
				target.Set(newWithDefaults(target.Type().Elem()))
			}
			target = target.Elem()
		}
		if target.Kind() != reflect.Struct {
			return []Finding{decoder.source.finding(path, "unknown key")}
		}
		index, known := fieldIndexes(target.Type())[name]
		if !known {
			return []Finding{decoder.source.finding(path, "unknown key")}
		}
		target = target.Field(index)
	}
	if target.Kind() == reflect.String {
		target.SetString(override.Value)
	} else {
		decoder.override(override.Value, target, path)
	}
	if f.source.positions == nil {
		f.source.positions = map[string]position{}
	}
	f.source.positions[path] = flagPosition
	return decoder.findings
}

func (d *decoder) override(text string, target reflect.Value, path string) {
	parsed, err := parser.ParseBytes([]byte(text), 0)
	if err != nil || len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		d.addFinding(path, "%s", fmt.Sprintf("%q: want %s", text, kindName(target.Type())))
		return
	}
	d.decodeValue(parsed.Docs[0].Body, target, path)
}
