package config

import (
	"fmt"
	"strings"
)

// Finding is one thing that is wrong with a file, and where.
type Finding struct {
	// File is the file as it was named, or the flag that overrides it.
	File string `json:"file"`
	// Line and Column count from one; zero when the place has none.
	Line   int `json:"line,omitempty"`
	Column int `json:"column,omitempty"`
	// Path is the YAML path, such as "$.node.listen".
	Path    string `json:"path"`
	Message string `json:"message"`
}

// String returns "file:line:column: path: message".
func (f Finding) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	}
	return fmt.Sprintf("%s: %s: %s", place, f.Path, f.Message)
}

// position is where a value stands in its source.
type position struct {
	source string
	line   int
	column int
}

// source remembers where the values of a file stand, by YAML path.
type source struct {
	name      string
	positions map[string]position
}

// finding returns a finding at the path, placed at the nearest value above it
// that stands in the file.
func (s *source) finding(path, format string, arguments ...any) Finding {
	found := Finding{File: s.name, Path: path, Message: fmt.Sprintf(format, arguments...)}
	for nearest := path; nearest != ""; nearest = parentPath(nearest) {
		if at, known := s.positions[nearest]; known {
			found.File, found.Line, found.Column = at.source, at.line, at.column
			break
		}
	}
	return found
}

// parentPath drops the last key or index of a YAML path.
func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}
