// Package fault is a TCP proxy that injects faults between processes: it
// stands in front of a listener, tells the clients apart by their source
// address, and delays, cuts, silences or refuses their connections.
package fault

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Rule is what happens to a connection.
type Rule struct {
	// Refuse closes new connections at once.
	Refuse bool
	// DropUp and DropDown swallow bytes towards the server and the client. A
	// connection that has lost bytes stays silent in that direction for good.
	DropUp   bool
	DropDown bool
	// Delay is added to each chunk in both directions.
	Delay time.Duration
	// CloseAfterBytesDown breaks a connection after that many bytes towards the
	// client. Zero: never.
	CloseAfterBytesDown int64
}

// RuleFunc returns the rule for a client at this IP.
type RuleFunc func(clientIP string) Rule

// Proxy stands in front of one listener.
type Proxy struct {
	ln      net.Listener
	target  atomic.Pointer[string]
	ruleFor atomic.Pointer[RuleFunc]

	mu    sync.Mutex
	conns map[*connPair]bool
}

// connPair is a client's connection and the one to the server.
type connPair struct {
	client net.Conn
	server net.Conn
	ip     string
	silent atomic.Bool
	// droppedUp and lostDown are set once bytes were swallowed.
	droppedUp   atomic.Bool
	droppedDown atomic.Bool
	bytesDown   atomic.Int64
}

// Listen opens a proxy on a free port of the IP.
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

// Addr returns where the proxy listens.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// SetTarget sets the address that connections are passed on to.
func (p *Proxy) SetTarget(addr string) { p.target.Store(&addr) }

// SetRules replaces the rules; nil heals everything but silenced connections. Open
// connections whose clients are refused now are broken.
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

// SilenceConnections makes the open connections silent for good in both directions,
// without closing them. New connections work.
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

// Close ends the proxy and its connections.
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

// drops reports whether bytes in this direction are lost.
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

// copy passes bytes on until either end closes or the rule cuts.
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
