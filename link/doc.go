// Package link carries messages between nodes.
package link
