package main

import (
	"os"
	"testing"
)

// TestSettingsPageIsUpToDate holds docs/SETTINGS.md to the typed settings.
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
