// Package api holds the types that callers see: programs, calls, answers and
// errors, in their JSON form. The gateway, the control state machine, the load
// tool and the command line share them. docs/API.md describes the routes.
package api
