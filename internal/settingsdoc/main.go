// Command settingsdoc writes docs/SETTINGS.md from the typed settings: those
// of a process (package config) and those of the settings tree (package
// contract). `go generate ./config` runs it; a test compares the committed page
// with its output.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	output := flag.String("output", "docs/SETTINGS.md", "the file to write")
	flag.Parse()
	if err := write(*output); err != nil {
		fmt.Fprintln(os.Stderr, "settingsdoc:", err)
		os.Exit(1)
	}
}

func write(path string) error {
	page, err := render()
	if err != nil {
		return err
	}
	return os.WriteFile(path, page, 0o644)
}
