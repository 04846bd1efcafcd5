package main

import (
	"bytes"
	"fmt"
	"strings"

	"birchwood.example/birchwood/config"
	"birchwood.example/birchwood/contract"
)

const introduction = `# Settings

This page is made from the code by ` + "`go generate ./config`" + `; a test compares it.

There are two sorts of settings:

- **Settings of a process** stand in one YAML file, which ` + "`birchwood serve`" + ` and
  ` + "`birchwood standin`" + ` read at their start. Flags override the file. Changing them
  takes a restart of the process.
- **Settings of the tree** say where programs may run and what they may spend.
  Operators change them while the system runs, with ` + "`birchwood settings set`" + `, and
  they are in force on every node within seconds.

` + "`birchwood check FILE`" + ` checks a file of either sort and reports everything that is
wrong at once, with file, line, column and path. Unknown keys are refused.
Ready files stand in ` + "`config/koudeketting` and `config/qasr`" + `.

Durations have a unit: ` + "`250ms`, `2s`, `1m30s`" + `. Addresses are an IP number and a
port; no name is looked up.
`

const treeIntroduction = `
## Settings of the tree

A branch has a path such as ` + "`koudeketting/triage`" + ` and sets what differs from its
parent; the root is written ` + "`/`" + ` on the command line and ` + "`\"\"`" + ` in a file. What a
branch does not set comes from the nearest branch above that does, and what
none sets has the default. A file of initial settings has the keys ` + "`id`, `actor`" + `
and ` + "`edits`" + `, a list of branches, parents first, each with ` + "`path`, `values`, `unset`" + `
and ` + "`remove`" + `.

`

// render returns the page.
func render() ([]byte, error) {
	var page bytes.Buffer
	page.WriteString(introduction)
	page.WriteString("\n## Settings of a process\n\n")
	writeRow(&page, "Key", "Type", "Accepted", "Default", "Meaning")
	for _, setting := range config.Reference() {
		writeRow(&page, codeSpan(setting.Path), setting.Kind, setting.Range, codeSpan(setting.Default), setting.Help)
	}
	descriptions, err := contract.Descriptions()
	if err != nil {
		return nil, err
	}
	page.WriteString(treeIntroduction)
	writeRow(&page, "Name", "Type", "Default", "Inherited", "Meaning")
	for _, value := range descriptions {
		inherited := "yes"
		if !value.Inherited {
			inherited = "no"
		}
		writeRow(&page, codeSpan(value.Name), value.Kind, codeSpan(value.Default), inherited, value.Description)
	}
	return page.Bytes(), nil
}

// writeRow writes one table row, and the separator line after the header row.
func writeRow(page *bytes.Buffer, cells ...string) {
	fmt.Fprintf(page, "| %s |\n", strings.Join(cells, " | "))
	if cells[len(cells)-1] == "Meaning" {
		fmt.Fprintf(page, "|%s\n", strings.Repeat(" --- |", len(cells)))
	}
}

// codeSpan returns the text as a Markdown code span, or "" if it is empty.
func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
