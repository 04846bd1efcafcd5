// Package membudget bounds the memory that all bodies under way hold together.
//
// A body may hold at most as much as is left free. A few bodies without end thus leave room for
// others, however many they are.
package membudget
