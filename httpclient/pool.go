package httpclient

import "sync"

// Pool keeps one client per address, all with the same limits and identity.
// It is safe for concurrent use.
type Pool struct {
	options Options
	mutex   sync.Mutex
	clients map[string]*Client
}

// NewPool returns a pool without clients. The options' Address is not used.
func NewPool(options Options) *Pool {
	return &Pool{options: options, clients: make(map[string]*Client)}
}

// Client returns the client of an address, made at the first call.
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
