// Package compress compresses connections between daemons. Most of the headers of a message
// repeat those of the messages before it. Each direction of a connection is therefore sent in
// frames. A frame is deflated if that makes it smaller; the data of earlier frames of the same
// direction are then part of the dictionary.
//
// The end that opens the connection sends a preface. A frame is one byte of type, the length of
// the payload as an unsigned varint, and the payload: the data, raw or deflated, followed by
// the CRC-32C of all payloads and data of the direction so far. Without the checksum, damage to a
// frame could yield bytes that were not sent.
package compress

import (
	"bytes"
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// preface starts a compressed connection; the end that opened the connection sends it. An HTTP
// server that does not know the preface rejects it as a malformed request line. Without the line
// feed the server would wait for one until its timeout, because a frame need not contain one.
const preface = "CFZ1\n"

const (
	// minRawWrite is the length from which a write is sent raw, in bytes: compressing long
	// bodies is rarely worth the processor time.
	minRawWrite = 16 << 10
	// copyBytes is the length of the writes in which a body is copied to a connection, in bytes.
	copyBytes = 32 << 10
	// minSeparateBody is the length from which a binary body gets a frame of its own, in bytes.
	minSeparateBody = 128
	// minBinaryPart is the fraction of bytes outside ASCII from which a body counts as binary.
	minBinaryPart = 0.25
)

// ErrNotAccepted is the error of a connection whose other end has rejected the preface as a
// malformed request. The other end has run no request: everything that it received follows the
// preface.
var ErrNotAccepted = errors.New("other end does not accept compressed connections")

// errDamaged is the error of a connection on which data arrived that is not a valid frame.
var errDamaged = errors.New("compressed connection is damaged")

// Metrics counts the bytes of compressed connections before compression, at the end that opened
// them.
type Metrics struct {
	in, out metrics.Counter
}

// NewMetrics registers the counters.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		in:  metrics.GetOrRegisterCounter("compress.in_bytes", r),
		out: metrics.GetOrRegisterCounter("compress.out_bytes", r),
	}
}

// Bytes returns the bytes read and written so far.
func (m *Metrics) Bytes() (in, out int64) { return m.in.Count(), m.out.Count() }

// Dialed is the end of a compressed connection that opened it. Safe for concurrent use.
type Dialed struct {
	passThrough
	in  reader
	out writer
}

// Conn returns a compressed connection over one that has just been opened. The other end must
// accept connections through Listener. m counts the bytes; it may be nil.
func Conn(c net.Conn, m *Metrics) *Dialed {
	return &Dialed{
		passThrough: passThrough{c},
		in:          reader{metrics: m, mayBeRejected: true},
		out:         writer{metrics: m, preface: preface},
	}
}

// Read implements net.Conn.
func (d *Dialed) Read(p []byte) (int, error) { return d.in.read(d.Conn, p) }

// Write implements net.Conn.
func (d *Dialed) Write(p []byte) (int, error) { return d.out.write(d.Conn, p) }

// ReadFrom implements io.ReaderFrom, so that a long body is not written in the small blocks of a
// bufio.Writer.
func (d *Dialed) ReadFrom(r io.Reader) (int64, error) { return copyFrom(d, r) }

// Buffered returns the number of bytes that have arrived and were not read, including those of
// an incomplete frame. It blocks while a Read is in progress.
func (d *Dialed) Buffered() int { return d.in.buffered() }

// passThrough is the connection below a compressed one. Besides net.Conn it has the methods of
// a TCP connection that are called on compressed connections.
type passThrough struct{ net.Conn }

// CloseWrite closes the direction in which this end sends.
func (c passThrough) CloseWrite() error {
	cw, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.Errorf("connection of type %T has no half-close", c.Conn)
	}
	return cw.CloseWrite()
}

// SyscallConn implements syscall.Conn.
func (c passThrough) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("connection of type %T has no file descriptor", c.Conn)
	}
	return sc.SyscallConn()
}

// copyBufferPool holds buffers of copyBytes.
var copyBufferPool = sync.Pool{New: func() any {
	b := make([]byte, copyBytes)
	return &b
}}

// copyFrom copies r to w with a pooled buffer.
func copyFrom(w io.Writer, r io.Reader) (int64, error) {
	b := copyBufferPool.Get().(*[]byte)
	defer copyBufferPool.Put(b)
	// The struct types hide ReadFrom and WriteTo, which would not use the buffer.
	return io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, *b)
}

// split returns the length of the first frame of a short write. Binary bodies are separated from
// the headers before them: in the same frame, they would lengthen the codes of the headers, and
// the body could not be sent raw.
func split(p []byte) int {
	end := bytes.Index(p, []byte("\r\n\r\n"))
	if end < 0 {
		return len(p)
	}
	body := p[end+len("\r\n\r\n"):]
	if len(body) < minSeparateBody || !binaryData(body) {
		return len(p)
	}
	return len(p) - len(body)
}

// binaryData reports whether at least minBinaryPart of the bytes are outside ASCII.
func binaryData(p []byte) bool {
	n := 0
	for _, b := range p {
		n += int(b >> 7)
	}
	return float64(n) >= minBinaryPart*float64(len(p))
}
