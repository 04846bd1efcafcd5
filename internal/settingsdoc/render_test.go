package main

import (
	"os"
	"testing"
)

// TestSettingsPageIsUpToDate checks that docs/SETTINGS.md agrees with the typed
// settings.
func TestSettingsPageIsUpToDate(t *testing.T) {
	want, err := render()
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile("../../docs/SETTINGS.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		t.Fatal("docs/SETTINGS.md differs from the settings: run go generate ./config")
	}
}
