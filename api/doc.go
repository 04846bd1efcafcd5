// Package api defines the JSON types of the callers' API: programs, calls,
// answers and errors. The gateway, the control state machine, the load tool and
// the command line use them. docs/API.md describes the routes.
package api
