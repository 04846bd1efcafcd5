package edge

import (
	"birchwood.example/birchwood/header"
	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/zone"
)

// Adapter connects a node with its platform. Each platform implements it in its own
// package, which translates formats and makes no decisions.
type Adapter struct {
	Store      recordstore.Store
	Translator Translator
	Names      header.Names
	// ReadyPath is the path of the platform's readiness probe.
	ReadyPath string
}

// Translator decodes the values of the store's streams.
type Translator interface {
	// Configuration decodes a record of the configuration stream. It returns nil for a
	// record that is not a configuration.
	Configuration(key string, value []byte) (*routing.Table, error)
	// Evacuation decodes a record of the configuration stream that marks a zone as evacuated
	// or not. It returns ok == false for other records.
	Evacuation(key string, value []byte) (name zone.Name, evacuated, ok bool)
	// Replica decodes a record of the replica stream.
	Replica(key string, value []byte) (replica.Entry, error)
}
