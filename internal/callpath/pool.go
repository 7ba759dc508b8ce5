package callpath

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/compress"
	"github.com/comfreygate/comfreygate/internal/crossdomain"
	"github.com/comfreygate/comfreygate/internal/outcome"
	"github.com/comfreygate/comfreygate/internal/response"
	"github.com/comfreygate/comfreygate/internal/tcp"
)

// pool sends requests over pooled connections to one address, one request at a time on
// each connection. Unlike http.Transport it never sends a request twice, and it runs on
// the caller's goroutine: waking the transport's two extra goroutines for each request
// costs more than the rest of a hop. It is safe for concurrent use.
type pool struct {
	dialer *net.Dialer
	addr   string
	// idleTimeout is how long an idle connection is kept.
	idleTimeout time.Duration
	dialect     Dialect
	limits      responseLimits
	// unackedTimeout limits how long sent bytes may stay unacknowledged; zero means the
	// system's default, which is minutes.
	unackedTimeout time.Duration
	// open counts the open connections of this pool and others; nil: they are not counted.
	open *openConns
	// crossDomain counts the bytes of the connections for the purposes of their requests; nil:
	// they are not counted.
	crossDomain *crossdomain.Counters
	// compress is set if new connections are compressed. compressed counts the bytes of
	// compressed connections; nil: they are not counted.
	compress   atomic.Bool
	compressed *compress.Metrics
	// tokens holds one token per open connection; nil if their number is unlimited.
	tokens chan struct{}
	// createdAt is when the pool was created. heardAt is when anything was last received from the
	// address, in nanoseconds since then: the difference of two such times does not change with the
	// clock of the VM.
	createdAt time.Time
	heardAt   atomic.Int64

	mu     sync.Mutex
	idle   []*clientConn
	reaper *time.Timer
}

// clientConn is a pooled connection.
type clientConn struct {
	net.Conn
	pool *pool
	// counted counts the bytes of the connection, or is nil.
	counted *crossdomain.Conn
	// compressed is the compressed connection over Conn, or nil.
	compressed *compress.Dialed
	// head bounds what br reads from the connection.
	head      *headReader
	br        *bufio.Reader
	bw        *bufio.Writer
	idleSince time.Time
	// reused is set if the connection was idle in the pool before, and so may have carried a response.
	reused bool
	// upload is the body of the current request that is being sent while the response is awaited, or nil
	// if the body was sent before.
	upload *upload
	// closing counts the connection as closed, once.
	closing sync.Once
	// notReusable is set once the connection must not be reused. Only the goroutine that
	// holds the connection accesses it.
	notReusable bool
}

// dialError reports that no connection could be opened, so that nothing was sent.
type dialError struct{ err error }

// Error returns the message of the cause.
func (e *dialError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.err }

// withheldError reports that a request was not sent because its caller disconnected or
// its deadline passed while it waited for a connection.
type withheldError struct{ reason outcome.Reason }

// Error implements error.
func (e *withheldError) Error() string { return "request not sent: " + string(e.reason) }

// notSent reports whether an error of do proves that no connection could be opened and
// nothing was sent.
func notSent(err error) bool {
	var d *dialError
	return errors.As(err, &d)
}

// withheldReason returns the reason why a request was withheld, and whether it was.
func withheldReason(err error) (outcome.Reason, bool) {
	var withheld *withheldError
	if !errors.As(err, &withheld) {
		return "", false
	}
	return withheld.reason, true
}

// preSendCheck is called with a request once its connection is available, before any of
// it is sent. waited is how long the request waited for the connection. If it returns a
// reason, the request is not sent.
type preSendCheck func(req *http.Request, waited time.Duration) outcome.Reason

// newPool returns a pool that opens at most maxConns connections, or any number if
// maxConns is 0.
func newPool(dialer *net.Dialer, addr string, maxConns int, idleTimeout time.Duration, dialect Dialect, limits responseLimits) *pool {
	p := &pool{dialer: dialer, addr: addr, idleTimeout: idleTimeout, dialect: dialect, limits: limits, createdAt: time.Now()}
	if maxConns > 0 {
		p.tokens = make(chan struct{}, maxConns)
	}
	return p
}

// do sends a request and reads the head of the response. When ctx ends, the request's
// connection is aborted, even while the response's body is being read. The caller must
// close the body. A refusal that may belong to no request is confirmed by a health check at the
// path that confirm returns.
func (p *pool) do(ctx context.Context, req *http.Request, check preSendCheck, confirm healthPathFor) (*http.Response, error) {
	return p.doFor(ctx, crossdomain.Uncounted, req, check, confirm)
}

// doFor is do for a request whose bytes are counted for a purpose.
func (p *pool) doFor(ctx context.Context, purpose crossdomain.Purpose, req *http.Request, check preSendCheck, confirm healthPathFor) (*http.Response, error) {
	began := time.Now()
	c, err := p.get(ctx)
	if err != nil {
		return nil, &dialError{err}
	}
	if reason := check(req, time.Since(began)); reason != "" {
		p.put(c)
		return nil, &withheldError{reason}
	}
	if c.counted != nil {
		c.counted.SetPurpose(purpose)
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	res, err := c.roundTrip(req)
	if err == nil && c.isAmbiguous(res) {
		if path := confirm(); path != "" {
			res, err = c.confirmRefusal(req, res, path)
		}
	}
	if err != nil {
		stop()
		c.discard()
		return nil, err
	}
	p.recordHeard()
	res.Body = &pooledBody{Reader: res.Body, conn: c, stop: stop, reusable: !res.Close, unframed: isUnframed(req, res)}
	return res, nil
}

// recordHeard records that something was received from the address just now.
func (p *pool) recordHeard() { p.heardAt.Store(int64(time.Since(p.createdAt))) }

// lastHeard returns when anything was last received from the address, or when the pool was
// created if nothing was.
func (p *pool) lastHeard() time.Time { return p.createdAt.Add(time.Duration(p.heardAt.Load())) }

func (c *clientConn) roundTrip(req *http.Request) (*http.Response, error) {
	c.upload = nil
	if req.ContentLength < outcome.LongBody {
		if err := c.send(req); err != nil {
			return nil, err
		}
		return c.receive(req, nil)
	}
	up := &upload{done: make(chan struct{})}
	c.upload = up
	content := contentOf(req)
	content.retain()
	body := deferBody(req, c.bw.Flush)
	go func() {
		up.err = c.send(req)
		content.release()
		close(up.done)
	}()
	res, err := c.receive(req, body)
	body.resolve(false)
	select {
	case <-up.done:
		// ErrNotAccepted proves that the request was not run, even if sending it has failed too.
		if err != nil && up.err != nil && !errors.Is(err, compress.ErrNotAccepted) {
			err = up.err
		}
		c.notReusable = c.notReusable || up.err != nil
	default:
		// If the connection were reused, the unsent rest of the body would be read as the
		// start of the next request.
		c.notReusable = true
	}
	return res, err
}

func (c *clientConn) send(req *http.Request) error {
	if err := req.Write(c.bw); err != nil {
		return errors.Wrap(err, "write request")
	}
	return errors.Wrap(c.bw.Flush(), "write request")
}

// receive reads the head of the response to the request. A deferred body is sent when the
// other end responds with 100 Continue.
func (c *clientConn) receive(req *http.Request, body *deferredBody) (*http.Response, error) {
	c.head.left = c.pool.limits.head
	foreignLeft := int64(maxForeignBytes)
	for {
		res, err := c.readHead(req)
		if err != nil {
			return nil, errors.Wrap(err, "read response")
		}
		// Interim (1xx) responses precede the final one.
		if res.StatusCode < http.StatusOK {
			if res.StatusCode == http.StatusContinue {
				body.resolve(true)
			}
			continue
		}
		if !c.pool.dialect.foreign(req, res) {
			return res, errors.Wrap(c.pool.limits.limitBody(res), "read response")
		}
		skipped, err := c.skipForeign(res, foreignLeft)
		if err != nil {
			return nil, err
		}
		foreignLeft -= skipped
	}
}

// readHead reads the head of a response. A malformed one is an error.
func (c *clientConn) readHead(req *http.Request) (*http.Response, error) {
	c.head.limited = c.pool.limits.head > 0
	defer func() { c.head.limited = false }()
	if err := response.CheckVersion10(c.br); err != nil {
		return nil, err
	}
	res, err := http.ReadResponse(c.br, req)
	if err != nil {
		return nil, err
	}
	return res, response.Check(res)
}

// maxForeignBytes bounds the bodies, in bytes, of the responses to other requests that are read and
// discarded before the response to a request.
const maxForeignBytes = 1 << 20

// skipForeign discards a response that belongs to an earlier request: the response to
// this request follows it, and this request may already be running. It returns the size of the
// body, which must be at most limit.
func (c *clientConn) skipForeign(res *http.Response, limit int64) (int64, error) {
	c.notReusable = true
	if res.Close || res.ContentLength > limit {
		return 0, errors.New("cannot skip response to another request: it is too long or closes the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, limit+1))
	if err == nil && n > limit {
		err = errBodyTooLong
	}
	return n, errors.Wrap(err, "skip response to another request")
}

// get returns an idle connection that is still open, or a new one.
func (p *pool) get(ctx context.Context) (*clientConn, error) {
	if p.tokens != nil {
		select {
		case p.tokens <- struct{}{}:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	for c := p.pop(); c != nil; c = p.pop() {
		if time.Since(c.idleSince) < p.idleTimeout && tcp.StillOpen(c.Conn) {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	conn, err := p.dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.returnToken()
		return nil, err
	}
	if err := tcp.SetUnackedTimeout(conn, p.unackedTimeout); err != nil {
		conn.Close()
		p.returnToken()
		return nil, errors.Wrap(err, "set timeout for unacknowledged bytes")
	}
	return newClientConn(p, conn), nil
}

// openConns counts the open connections of several pools. It is safe for concurrent use.
type openConns struct {
	// max is the number of open connections up to which idle ones are kept; zero: any number.
	max   int64
	count atomic.Int64
}

// tooMany reports whether so many connections are open that none is kept when it becomes idle.
func (o *openConns) tooMany() bool { return o != nil && o.max > 0 && o.count.Load() > o.max }

// add adds n open connections.
func (o *openConns) add(n int64) {
	if o != nil {
		o.count.Add(n)
	}
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.closing.Do(func() { c.pool.open.add(-1) })
	return c.Conn.Close()
}

func newClientConn(p *pool, conn net.Conn) *clientConn {
	p.open.add(1)
	c := &clientConn{Conn: conn, pool: p}
	stream := conn
	if p.crossDomain != nil {
		c.counted = p.crossDomain.Conn(conn, crossdomain.Uncounted)
		stream = c.counted
	}
	if p.compress.Load() {
		c.compressed = compress.Conn(stream, p.compressed)
		stream = c.compressed
	}
	c.head = &headReader{Reader: stream}
	c.br, c.bw = bufio.NewReader(c.head), bufio.NewWriter(stream)
	return c
}

// unread reports whether the buffers of the connection hold bytes that were not read.
func (c *clientConn) unread() bool {
	return c.br.Buffered() > 0 || c.compressed != nil && c.compressed.Buffered() > 0
}

func (p *pool) returnToken() {
	if p.tokens != nil {
		<-p.tokens
	}
}

// pop removes and returns the connection that was used most recently, or nil.
func (p *pool) pop() *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// put returns a connection to the pool for the next request.
func (p *pool) put(c *clientConn) {
	if p.open.tooMany() {
		c.discard()
		return
	}
	c.idleSince = time.Now()
	p.mu.Lock()
	p.idle = append(p.idle, c)
	if p.reaper == nil {
		p.reaper = time.AfterFunc(p.idleTimeout, p.reap)
	}
	p.mu.Unlock()
	p.returnToken()
}

// discard closes a connection that must not be reused.
func (c *clientConn) discard() {
	c.Close()
	c.pool.returnToken()
}

// reap closes the connections that have been idle for longer than idleTimeout.
func (p *pool) reap() {
	p.mu.Lock()
	defer p.mu.Unlock()
	expired := 0
	for expired < len(p.idle) && time.Since(p.idle[expired].idleSince) >= p.idleTimeout {
		p.idle[expired].Close()
		expired++
	}
	p.idle = append([]*clientConn(nil), p.idle[expired:]...)
	p.reaper = nil
	if len(p.idle) > 0 {
		p.reaper = time.AfterFunc(p.idleTimeout, p.reap)
	}
}

// closeIdle closes all idle connections.
func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// pooledBody is the body of a response. Close returns the connection to the pool if the
// body was read to its end, and closes it otherwise.
type pooledBody struct {
	io.Reader
	conn     *clientConn
	stop     func() bool
	reusable bool
	// unframed is set if only the end of the connection ends the body.
	unframed bool
	atEOF    bool
	once     sync.Once
}

// Read implements io.Reader.
func (b *pooledBody) Read(buf []byte) (int, error) {
	n, err := b.Reader.Read(buf)
	if n > 0 {
		b.conn.pool.recordHeard()
	}
	if err == io.EOF && b.unframed && b.conn.upload != nil {
		err = b.conn.upload.endOf()
	}
	b.atEOF = b.atEOF || err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (b *pooledBody) Close() error {
	b.once.Do(func() {
		// b.stop reports false if the context has ended: the connection's deadline has
		// been changed then, and the connection cannot be reused.
		complete := b.atEOF && !b.conn.unread()
		if b.stop() && complete && b.reusable && !b.conn.notReusable {
			b.conn.pool.put(b.conn)
			return
		}
		b.conn.discard()
	})
	return nil
}
