// Package evacuation tracks which zones are being evacuated and must receive no requests.
//
// A State is the view of one node: the evacuated zones, since when, and the version of
// the operator's stream up to which all records are applied. One stream orders all
// changes, so of two states the one with the higher version is newer as a whole,
// whichever node sent it. DepartureTime spreads the sessions that leave an evacuated zone
// over the time that the operator allows.
//
// The package is pure: no I/O and no clock. Times and versions are passed in.
package evacuation
