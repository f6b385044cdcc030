package raftnet

import (
	"sync"

	"filberthook/internal/network/peer"
)

// Pool keeps one client for each address, and one more for messages that must not queue behind
// large ones.
type Pool struct {
	options peer.Options

	mu      sync.Mutex
	clients map[connection]*peer.Client // nil once closed
}

// connection names one of the connections to an address.
type connection struct {
	address string
	urgent  bool
}

func NewPool(options peer.Options) *Pool {
	return &Pool{options: options, clients: map[connection]*peer.Client{}}
}

// Get returns the client of an address. After Close it returns a closed client.
func (p *Pool) Get(address string) *peer.Client { return p.get(connection{address: address}) }

func (p *Pool) get(to connection) *peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[to]; ok {
		return c
	}
	c := peer.NewClient(to.address, p.options)
	if p.clients == nil {
		_ = c.Close() // it has no connection
		return c
	}
	p.clients[to] = c
	return c
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
	p.clients = nil
}
