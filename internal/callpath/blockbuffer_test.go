package callpath

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// TestBlockBufferReturnsWhatItWasGiven guards against responses of other bytes or lengths: blocks
// are reused, and bytes arrive and leave in pieces of any size.
func TestBlockBufferReturnsWhatItWasGiven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := make([]byte, rapid.IntRange(0, 5*maxBlockBytes).Draw(t, "bytes"))
		seed := rapid.Byte().Draw(t, "seed")
		for i := range want {
			want[i] = seed + byte(i*i>>7)
		}
		in := io.Reader(bytes.NewReader(want))
		if rapid.Bool().Draw(t, "halves") {
			in = iotest.HalfReader(in)
		}
		if rapid.Bool().Draw(t, "error with data") {
			in = iotest.DataErrReader(in)
		}
		var b blockBuffer
		n, err := b.ReadFrom(in)
		if err != nil || n != int64(len(want)) {
			t.Fatalf("%d bytes, %v, want %d", n, err, len(want))
		}
		out := io.Reader(&b)
		if rapid.Bool().Draw(t, "halves out") {
			out = iotest.HalfReader(out)
		}
		got, err := io.ReadAll(out)
		if err != nil || !bytes.Equal(got, want) {
			t.Fatalf("other bytes than those that were given, %v", err)
		}
	})
}
