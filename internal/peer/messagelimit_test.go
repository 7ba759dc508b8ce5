package peer

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/klauspost/compress/flate"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestMessageWithoutEndIsRejected guards against a daemon that runs out of memory since a peer's message
// has no end, or is larger by far than its compressed bytes, also after sound messages.
func TestMessageWithoutEndIsRejected(t *testing.T) {
	is := is.New(t)
	local, other := net.Pipe()
	defer local.Close()
	go func() {
		defer other.Close()
		w, err := flate.NewWriter(other, flate.BestSpeed)
		if err == nil {
			_, err = io.WriteString(w, `{"id":1}{"id":2}{"id":"`)
		}
		for block := strings.Repeat("x", 64<<10); err == nil; {
			_, err = io.WriteString(w, block)
		}
	}()
	s := newStream(local)
	var message struct{ ID any }
	is.NoErr(s.ReadObject(&message))
	is.NoErr(s.ReadObject(&message))
	is.True(errors.Is(s.ReadObject(&message), errMessageTooLong))
}
