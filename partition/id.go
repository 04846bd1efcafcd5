package partition

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// ID identifies a partition. Its text form is "<group>.<index>", which is also
// the name of its log stream.
type ID struct {
	Group Group `json:"group"`
	Index int   `json:"index"`
}

// Group identifies the programs of one branch of the settings, whose partitions
// share one placement. The placement is not part of the name: when it changes,
// the group keeps its streams and only the owners move.
type Group string

// indexSeparator separates the group from the index in a partition's text form.
// No group contains it.
const indexSeparator = "."

// branchSeparator replaces "/" of a branch's path in the name of its group.
const branchSeparator = "~"

var validGroup = regexp.MustCompile(`^(~|[a-z0-9-]+(~[a-z0-9-]+)*)$`)

// GroupOf returns the group of a branch's programs.
func GroupOf(branch string) Group {
	if branch == "" {
		return branchSeparator
	}
	return Group(strings.ReplaceAll(branch, "/", branchSeparator))
}

// Branch returns the path of the branch whose programs the group holds.
func (g Group) Branch() string {
	if g == branchSeparator {
		return ""
	}
	return strings.ReplaceAll(string(g), branchSeparator, "/")
}

// String returns the text form "<group>.<index>", the stream's name.
func (id ID) String() string {
	return string(id.Group) + indexSeparator + strconv.Itoa(id.Index)
}

// Parse parses the text form of a partition's ID.
func Parse(text string) (ID, error) {
	group, index, found := strings.Cut(text, indexSeparator)
	if !found {
		return ID{}, fmt.Errorf("partition %q: want <group>.<index>", text)
	}
	if !validGroup.MatchString(group) {
		return ID{}, fmt.Errorf("partition %q: group: want the segments of a branch joined by %q", text, branchSeparator)
	}
	number, err := strconv.Atoi(index)
	if err != nil || number < 0 || strconv.Itoa(number) != index {
		return ID{}, fmt.Errorf("partition %q: index: want a decimal number without leading zeros", text)
	}
	return ID{Group: Group(group), Index: number}, nil
}
