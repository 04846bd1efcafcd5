package httpclient

import "sync"

// Pool holds one client per address, all with the same limits, token and zone. It
// is safe for concurrent use.
type Pool struct {
	options Options
	mutex   sync.Mutex
	clients map[string]*Client
}

// NewPool returns an empty pool. It ignores the Address of the options.
func NewPool(options Options) *Pool {
	return &Pool{options: options, clients: make(map[string]*Client)}
}

// Client returns the client of an address, creating it on the first call.
func (p *Pool) Client(address string) *Client {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	client := p.clients[address]
	if client == nil {
		options := p.options
		options.Address = address
		client = New(options)
		p.clients[address] = client
	}
	return client
}

// Close closes the idle connections of every client.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, client := range p.clients {
		client.Close()
	}
}
