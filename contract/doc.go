// Package contract resolves the tree of settings into the contract of each
// branch.
package contract
