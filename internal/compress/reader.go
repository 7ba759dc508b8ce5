package compress

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"net"
	"slices"
	"sync"

	"github.com/klauspost/compress/flate"
	"github.com/pkg/errors"
)

// reader reads the frames of one direction of a connection. Between frames it holds no buffer.
type reader struct {
	// metrics counts the data, or is nil.
	metrics *Metrics

	mu sync.Mutex
	// mayBeRejected is set at the dialing end until its first bytes arrive: a rejection of the
	// preface is the first thing that the other end sends.
	mayBeRejected bool
	// first holds the first firstLen bytes of a frame. It is no longer than the shortest frame, so
	// that it holds nothing of the next frame.
	first    [minFrameBytes]byte
	firstLen int
	// payload is the buffer for the payload of an incomplete frame, or nil. arrived is the number
	// of its bytes that have arrived.
	payload *buffer
	arrived int
	// data holds the data of the last frame from offset on, or is nil if all of it was read.
	data    *buffer
	offset  int
	history history
	// sum is the checksum of all payloads and all data so far.
	sum uint32
	// err is the error that ended the direction.
	err error
}

// buffer is a pooled buffer.
type buffer struct{ b []byte }

var bufferPool = sync.Pool{New: func() any { return &buffer{} }}

// newBuffer returns a pooled buffer of the given length with arbitrary contents.
func newBuffer(length int) *buffer {
	buf := bufferPool.Get().(*buffer)
	buf.b = slices.Grow(buf.b[:0], length)[:length]
	return buf
}

func (r *reader) buffered() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.firstLen
	if r.payload != nil {
		n += r.arrived
	}
	if r.data != nil {
		n += len(r.data.b) - r.offset
	}
	return n
}

// read implements Read of a connection. After a timeout it can be called again; all other
// errors are final.
func (r *reader) read(c net.Conn, p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(p) == 0 {
		return 0, nil
	}
	if r.data == nil {
		if r.err != nil {
			return 0, r.err
		}
		if err := r.readFrame(c); err != nil {
			if e, ok := err.(net.Error); !ok || !e.Timeout() {
				r.end(err)
			}
			return 0, err
		}
	}
	n := copy(p, r.data.b[r.offset:])
	r.offset += n
	if r.offset == len(r.data.b) {
		bufferPool.Put(r.data)
		r.data, r.offset = nil, 0
	}
	if r.metrics != nil {
		r.metrics.in.Inc(int64(n))
	}
	return n, nil
}

// end records the error that ends the direction, and releases the buffer of an incomplete frame
// and the history.
func (r *reader) end(err error) {
	r.err, r.firstLen, r.history = err, 0, history{}
	if r.payload != nil {
		bufferPool.Put(r.payload)
		r.payload = nil
	}
}

// readFrame reads and decodes the rest of a frame. It does not allocate a buffer before a part
// of the frame has arrived.
func (r *reader) readFrame(c net.Conn) error {
	for r.payload == nil {
		n, err := c.Read(r.first[r.firstLen:])
		r.firstLen += n
		if n == 0 && err != nil {
			return r.frameError(err)
		}
		if err := r.parseHead(c); err != nil {
			return err
		}
	}
	for r.arrived < len(r.payload.b) {
		n, err := c.Read(r.payload.b[r.arrived:])
		r.arrived += n
		if n == 0 && err != nil {
			return r.frameError(err)
		}
	}
	payload := r.payload
	r.payload, r.arrived = nil, 0
	defer bufferPool.Put(payload)
	data, err := r.decode(r.first[0], payload.b)
	r.firstLen = 0
	if err != nil {
		return err
	}
	r.history.add(data.b)
	r.data, r.offset = data, 0
	return nil
}

// frameError returns the error of the direction for an error of the connection: io.EOF inside a
// frame becomes io.ErrUnexpectedEOF.
func (r *reader) frameError(err error) error {
	if err == io.EOF && r.firstLen > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseHead parses the head of a frame, its type and its length. It leaves payload nil if more
// bytes are needed.
func (r *reader) parseHead(c net.Conn) error {
	if r.firstLen == 0 {
		return nil
	}
	if r.mayBeRejected && r.first[0] == rejection[0] {
		return r.readRejection(c)
	}
	r.mayBeRejected = false
	if r.first[0] != typeRaw && r.first[0] != typeDeflated {
		return errors.Wrapf(errDamaged, "frame of unknown type %d", r.first[0])
	}
	length, n := binary.Uvarint(r.first[1:min(r.firstLen, maxHead)])
	switch {
	case n == 0 && r.firstLen < maxHead:
		return nil
	case n <= 0:
		return errors.Wrap(errDamaged, "frame without a valid length")
	case length < minPayload || length > maxPayload:
		return errors.Wrapf(errDamaged, "frame with a payload of %d bytes", length)
	}
	r.payload = newBuffer(int(length))
	r.arrived = copy(r.payload.b, r.first[1+n:r.firstLen])
	return nil
}

// rejection is the beginning of the response of an HTTP server that does not know the preface.
const rejection = "HTTP/1.1 400 "

// readRejection returns ErrNotAccepted if the other end has sent a rejection instead of a frame,
// and errDamaged otherwise.
func (r *reader) readRejection(c net.Conn) error {
	var b [len(rejection)]byte
	n := copy(b[:], r.first[:r.firstLen])
	if _, err := io.ReadFull(c, b[n:]); err == nil && string(b[:]) == rejection {
		return ErrNotAccepted
	}
	return errors.Wrap(errDamaged, "no frame received")
}

// inflater is a pooled decompressor.
type inflater struct {
	src        bytes.Reader
	dictionary []byte
	flate      io.ReadCloser
}

var inflaterPool = sync.Pool{New: func() any { return &inflater{flate: flate.NewReader(nil)} }}

// decode returns the data of a frame.
func (r *reader) decode(frameType byte, payload []byte) (*buffer, error) {
	packed, sum, err := cutChecksum(payload)
	if err != nil {
		return nil, err
	}
	var data *buffer
	if frameType == typeRaw {
		data = newBuffer(len(packed))
		copy(data.b, packed)
	} else if data, err = inflate(packed, &r.history); err != nil {
		return nil, err
	} else {
		r.sum = crc32.Update(r.sum, castagnoli, packed)
	}
	r.sum = crc32.Update(r.sum, castagnoli, data.b)
	if r.sum != sum {
		bufferPool.Put(data)
		return nil, errors.Wrap(errDamaged, "wrong checksum")
	}
	return data, nil
}

// inflateStep is the minimum by which the buffer for inflated data grows, in bytes.
const inflateStep = 2 << 10

// inflate returns the data of a deflated payload without its checksum.
func inflate(packed []byte, h *history) (*buffer, error) {
	z := inflaterPool.Get().(*inflater)
	defer func() {
		z.src.Reset(nil)
		inflaterPool.Put(z)
	}()
	z.src.Reset(packed)
	z.dictionary = h.appendDictionary(z.dictionary[:0])
	if err := z.flate.(flate.Resetter).Reset(&z.src, z.dictionary); err != nil {
		return nil, errors.Wrap(err, "reset decompressor")
	}
	data := newBuffer(0)
	for {
		data.b = slices.Grow(data.b, inflateStep)
		n, err := z.flate.Read(data.b[len(data.b):cap(data.b)])
		data.b = data.b[:len(data.b)+n]
		switch {
		case len(data.b) > maxFrame:
			err = errors.Wrap(errDamaged, "frame too long")
		case err == nil:
			continue
		case err != io.EOF:
			err = errors.Wrap(errDamaged, err.Error())
		case len(data.b) == 0 || z.src.Len() > 0:
			err = errors.Wrap(errDamaged, "data do not end with their frame")
		default:
			return data, nil
		}
		bufferPool.Put(data)
		return nil, err
	}
}
