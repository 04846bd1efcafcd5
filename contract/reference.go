package contract

import "encoding/json"

// Description documents one value of a branch for the reference page.
type Description struct {
	Name string
	// Kind describes the type and range.
	Kind string
	// Default is the default value in JSON; empty for lists that are not
	// inherited.
	Default     string
	Inherited   bool
	Description string
}

// Descriptions returns a description of every value that a branch can set.
func Descriptions() ([]Description, error) {
	values := defaults()
	descriptions := make([]Description, len(fields))
	for index := range fields {
		field := &fields[index]
		descriptions[index] = Description{Name: field.name, Kind: field.kind, Inherited: field.inherited, Description: field.description}
		if !field.inherited {
			continue
		}
		value, err := json.Marshal(field.value(&values))
		if err != nil {
			return nil, err
		}
		descriptions[index].Default = string(value)
	}
	return descriptions, nil
}
