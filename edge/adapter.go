package edge

import (
	"birchwood.example/birchwood/header"
	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
	"birchwood.example/birchwood/zone"
)

// Adapter is what a node needs of its platform. A package of its own
// implements it for one platform; it translates and decides nothing.
type Adapter struct {
	Store      recordstore.Store
	Translator Translator
	Names      header.Names
	// ReadyPath is where the platform asks whether the node is ready.
	ReadyPath string
}

// Translator reads the values of the store's streams.
type Translator interface {
	// Configuration reads a record of the configuration's stream. It returns
	// nil for a record that is no configuration.
	Configuration(key string, value []byte) (*routing.Table, error)
	// Evacuation reads a record of the configuration's stream that tells whether a zone
	// is evacuated. It returns false for a record that is something else.
	Evacuation(key string, value []byte) (name zone.Name, evacuated, ok bool)
	// Replica reads a record of the replicas' stream.
	Replica(key string, value []byte) (replica.Entry, error)
}
