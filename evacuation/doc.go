// Package evacuation holds which zones are to get no requests.
//
// A State is what one node knows: the evacuated zones, since when, and the version
// of the operator's stream up to which all records are taken in. One stream orders
// all changes, so the state of the higher version is the newer one, whole, whoever
// tells it. Departure spreads what leaves an evacuated zone over the time that the
// operator gives.
//
// The package is pure: no I/O and no clock. Times and versions are passed in.
package evacuation
