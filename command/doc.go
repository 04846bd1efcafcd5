// Package command implements the command line, with one file per subcommand.
//
// Root returns the command with all subcommands. Those that run processes
// (serve, standin, dev) construct and connect the packages that do the work. Those for operators
// send a request to a node's operators' API and print the answer. The others
// (bench, fuzz, verify, load, check) run a tool in this process. The returned
// error determines the exit code, see ExitError. docs/CLI.md is the user
// documentation.
package command
