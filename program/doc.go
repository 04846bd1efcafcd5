// Package program is the state machine of agent programs.
package program
