// Package command holds the command line, one file for each verb.
//
// Root returns the command with all of them. The verbs that run processes
// (serve, standin, dev) wire the packages that do the work; those of operators
// ask a node's operators' server over HTTP and print what it answers; the
// others (bench, fuzz, verify, load, check) run a tool in this process.
// An error decides the exit code, see ExitError. docs/CLI.md is the users' view.
package command
