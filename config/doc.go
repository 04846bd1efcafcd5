// Package config reads the settings file of a process: one YAML file for
// `birchwood serve` and one for `birchwood standin`.
//
// A file is read whole and every finding is reported at once, each with the
// file, line, column and path. Unknown keys are refused. Addresses are IP
// numbers with a port: nothing is looked up by name. Values that a file leaves
// out have the defaults of Defaults; docs/SETTINGS.md lists them all.
//
// What operators change while the system runs (zones that programs may visit,
// budgets, tokens) is not here: it stands in the settings tree of package
// contract. LoadSettings reads the initial edits of that tree from a file.
//
// The folders koudeketting and qasr hold ready files for two deployments.
package config
