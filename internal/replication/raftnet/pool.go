package raftnet

import (
	"sync"

	"filberthook/internal/network/peer"
)

// Pool keeps one client for each address.
type Pool struct {
	options peer.Options

	mu      sync.Mutex
	clients map[string]*peer.Client // by address; nil once closed
}

func NewPool(options peer.Options) *Pool {
	return &Pool{options: options, clients: map[string]*peer.Client{}}
}

// Get returns the client of an address. After Close it returns a new client that the
// pool does not track.
func (p *Pool) Get(address string) *peer.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.clients[address]; ok {
		return c
	}
	c := peer.NewClient(address, p.options)
	if p.clients != nil {
		p.clients[address] = c
	}
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
