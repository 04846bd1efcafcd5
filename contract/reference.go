package contract

import "encoding/json"

// Description tells what one value of a branch is, for the reference page.
type Description struct {
	Name string
	// Kind is its type and range in words.
	Kind string
	// Default is the value in JSON of a root that does not set it; empty for
	// lists that are not inherited.
	Default     string
	Inherited   bool
	Description string
}

// Descriptions returns every value that a branch can set.
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
