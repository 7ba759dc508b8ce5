package bed2

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Request is a client attempt.
type Request struct {
	Method, Host, Path, ID, Key string
	Body                        []byte
	Deadline                    time.Duration
}

// Answer is what a client has got for an attempt.
type Answer struct {
	Sent, Got time.Time
	Status    int
	Header    http.Header
	Body      []byte
	// Err is set if there is no complete answer.
	Err error
}

// FromWorker reports whether the answer is a worker's own.
func (a Answer) FromWorker() bool { return a.Err == nil && a.Header.Get("X-Response-Signature") != "" }

// String describes the answer for the record.
func (a Answer) String() string {
	took := a.Got.Sub(a.Sent).Milliseconds()
	if a.Err != nil {
		return fmt.Sprintf("no complete answer after %d ms: %v", took, a.Err)
	}
	whose := "the daemon's own"
	if a.FromWorker() {
		whose = "the worker's"
	}
	return fmt.Sprintf("%d, %s, %d bytes after %d ms", a.Status, whose, len(a.Body), took)
}

// Send sends an attempt to the machine's daemon on a new connection and waits for the answer, at most
// until a second after the deadline.
func (m *Machine) Send(req Request) Answer {
	m.d.Record.Printf("client: sends %s %s to %s, %d bytes, deadline %v", req.ID, req.Path, m.Name, len(req.Body), req.Deadline)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	defer transport.CloseIdleConnections()
	a := m.sendOver(transport, req)
	m.d.Record.Printf("client: %s at %s: %v", req.ID, m.Name, a)
	return a
}

func (m *Machine) sendOver(transport *http.Transport, req Request) (a Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), req.Deadline+time.Second)
	defer cancel()
	defer func() { a.Got = time.Now() }()
	a.Sent = time.Now()
	r, err := http.NewRequestWithContext(ctx, req.Method, "http://"+m.Outbound+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = req.Host
	r.Header.Set("X-Request-Id", req.ID)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(req.Deadline.Milliseconds(), 10))
	if req.Key != "" {
		r.Header.Set("X-Key", req.Key)
	}
	res, err := transport.RoundTrip(r)
	if err != nil {
		a.Err = err
		return a
	}
	defer res.Body.Close()
	a.Status, a.Header = res.StatusCode, res.Header
	a.Body, a.Err = io.ReadAll(res.Body)
	return a
}

// Client sends its attempts on one connection, which it keeps.
type Client struct {
	m         *Machine
	transport *http.Transport
}

// NewClient returns a client of the machine's daemon.
func (m *Machine) NewClient() *Client {
	return &Client{m: m, transport: &http.Transport{
		MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
}

// Send is Machine.Send on the client's connection.
func (c *Client) Send(req Request) Answer {
	c.m.d.Record.Printf("client: sends %s %s to %s on a kept connection, %d bytes, deadline %v", req.ID, req.Path, c.m.Name, len(req.Body), req.Deadline)
	a := c.m.sendOver(c.transport, req)
	c.m.d.Record.Printf("client: %s at %s: %v", req.ID, c.m.Name, a)
	return a
}

// Close closes the client's connection.
func (c *Client) Close() { c.transport.CloseIdleConnections() }
