package compress

import (
	"encoding/binary"
	"hash/crc32"
	"net"
	"sync"

	"github.com/klauspost/compress/flate"
	"github.com/pkg/errors"
)

const (
	// typeRaw and typeDeflated are the types of frames.
	typeRaw      = 0
	typeDeflated = 1
	// maxFrame is the maximum size of the data of a frame, in bytes.
	maxFrame = 64 << 10
	// checksumBytes is the length of the checksum at the end of a payload.
	checksumBytes = 4
	// minPayload and maxPayload bound the length of a payload.
	minPayload = 1 + checksumBytes
	maxPayload = maxFrame + checksumBytes
	// maxHead is the maximum length of the head of a frame: its type and the length of its payload.
	maxHead = 1 + 3
	// minFrameBytes is the length of the shortest frame, including its head.
	minFrameBytes = 2 + minPayload
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// writer writes the frames of one direction of a connection.
type writer struct {
	// metrics counts the data, or is nil.
	metrics *Metrics

	mu sync.Mutex
	// preface is sent before the first frame. It is empty once it has been sent.
	preface string
	history history
	// sum is the checksum of all payloads and all data so far.
	sum uint32
	// err is the error of the first write that failed. The other end may have received a part of
	// a frame, so that no further frame can be sent.
	err error
}

// frames is a buffer in which frames are built before they are sent.
type frames struct {
	dictionary []byte
	buf        []byte
}

// Write appends a part of a deflated payload. It implements io.Writer for package flate.
func (f *frames) Write(p []byte) (int, error) {
	f.buf = append(f.buf, p...)
	return len(p), nil
}

var framesPool = sync.Pool{New: func() any { return &frames{} }}

// write sends p. If p is shorter than minRawWrite, it is sent with one write to the connection,
// otherwise with one for each frame.
func (w *writer) write(c net.Conn, p []byte) (written int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil || len(p) == 0 {
		return 0, w.err
	}
	f := framesPool.Get().(*frames)
	defer framesPool.Put(f)
	raw := len(p) >= minRawWrite
	for written < len(p) {
		f.buf = append(f.buf[:0], w.preface...)
		n := 0
		if raw {
			n = min(maxFrame, len(p)-written)
			w.appendRaw(f, p[written:written+n])
			w.history.add(p[written : written+n])
		} else {
			n = len(p)
			head := split(p)
			w.appendShort(f, p[:head])
			w.appendShort(f, p[head:])
		}
		if _, err := c.Write(f.buf); err != nil {
			w.err = err
			return written, err
		}
		w.preface = ""
		written += n
		if w.metrics != nil {
			w.metrics.out.Inc(int64(n))
		}
	}
	return written, nil
}

// appendShort appends a frame with the data, deflated if that makes the frame smaller. Nothing is
// appended for empty data.
func (w *writer) appendShort(f *frames, data []byte) {
	if len(data) == 0 {
		return
	}
	if !w.appendDeflated(f, data) {
		w.appendRaw(f, data)
	}
	w.history.add(data)
}

// appendDeflated appends a deflated frame. False: the frame would not be smaller than a raw one,
// and nothing was appended.
func (w *writer) appendDeflated(f *frames, data []byte) bool {
	f.dictionary = w.history.appendDictionary(f.dictionary[:0])
	start := len(f.buf)
	f.buf = append(f.buf, make([]byte, maxHead)...) // room for the head, whose length is not known yet
	// The stateless compressor keeps no memory besides its bit writer; a compressor of another
	// level takes a megabyte. StatelessDeflate returns only errors of f.Write, which has none.
	_ = flate.StatelessDeflate(f, data, true, f.dictionary)
	deflated := f.buf[start+maxHead:]
	if len(deflated) >= len(data) {
		f.buf = f.buf[:start]
		return false
	}
	f.buf = appendHead(f.buf[:start], typeDeflated, len(deflated))
	f.buf = append(f.buf, deflated...)
	// The deflated data count too: the last byte of them has bits that do not affect the inflated
	// data, so that a checksum of these alone would miss damage to those bits.
	w.sum = crc32.Update(w.sum, castagnoli, f.buf[len(f.buf)-len(deflated):])
	w.appendChecksum(f, data)
	return true
}

// appendRaw appends a raw frame.
func (w *writer) appendRaw(f *frames, data []byte) {
	f.buf = appendHead(f.buf, typeRaw, len(data))
	f.buf = append(f.buf, data...)
	w.appendChecksum(f, data)
}

func appendHead(b []byte, frameType byte, dataBytes int) []byte {
	return binary.AppendUvarint(append(b, frameType), uint64(dataBytes+checksumBytes))
}

// appendChecksum appends the checksum after the data of a frame.
func (w *writer) appendChecksum(f *frames, data []byte) {
	w.sum = crc32.Update(w.sum, castagnoli, data)
	f.buf = binary.LittleEndian.AppendUint32(f.buf, w.sum)
}

// cutChecksum returns the payload without its checksum, and the checksum.
func cutChecksum(payload []byte) (rest []byte, sum uint32, err error) {
	if len(payload) < minPayload {
		return nil, 0, errors.Wrap(errDamaged, "payload too short")
	}
	end := len(payload) - checksumBytes
	return payload[:end], binary.LittleEndian.Uint32(payload[end:]), nil
}
