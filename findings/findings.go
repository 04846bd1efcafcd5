package findings

import (
	"errors"
	"fmt"
)

// List holds the findings about one subject.
type List struct {
	subject string
	errors  []error
}

// Of returns an empty list for a subject such as "record log config".
func Of(subject string) *List {
	return &List{subject: subject}
}

// Require adds a finding about the field unless ok holds.
func (l *List) Require(ok bool, field, format string, arguments ...any) {
	if !ok {
		l.add(field, fmt.Errorf(format, arguments...))
	}
}

// NoError adds a finding about the field unless err is nil. It wraps err.
func (l *List) NoError(field string, err error) {
	if err != nil {
		l.add(field, err)
	}
}

// Err returns every finding, joined in the order in which they were added, or
// nil if there are none.
func (l *List) Err() error {
	return errors.Join(l.errors...)
}

func (l *List) add(field string, cause error) {
	l.errors = append(l.errors, fmt.Errorf("%s: %s: %w", l.subject, field, cause))
}

// number covers counts, shares and durations.
type number interface {
	~int | ~int64 | ~float64
}

// Positive adds a finding unless the value is more than zero.
func Positive[N number](l *List, field string, value N) {
	l.Require(value > 0, field, "got %v, want more than 0", value)
}

// AtLeast adds a finding if the value is less than the minimum.
func AtLeast[N number](l *List, field string, value, minimum N) {
	l.Require(value >= minimum, field, "got %v, want at least %v", value, minimum)
}
