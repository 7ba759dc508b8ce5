package callpath

import (
	"io"
	"sync"
)

// answerBody is the body of an upstream's response. Closing it calls done, which releases
// the slot, connection or count that the attempt holds.
type answerBody struct {
	io.ReadCloser
	once sync.Once
	// done is called once, when the body is closed.
	done func()
	// read is called once with the error that ends the reading, io.EOF included. It may
	// be nil.
	read func(error)
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && b.read != nil {
		b.read(err)
		b.read = nil
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.once.Do(b.done)
	return err
}
