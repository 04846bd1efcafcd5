package edge

import (
	"birchwood.example/birchwood/header"
	"birchwood.example/birchwood/recordstore"
	"birchwood.example/birchwood/replica"
	"birchwood.example/birchwood/routing"
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
	// Replica reads a record of the replicas' stream.
	Replica(key string, value []byte) (replica.Entry, error)
}
