package callpath

import (
	"io"
	"sync"
)

// answerBody is the body of an upstream's response. Closing it calls onClose, which
// releases the slot, connection or count that the attempt holds.
type answerBody struct {
	io.ReadCloser
	once sync.Once
	// onClose is called once, when the body is closed.
	onClose func()
	// onReadEnd is called once with the error that ends the reading, io.EOF included. It
	// may be nil.
	onReadEnd func(error)
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.onReadEnd != nil {
		b.onReadEnd(err)
		b.onReadEnd = nil
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.onClose)
	return err
}
