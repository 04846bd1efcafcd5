// Package control is the state machine of one node.
package control
