package config

import (
	"fmt"
	"reflect"
	"strings"
)

//go:generate go run ../internal/settingsdoc -output ../docs/SETTINGS.md

// Setting describes one key of a settings file for the reference page.
type Setting struct {
	// Path is the YAML path, with "[]" for each item of a list.
	Path string
	// Kind is the type and Range the accepted values, both in words.
	Kind  string
	Range string
	// Default is the value if the file leaves the key out, or empty if there is
	// none.
	Default string
	Help    string
}

// Reference returns every key of a process's settings file, in the order of
// File's fields.
func Reference() []Setting {
	return describeSection(reflect.ValueOf(Defaults()).Elem(), "")
}

// describeSection returns the keys of one section and of the sections in it.
func describeSection(section reflect.Value, prefix string) []Setting {
	var settings []Setting
	for index := range section.NumField() {
		field := section.Type().Field(index)
		name := yamlName(field)
		if name == "" {
			continue
		}
		value := section.Field(index)
		setting := Setting{Path: prefix + name, Kind: kindName(field.Type), Range: acceptedRange(field), Help: field.Tag.Get("help")}
		if nested, path, isNested := nestedSection(value, setting.Path); isNested {
			settings = append(settings, setting)
			settings = append(settings, describeSection(nested, path)...)
			continue
		}
		if !value.IsZero() {
			setting.Default = fmt.Sprint(value.Interface())
		}
		settings = append(settings, setting)
	}
	return settings
}

// nestedSection returns the section that a value is or points to, or an item of
// a list of sections, with its defaults and the path prefix of its keys. It
// reports false for any other value.
func nestedSection(value reflect.Value, path string) (reflect.Value, string, bool) {
	kind := value.Type()
	switch {
	case kind.Kind() == reflect.Struct:
		return value, path + ".", true
	case kind.Kind() == reflect.Pointer && kind.Elem().Kind() == reflect.Struct:
		return newWithDefaults(kind.Elem()).Elem(), path + ".", true
	case kind.Kind() == reflect.Slice && kind.Elem().Kind() == reflect.Struct:
		return newWithDefaults(kind.Elem()).Elem(), path + "[].", true
	default:
		return reflect.Value{}, "", false
	}
}

// acceptedRange describes the values that the validator's rules accept.
func acceptedRange(field reflect.StructField) string {
	var words []string
	rules, _, _ := strings.Cut(field.Tag.Get("validate"), ",dive")
	for rule := range strings.SplitSeq(rules, ",") {
		name, parameter, _ := strings.Cut(rule, "=")
		switch name {
		case "required":
			words = append(words, "required")
		case "address":
			words = append(words, "IP number and port")
		case "zone", "machine":
			words = append(words, "lower-case letters, digits, inner hyphens")
		case "min":
			words = append(words, "at least "+boundWithUnit(field.Type, parameter))
		case "max":
			words = append(words, "at most "+boundWithUnit(field.Type, parameter))
		case "gt":
			words = append(words, "more than "+parameter)
		case "oneof":
			words = append(words, "one of "+strings.ReplaceAll(parameter, " ", ", "))
		}
	}
	return strings.Join(words, "; ")
}

// boundWithUnit returns a bound with the unit that its type implies.
func boundWithUnit(of reflect.Type, parameter string) string {
	switch of.Kind() {
	case reflect.Slice:
		return parameter + " items"
	case reflect.String:
		return parameter + " characters"
	default:
		return parameter
	}
}
