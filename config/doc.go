// Package config reads the settings file of a process: one YAML file for
// `birchwood serve` and one for `birchwood standin`.
//
// All findings in a file are reported together, each with file, line, column
// and path. Unknown keys are findings too. Addresses are an IP address with a
// port; names are not resolved. Values that a file leaves out are those of
// Defaults; docs/SETTINGS.md lists every key.
//
// The settings that operators change while the system runs (permitted zones,
// budgets, tokens) are in the settings tree of package contract. LoadSettings
// reads the initial edits of that tree from a file.
//
// The folders koudeketting and qasr hold complete files for two deployments.
package config
