package peer

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"sync"

	"github.com/klauspost/compress/flate"
	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// dictBytes is the length of the compression dictionary, which is the longest that
// stateless compression can use. The dictionary is the end of what was sent before, since
// messages repeat the names and keys of the preceding ones. A stateful compressor would
// take most of a megabyte for each connection, and when all daemons start at the same
// time, touching that memory would take more time than everything else.
const dictBytes = 8 << 10

// stream sends messages as consecutive JSON values. Each direction is one compressed
// stream, which is flushed after each message.
type stream struct {
	conn net.Conn
	mu   sync.Mutex
	buf  *bufio.Writer
	// dict holds the last dictBytes bytes sent, uncompressed. It is the dictionary for
	// compressing the next message.
	dict []byte
	// limit bounds what dec reads.
	limit *messageReader
	dec   *json.Decoder
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(c net.Conn) *stream {
	limit := &messageReader{Reader: flate.NewReader(bufio.NewReader(c))}
	return &stream{conn: c, buf: bufio.NewWriter(c), limit: limit, dec: json.NewDecoder(limit)}
}

// maxMessageBytes bounds one message, uncompressed: a few compressed bytes can stand for any
// number. Snapshots of thousands of daemons have a few MiB.
const maxMessageBytes = 64 << 20

var errMessageTooLong = errors.New("control message is too long")

// messageReader returns errMessageTooLong once left bytes have been read.
type messageReader struct {
	io.Reader
	left int
}

// Read implements io.Reader.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errMessageTooLong
	}
	n, err := r.Reader.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, err
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(obj any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, err := json.Marshal(obj)
	if err != nil {
		return err
	}
	if err := flate.StatelessDeflate(s.buf, b, false, s.dict); err != nil {
		return errors.Wrap(err, "compress control message")
	}
	s.updateDict(b)
	return s.buf.Flush()
}

// updateDict appends the message sent to the dictionary and drops what is too old for it.
func (s *stream) updateDict(b []byte) {
	if len(b) >= dictBytes {
		s.dict = append(s.dict[:0], b[len(b)-dictBytes:]...)
		return
	}
	if excess := len(s.dict) + len(b) - dictBytes; excess > 0 {
		s.dict = append(s.dict[:0], s.dict[excess:]...)
	}
	s.dict = append(s.dict, b...)
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	s.limit.left = maxMessageBytes
	return s.dec.Decode(v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }
