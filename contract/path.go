package contract

import (
	"fmt"
	"regexp"
	"strings"
)

// Path identifies a branch of the tree, such as "koudeketting/triage". The
// root is the empty path.
type Path string

// Root is the path of the root branch, which all others inherit from.
const Root Path = ""

// Bounds of a path.
const (
	maximumPathLength = 256
	maximumPathDepth  = 8
)

const pathSeparator = "/"

var validSegment = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// Validate returns an error unless the path is the root, or at most eight
// segments of lower-case letters, digits and inner hyphens joined by "/".
func (p Path) Validate() error {
	if p == Root {
		return nil
	}
	if len(p) > maximumPathLength {
		return fmt.Errorf("path has %d bytes: want at most %d", len(p), maximumPathLength)
	}
	segments := strings.Split(string(p), pathSeparator)
	if len(segments) > maximumPathDepth {
		return fmt.Errorf("path %q has %d segments: want at most %d", string(p), len(segments), maximumPathDepth)
	}
	for _, segment := range segments {
		if !validSegment.MatchString(segment) {
			return fmt.Errorf("path %q: segment %q: want 1 to 64 lower-case letters, digits or inner hyphens", string(p), segment)
		}
	}
	return nil
}

// Parent returns the path one segment shorter. The root is its own parent.
func (p Path) Parent() Path {
	index := strings.LastIndex(string(p), pathSeparator)
	if index < 0 {
		return Root
	}
	return p[:index]
}

// Contains reports whether other is p or lies below it.
func (p Path) Contains(other Path) bool {
	if p == Root || p == other {
		return true
	}
	return len(other) > len(p) && other[:len(p)] == p && other[len(p)] == pathSeparator[0]
}

// selfAndAncestors returns the path and its ancestors, the root last.
func (p Path) selfAndAncestors() []Path {
	paths := []Path{p}
	for p != Root {
		p = p.Parent()
		paths = append(paths, p)
	}
	return paths
}

// String returns the path for display. The root is written "/".
func (p Path) String() string {
	if p == Root {
		return pathSeparator
	}
	return string(p)
}

// Within reports whether p is scope or lies below it.
func (p Path) Within(scope Path) bool { return scope.Contains(p) }
