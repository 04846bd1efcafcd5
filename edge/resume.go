package edge

import (
	"birchwood.example/birchwood/ledger"
	"birchwood.example/birchwood/replica"
)

// bindOrigin makes the replica that sends the first event of a stream its origin.
func (r *requestState) bindOrigin(entry replica.Entry) {
	if r.origin == nil && r.route.Resumable {
		r.origin = &ledger.StreamOrigin{Service: entry.Service, Version: entry.Version}
	}
}
