package compress

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Listener returns a listener whose connections are compressed if the other end begins them with
// the preface, and unchanged otherwise.
func Listener(ln net.Listener) net.Listener { return &listener{ln} }

type listener struct{ net.Listener }

// Accept implements net.Listener. It does not wait for the preface.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &accepted{passThrough: passThrough{c}}, nil
}

// accepted is a connection that was accepted. Safe for concurrent use.
type accepted struct {
	passThrough
	// compressed is set once the preface has arrived. plain is set once bytes have arrived that
	// are not the preface, and all of them were read.
	compressed atomic.Pointer[frameConn]
	plain      atomic.Bool

	// mu guards the fields below.
	mu sync.Mutex
	// first holds the firstLen bytes that were read to recognize the preface. Those before
	// offset have been returned by Read.
	first    [len(preface)]byte
	firstLen int
	offset   int
	// differs is set if the bytes in first are not the preface.
	differs bool
}

// frameConn holds the state of both directions of a compressed connection.
type frameConn struct {
	in  reader
	out writer
}

// Read implements net.Conn.
func (a *accepted) Read(p []byte) (int, error) {
	if !a.plain.Load() && a.compressed.Load() == nil {
		if n, err := a.readFirst(p); n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
	}
	if f := a.compressed.Load(); f != nil {
		return f.in.read(a.Conn, p)
	}
	return a.Conn.Read(p)
}

// readFirst reads until it is known whether the connection is compressed. If the connection is not
// compressed, readFirst returns the bytes in first. Zero bytes without an error: the caller must
// read from the connection, compressed or plain.
func (a *accepted) readFirst(p []byte) (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for !a.differs && a.firstLen < len(preface) {
		n, err := a.Conn.Read(a.first[a.firstLen:])
		a.firstLen += n
		if n == 0 && err != nil {
			if e, ok := err.(net.Error); a.firstLen == 0 || ok && e.Timeout() {
				return 0, err
			}
			a.differs = true // the next read returns the error
		}
		a.differs = a.differs || string(a.first[:a.firstLen]) != preface[:a.firstLen]
	}
	if !a.differs {
		a.compressed.CompareAndSwap(nil, &frameConn{})
		return 0, nil
	}
	n := copy(p, a.first[a.offset:a.firstLen])
	a.offset += n
	if a.offset == a.firstLen {
		a.plain.Store(true)
	}
	return n, nil
}

// Write implements net.Conn.
func (a *accepted) Write(p []byte) (int, error) {
	if f := a.compressed.Load(); f != nil {
		return f.out.write(a.Conn, p)
	}
	return a.Conn.Write(p)
}

// ReadFrom implements io.ReaderFrom, which http.Server calls for bodies that are copied to a
// response, as it does on a TCP connection.
func (a *accepted) ReadFrom(r io.Reader) (int64, error) {
	if rf, ok := a.Conn.(io.ReaderFrom); ok && a.compressed.Load() == nil {
		return rf.ReadFrom(r)
	}
	return copyFrom(a, r)
}
