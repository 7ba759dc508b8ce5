// Package fault is a TCP proxy that injects faults between processes. It accepts
// connections in place of a listener and delays, closes, silences or refuses them by
// rules that depend on the client's source address.
package fault

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Rule describes the faults injected into a connection.
type Rule struct {
	// Refuse closes new connections at once.
	Refuse bool
	// DropUp and DropDown discard bytes towards the server and the client. Once bytes
	// have been discarded, the connection delivers nothing more in that direction,
	// because the stream would have a gap.
	DropUp   bool
	DropDown bool
	// Delay is added to each chunk read, in both directions.
	Delay time.Duration
	// CloseAfterBytesDown closes a connection after that many bytes towards the
	// client. Zero means never.
	CloseAfterBytesDown int64
}

// RuleFunc returns the rule for connections from a client's IP address.
type RuleFunc func(clientIP string) Rule

// Proxy forwards connections to one listener.
type Proxy struct {
	ln      net.Listener
	target  atomic.Pointer[string]
	ruleFor atomic.Pointer[RuleFunc]

	mu    sync.Mutex
	conns map[*connPair]bool
}

// connPair is a client's connection and the matching connection to the server.
type connPair struct {
	client net.Conn
	server net.Conn
	ip     string
	silent atomic.Bool
	// droppedUp and droppedDown are set once bytes have been discarded in that direction.
	droppedUp   atomic.Bool
	droppedDown atomic.Bool
	bytesDown   atomic.Int64
}

// Listen starts a proxy on a free port of the IP address.
func Listen(ip string) (*Proxy, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	p := &Proxy{ln: ln, conns: map[*connPair]bool{}}
	p.SetRules(nil)
	go p.serve()
	return p, nil
}

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (p *Proxy) SetTarget(addr string) { p.target.Store(&addr) }

// SetRules replaces the rules. A nil function removes all faults, except that silenced
// connections stay silent. Open connections of clients that are now refused are closed.
func (p *Proxy) SetRules(d RuleFunc) {
	if d == nil {
		d = func(string) Rule { return Rule{} }
	}
	p.ruleFor.Store(&d)
	for _, c := range p.openPairs() {
		if d(c.ip).Refuse {
			c.close()
		}
	}
}

// SilenceConnections discards all further bytes of the open connections in both
// directions without closing them. New connections are not affected.
func (p *Proxy) SilenceConnections() {
	for _, c := range p.openPairs() {
		c.silent.Store(true)
	}
}

// CloseConnections closes the open connections.
func (p *Proxy) CloseConnections() {
	for _, c := range p.openPairs() {
		c.close()
	}
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	p.ln.Close()
	p.CloseConnections()
}

func (p *Proxy) openPairs() []*connPair {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*connPair, 0, len(p.conns))
	for c := range p.conns {
		list = append(list, c)
	}
	return list
}

func (p *Proxy) rule(c *connPair) Rule { return (*p.ruleFor.Load())(c.ip) }

func (p *Proxy) serve() {
	for {
		client, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	ip, _, _ := net.SplitHostPort(client.RemoteAddr().String())
	c := &connPair{client: client, ip: ip}
	target := p.target.Load()
	if target == nil || p.rule(c).Refuse {
		client.Close()
		return
	}
	server, err := net.Dial("tcp", *target)
	if err != nil {
		client.Close()
		return
	}
	c.server = server
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	go p.copy(c, server, client, true)
	p.copy(c, client, server, false)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (c *connPair) close() {
	c.client.Close()
	c.server.Close()
}

// drops reports whether bytes in this direction are discarded.
func (c *connPair) drops(r Rule, up bool) bool {
	lost, drop := &c.droppedDown, r.DropDown
	if up {
		lost, drop = &c.droppedUp, r.DropUp
	}
	if drop || c.silent.Load() {
		lost.Store(true)
	}
	return lost.Load()
}

const chunkBytes = 16 << 10

// copy forwards bytes until either end closes or the rule closes the connection.
func (p *Proxy) copy(c *connPair, dst io.Writer, src io.Reader, up bool) {
	defer c.close()
	buf := make([]byte, chunkBytes)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		r := p.rule(c)
		if r.Delay > 0 {
			time.Sleep(r.Delay)
		}
		if c.drops(r, up) {
			continue
		}
		out := buf[:n]
		closeAfter := false
		if !up && r.CloseAfterBytesDown > 0 {
			remaining := r.CloseAfterBytesDown - c.bytesDown.Load()
			closeAfter = int64(n) >= remaining
			out = buf[:max(0, min(int64(n), remaining))]
		}
		if !up {
			c.bytesDown.Add(int64(len(out)))
		}
		if _, err := dst.Write(out); err != nil || closeAfter {
			return
		}
	}
}
