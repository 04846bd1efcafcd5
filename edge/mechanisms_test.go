package edge

import (
	"slices"
	"strings"
	"testing"
)

func TestParseMechanisms(t *testing.T) {
	parsed, err := ParseMechanisms("--without", " repeat-late-calls")
	if err != nil || len(parsed) != 1 || parsed[0] != RepeatLateCalls {
		t.Fatalf("ParseMechanisms = %v, %v", parsed, err)
	}
	if parsed, err := ParseMechanisms("--without", ""); err != nil || parsed != nil {
		t.Fatalf("ParseMechanisms of nothing = %v, %v", parsed, err)
	}
	_, err = ParseMechanisms("--without", "repeat-late-calls,haste,")
	if err == nil {
		t.Fatal("ParseMechanisms took a mechanism that there is not")
	}
	for _, want := range []string{"--without", "haste", "want one of"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not name %q", err, want)
		}
	}
}

func TestUses(t *testing.T) {
	for _, mechanism := range Mechanisms() {
		off := Settings{Disabled: []Mechanism{mechanism}}
		for _, other := range Mechanisms() {
			if got, want := off.uses(other), other != mechanism; got != want {
				t.Errorf("without %s: uses(%s) = %v", mechanism, other, got)
			}
		}
	}
	if all := Mechanisms(); !slices.IsSorted(all) {
		t.Errorf("mechanisms are not sorted: %v", all)
	}
}
