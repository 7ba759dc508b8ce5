package callpath

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/memory"
)

// firstBodyBlock is the size in bytes of the first block of a body, unless the whole body is small. Each
// further block is twice as large, up to maxBlockBytes, so that the memory taken follows what has arrived
// and not what was announced.
const firstBodyBlock = 4 << 10

var (
	errRequestTooLong = errors.New("the body of the request is too long")
	errNoMemory       = errors.New("no memory is left for the body of the request")
)

// Body is the body of a request, which is kept for as long as it may be sent again. A nil body is
// empty. It is safe for concurrent use once it has been read.
type Body struct {
	blocks  [][]byte
	size    int
	account *memory.Account
	// users counts the attempt and the goroutines that are sending the body.
	users atomic.Int32
}

// NewBody returns a body that holds b.
func NewBody(b []byte) *Body {
	body := &Body{blocks: [][]byte{b}, size: len(b)}
	body.users.Store(1)
	return body
}

// readBody reads a body whose announced length may be -1, for unknown. It takes the memory from the
// account. If the body is longer than limit, the error is errRequestTooLong. The caller must release
// the body; it must close the account only if there is an error.
func readBody(r io.Reader, announced, limit int64, account *memory.Account) (*Body, error) {
	if announced > limit {
		return nil, errRequestTooLong
	}
	b := &Body{account: account}
	b.users.Store(1)
	for used := 0; ; {
		if n := len(b.blocks); n == 0 || used == len(b.blocks[n-1]) {
			if int64(b.size) == announced {
				return b, nil
			}
			block := make([]byte, b.nextBlock(announced))
			if !account.Take(int64(len(block))) {
				return nil, errNoMemory
			}
			b.blocks, used = append(b.blocks, block), 0
		}
		last := len(b.blocks) - 1
		n, err := r.Read(b.blocks[last][used:])
		used += n
		b.size += n
		switch {
		case int64(b.size) > limit:
			return nil, errRequestTooLong
		case err == io.EOF:
			b.blocks[last] = b.blocks[last][:used]
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextBlock returns the size of the block that follows those of the body.
func (b *Body) nextBlock(announced int64) int64 {
	size := int64(firstBodyBlock)
	if n := len(b.blocks); n > 0 {
		size = min(2*int64(len(b.blocks[n-1])), maxBlockBytes)
	} else if announced <= memory.SmallBytes {
		size = max(size, announced)
	}
	if announced >= 0 {
		size = min(size, announced-int64(b.size))
	}
	return size
}

// Len returns the size of the body in bytes.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.size
}

// retain keeps the body until a further release.
func (b *Body) retain() {
	if b != nil {
		b.users.Add(1)
	}
}

// release gives the body's memory back once every user has released it.
func (b *Body) release() {
	if b != nil && b.users.Add(-1) == 0 {
		b.account.Close()
	}
}

// parts returns the content of the body.
func (b *Body) parts() [][]byte {
	if b == nil {
		return nil
	}
	return b.blocks
}

// joined returns the content of a short body in one piece.
func (b *Body) joined() []byte {
	if len(b.blocks) == 1 {
		return b.blocks[0]
	}
	return bytes.Join(b.blocks, nil)
}

// newReader returns a reader of the whole body.
func (b *Body) newReader() *bodyReader { return &bodyReader{body: b, rest: b.parts()} }

// bodyReader reads a body.
type bodyReader struct {
	body *Body
	// rest are the blocks that have not been read; offset is how much of the first one has been.
	rest   [][]byte
	offset int
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	for len(r.rest) > 0 {
		if r.offset < len(r.rest[0]) {
			n := copy(p, r.rest[0][r.offset:])
			r.offset += n
			return n, nil
		}
		r.rest, r.offset = r.rest[1:], 0
	}
	return 0, io.EOF
}

// Close implements io.Closer.
func (r *bodyReader) Close() error { return nil }

// contentOf returns the body that a request sends, or nil if it is a short one.
func contentOf(req *http.Request) *Body {
	if r, ok := req.Body.(*bodyReader); ok {
		return r.body
	}
	return nil
}
