package controlnode

import (
	"sync"

	"filberthook/internal/peer"
)

// clientPool keeps one client for each address.
type clientPool struct {
	options peer.Options

	mu      sync.Mutex
	clients map[string]*peer.Client // by address; nil once closed
}

func newClientPool(options peer.Options) *clientPool {
	return &clientPool{options: options, clients: map[string]*peer.Client{}}
}

// get returns the client of an address. After close it returns a client that
// the caller's calls alone keep open.
func (p *clientPool) get(address string) *peer.Client {
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

// close ends all connections.
func (p *clientPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.clients {
		c.Close()
	}
	p.clients = nil
}
