package config

import (
	"fmt"
	"strings"
)

// Finding is one problem in a file, with its location.
type Finding struct {
	// File is the file name as given, or the flag that overrides the value.
	File string `json:"file"`
	// Line and Column count from 1; they are 0 when the position is unknown.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the YAML path of the value, such as "$.node.listen".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns "file:line:column: path: message".
func (f Finding) String() string {
	location := f.File
	if f.Line > 0 {
		location = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	return fmt.Sprintf("%s: %s: %s", location, f.Path, f.Message)
}

// position is the location of a value: a file with line and column, or a flag.
type position struct {
	source string
	line   int
	column int
}

// source holds the positions of a file's values, keyed by YAML path.
type source struct {
	name      string
	positions map[string]position
}

// finding returns a finding for the path. Its position is that of the path or,
// if the file lacks it, of the nearest enclosing value.
func (s *source) finding(path, format string, arguments ...any) Finding {
	found := Finding{File: s.name, Path: path, Message: fmt.Sprintf(format, arguments...)}
	for nearest := path; nearest != ""; nearest = parentPath(nearest) {
		if pos, known := s.positions[nearest]; known {
			found.File, found.Line, found.Column = pos.source, pos.line, pos.column
			break
		}
	}
	return found
}

// parentPath returns a YAML path without its last key or index.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
