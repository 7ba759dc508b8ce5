package peer

import (
	"bytes"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/wire"
)

// bufferConn is a connection that reads from and writes to a buffer.
type bufferConn struct {
	net.Conn
	bytes.Buffer
}

// Read implements net.Conn.
func (c *bufferConn) Read(b []byte) (int, error) { return c.Buffer.Read(b) }

// Write implements net.Conn.
func (c *bufferConn) Write(b []byte) (int, error) { return c.Buffer.Write(b) }

// TestTruncatedMessageIsNotDelivered truncates a message at every byte, as a connection
// that fails in the middle of it does: the message must arrive whole or not at all.
func TestTruncatedMessageIsNotDelivered(t *testing.T) {
	is := is.New(t)
	want := wire.Records{From: 7, Version: 9, Hash: "h", Data: [][]byte{[]byte(strings.Repeat("record ", 50))}}
	var sent bufferConn
	out := newStream(&sent)
	is.NoErr(out.WriteObject(want))
	whole := bytes.Clone(sent.Bytes())
	delivered := 0
	for n := range len(whole) + 1 {
		in := newStream(&bufferConn{Buffer: *bytes.NewBuffer(bytes.Clone(whole[:n]))})
		var got wire.Records
		if in.ReadObject(&got) != nil {
			continue
		}
		delivered++
		is.Equal(got, want) // never a part of it
	}
	is.True(delivered > 0)
}

// TestStreamKeepsMessagesApart guards against errors at the boundaries of messages: it
// sends messages of growing sizes, below and above that of the compression dictionary.
func TestStreamKeepsMessagesApart(t *testing.T) {
	is := is.New(t)
	var conn bufferConn
	s := newStream(&conn)
	for n := 1; n < 1<<17; n *= 3 {
		want := wire.Snapshot{State: []byte(`"` + strings.Repeat("s", n) + `"`)}
		is.NoErr(s.WriteObject(want))
		var got wire.Snapshot
		is.NoErr(s.ReadObject(&got))
		is.Equal(string(got.State), string(want.State))
	}
}
