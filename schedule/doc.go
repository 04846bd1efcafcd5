// Package schedule decides which back end serves each call.
package schedule
