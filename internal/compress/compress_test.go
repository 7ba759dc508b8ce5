package compress

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"github.com/comfreygate/comfreygate/internal/pick"
)

// wireConn is one end of a connection in memory: it reads in and records what is written.
type wireConn struct {
	net.Conn
	in io.Reader
	// out is what was written, writes the number of writes.
	out    []byte
	writes int
}

func (c *wireConn) Read(p []byte) (int, error) { return c.in.Read(p) }

func (c *wireConn) Write(p []byte) (int, error) {
	c.out = append(c.out, p...)
	c.writes++
	return len(p), nil
}

// acceptedFrom returns the accepting end of a connection on which the bytes arrive.
func acceptedFrom(wire io.Reader) *accepted {
	return &accepted{passThrough: passThrough{&wireConn{in: wire}}}
}

// randomReader delivers bytes in pieces of arbitrary lengths.
type randomReader struct {
	t *rapid.T
	r io.Reader
}

func (r randomReader) Read(p []byte) (int, error) {
	return r.r.Read(p[:min(len(p), rapid.IntRange(1, 5000).Draw(r.t, "arrives"))])
}

// readAll reads a connection with buffers of arbitrary lengths until an error.
func readAll(t *rapid.T, c io.Reader) (got []byte, err error) {
	for {
		p := make([]byte, rapid.SampledFrom([]int{1, 7, 100, 4096, 100_000}).Draw(t, "buffer"))
		n, err := c.Read(p)
		got = append(got, p[:n]...)
		if err != nil {
			return got, err
		}
	}
}

// drawWrite returns the data of one write: text that repeats, random bytes, or a message with both.
func drawWrite(t *rapid.T) []byte {
	text := strings.Repeat(rapid.StringN(1, 60, 200).Draw(t, "text"), rapid.IntRange(1, 40).Draw(t, "times"))
	random := rapid.SliceOfN(rapid.Byte(), 1, 600).Draw(t, "random")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return []byte(text)
	case 1:
		return random
	case 2: // at the length from which writes are sent raw, or near it
		return bytes.Repeat(random, (minRawWrite+rapid.IntRange(-300, 300).Draw(t, "near"))/len(random)+1)
	case 3: // more than one frame
		return bytes.Repeat(random, (2*maxFrame+rapid.IntRange(-70_000, 300).Draw(t, "frames"))/len(random)+1)
	}
	return append([]byte("HTTP/1.1 200 OK\r\nX: "+text+"\r\n\r\n"), random...)
}

// TestWritesArriveUnchanged sends arbitrary writes both ways: their bytes arrive, in order and
// none twice, however the connection divides them, and the other end sees the end of them.
func TestWritesArriveUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []byte
		far := &wireConn{}
		d := Conn(far, nil)
		for range rapid.IntRange(1, 6).Draw(t, "writes") {
			p := drawWrite(t)
			if rapid.Bool().Draw(t, "as reader") {
				n, err := d.ReadFrom(bytes.NewReader(p))
				if n != int64(len(p)) || err != nil {
					t.Fatalf("ReadFrom returned %d, %v for %d bytes", n, err, len(p))
				}
			} else if n, err := d.Write(p); n != len(p) || err != nil {
				t.Fatalf("Write returned %d, %v for %d bytes", n, err, len(p))
			}
			sent = append(sent, p...)
		}
		a := acceptedFrom(randomReader{t, bytes.NewReader(far.out)})
		got, err := readAll(t, a)
		if err != io.EOF || !bytes.Equal(got, sent) {
			t.Fatalf("%d bytes arrived of %d, error %v", len(got), len(sent), err)
		}
		reply := drawWrite(t)
		if _, err := a.Write(reply); err != nil {
			t.Fatal(err)
		}
		back := Conn(&wireConn{in: randomReader{t, bytes.NewReader(a.Conn.(*wireConn).out)}}, nil)
		got, err = readAll(t, back)
		if err != io.EOF || !bytes.Equal(got, reply) {
			t.Fatalf("%d bytes of the reply arrived of %d, error %v", len(got), len(reply), err)
		}
	})
}

// TestDamageNeverYieldsOtherBytes cuts a stream, or damages a part of it: what arrives is a
// prefix of what was sent, followed by an error. A cut between two frames is the end of the
// connection.
func TestDamageNeverYieldsOtherBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		far := &wireConn{}
		d := Conn(far, nil)
		var sent []byte
		ends := []int{len(preface)}
		for range rapid.IntRange(1, 4).Draw(t, "writes") {
			p := drawWrite(t)
			if _, err := d.Write(p); err != nil {
				t.Fatal(err)
			}
			sent = append(sent, p...)
		}
		for at := len(preface); at < len(far.out); {
			length, n := uvarint(far.out[at+1:])
			at += 1 + n + length
			ends = append(ends, at)
		}
		wire := bytes.Clone(far.out)
		at := rapid.IntRange(len(preface), len(wire)-1).Draw(t, "at")
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			wire = wire[:at]
		case 1:
			wire[at] ^= rapid.Byte().Filter(func(b byte) bool { return b != 0 }).Draw(t, "flips")
		case 2: // a part is missing
			wire = append(wire[:at], wire[min(len(wire), at+rapid.IntRange(1, 50).Draw(t, "missing")):]...)
		case 3: // a part is inserted
			wire = append(wire[:at:at], append(rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "inserted"), wire[at:]...)...)
		}
		got, err := readAll(t, acceptedFrom(randomReader{t, bytes.NewReader(wire)}))
		if !bytes.HasPrefix(sent, got) {
			t.Fatal("bytes arrived that were not sent")
		}
		whole := false // whole frames arrived
		for _, end := range ends {
			whole = whole || len(wire) == end && bytes.Equal(wire, far.out[:end])
		}
		if (err == io.EOF) != whole {
			t.Fatalf("stream damaged at %d of %d bytes ended with error %v", at, len(far.out), err)
		}
	})
}

func uvarint(b []byte) (value, n int) {
	for shift := 0; ; shift += 7 {
		value |= int(b[n]&0x7f) << shift
		n++
		if b[n-1] < 0x80 {
			return value, n
		}
	}
}

// TestOtherConnectionsStayAsTheyAre: the bytes of an earlier build, which may begin with a part of
// the preface but not with all of it, reach the server unchanged.
func TestOtherConnectionsStayAsTheyAre(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		begin := preface[:rapid.IntRange(0, len(preface)-1).Draw(t, "begin")]
		sent := begin + rapid.StringN(0, 50, 200).Filter(func(s string) bool {
			return !strings.HasPrefix(begin+s, preface)
		}).Draw(t, "rest")
		a := acceptedFrom(randomReader{t, strings.NewReader(sent)})
		got, err := readAll(t, a)
		if string(got) != sent || err != io.EOF {
			t.Fatalf("got %q, error %v, want %q", got, err, sent)
		}
		if _, err := a.Write([]byte("reply")); err != nil || string(a.Conn.(*wireConn).out) != "reply" {
			t.Fatalf("wrote %q, error %v", a.Conn.(*wireConn).out, err)
		}
	})
}

// pair returns the two ends of a TCP connection through Conn and Listener.
func pair(t *testing.T) (dialed *Dialed, acceptedEnd net.Conn) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := Listener(tcp)
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return Conn(client, nil), server
}

// TestReadContinuesAfterATimeout: http.Server ends a read in the background with a deadline at the
// end of each request. A read that ended inside a frame lost the bytes that had arrived.
func TestReadContinuesAfterATimeout(t *testing.T) {
	is := is.New(t)
	far := &wireConn{}
	_, err := Conn(far, nil).Write([]byte(strings.Repeat("some text ", 20)))
	is.NoErr(err)
	near, end := net.Pipe()
	defer near.Close()
	server := &accepted{passThrough: passThrough{end}}
	var got []byte
	for _, b := range far.out {
		go func() { _, _ = near.Write([]byte{b}) }()
		p := make([]byte, 64)
		for range 2 { // one read gets the byte, the other the timeout
			is.NoErr(server.SetReadDeadline(time.Now().Add(5 * time.Millisecond)))
			n, err := server.Read(p)
			got = append(got, p[:n]...)
			if err != nil {
				is.True(errors.Is(err, os.ErrDeadlineExceeded))
				break
			}
		}
	}
	is.NoErr(server.SetReadDeadline(time.Time{}))
	for len(got) < 200 {
		p := make([]byte, 64)
		n, err := server.Read(p)
		is.NoErr(err)
		got = append(got, p[:n]...)
	}
	is.Equal(string(got), strings.Repeat("some text ", 20))
}

// TestHalfCloseAndDeadlinesPassThrough: after one direction was closed, the other still carries
// data, and a reader does not wait past its deadline.
func TestHalfCloseAndDeadlinesPassThrough(t *testing.T) {
	is := is.New(t)
	dialed, server := pair(t)
	_, err := dialed.Write([]byte("request"))
	is.NoErr(err)
	is.NoErr(dialed.CloseWrite())
	got, err := io.ReadAll(server)
	is.NoErr(err)
	is.Equal(string(got), "request")
	is.NoErr(dialed.SetReadDeadline(time.Now().Add(10 * time.Millisecond)))
	_, err = dialed.Read(make([]byte, 10))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(dialed.SetReadDeadline(time.Time{}))
	_, err = server.Write([]byte("response"))
	is.NoErr(err)
	is.NoErr(server.Close())
	got, err = io.ReadAll(dialed)
	is.NoErr(err)
	is.Equal(string(got), "response")
	_, ok := server.(syscall.Conn)
	is.True(ok)
	_, err = dialed.SyscallConn()
	is.NoErr(err)
}

// TestNothingFollowsAFailedWrite: the other end may have received a part of the frame, and would
// take what follows for the rest of it.
func TestNothingFollowsAFailedWrite(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer far.Close()
	d := Conn(near, nil)
	is.NoErr(d.SetWriteDeadline(time.Now().Add(-time.Second)))
	_, err := d.Write([]byte("first"))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.NoErr(d.SetWriteDeadline(time.Time{}))
	_, err = d.Write([]byte("second"))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// TestServerOfAnEarlierBuildRejectsThePreface: a server that does not know the preface runs no
// request, whatever the first frame holds, and the dialing end can tell.
func TestServerOfAnEarlierBuildRejectsThePreface(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("a request was run") }))
	defer srv.Close()
	random := make([]byte, 100)
	for i := range random {
		random[i] = byte(i * 151)
	}
	const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, first := range [][]byte{[]byte(request), []byte("\n" + request), random, bytes.Repeat([]byte("\r\n"+request), 1000)} {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second))) // an answer must not wait for a timeout of the server
		d := Conn(c, nil)
		_, err = d.Write(first)
		is.NoErr(err)
		_, err = d.Read(make([]byte, 1))
		if len(first) < minRawWrite { // the server resets the connection if it has not read all
			is.Equal(err, ErrNotAccepted)
		}
		is.True(err != nil)
		c.Close()
	}
}

// TestOnlyARejectionProvesThatNothingRan: other bytes in place of a frame, a rejection after a
// frame, and a part of one are no proof.
func TestOnlyARejectionProvesThatNothingRan(t *testing.T) {
	is := is.New(t)
	reply := &accepted{passThrough: passThrough{&wireConn{}}}
	reply.compressed.Store(&frameConn{})
	_, err := reply.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
	is.NoErr(err)
	frame := string(reply.Conn.(*wireConn).out)
	for _, wire := range []string{"HTTP/1.1 500 Internal", "HTTP/1.1 400", "HTTP/1.1", "H", "SSH-2.0", "", frame + "HTTP/1.1 400 Bad Request\r\n"} {
		_, err := io.ReadAll(Conn(&wireConn{in: strings.NewReader(wire)}, nil))
		is.True(!errors.Is(err, ErrNotAccepted))
		is.True(err != nil || wire == "") // the end of the connection is no error of ReadAll
	}
	_, err = io.ReadAll(Conn(&wireConn{in: strings.NewReader("HTTP/1.1 400 Bad Request\r\n")}, nil))
	is.Equal(err, ErrNotAccepted)
}

// TestEndInsideAFrameIsAnError: the receiver must not take a truncated message for a whole one.
func TestEndInsideAFrameIsAnError(t *testing.T) {
	is := is.New(t)
	dialed, server := pair(t)
	far := &wireConn{}
	_, err := Conn(far, nil).Write([]byte("a request that is cut off"))
	is.NoErr(err)
	_, err = dialed.Conn.Write(far.out[:len(far.out)-1])
	is.NoErr(err)
	is.NoErr(dialed.Close())
	n, err := server.Read(make([]byte, 100))
	is.Equal(n, 0)
	is.Equal(err, io.ErrUnexpectedEOF)
}

// TestTypicalAttemptsTakeHalfOfTheBytes sends 1,000 attempts with random bodies over a connection.
func TestTypicalAttemptsTakeHalfOfTheBytes(t *testing.T) {
	const attempts, most = 1000, 0.5
	for _, seed := range []uint64{1, 2, 3} {
		requests, responses := typicalMessages(attempts, seed)
		plain, wire := exchange(t, requests, responses)
		t.Logf("%d bytes per attempt, %d on the wire (%.3f)", plain/attempts, wire/attempts, float64(wire)/float64(plain))
		if float64(wire) > most*float64(plain) {
			t.Errorf("%d attempts take %d bytes of %d, want at most half", attempts, wire, plain)
		}
	}
}

// TestPickerEstimatesTheHeaders derives the constant by which the selection of an upstream
// estimates a compressed call. A wrong one sends calls to other failure domains that are not worth
// their bytes, or keeps those that are.
func TestPickerEstimatesTheHeaders(t *testing.T) {
	const attempts, tolerance = 1000, 0.1
	requests, responses := typicalMessages(attempts, 1)
	_, wire := exchange(t, requests, responses)
	headers := wire/attempts - typicalBody
	t.Logf("%d bytes of headers per attempt", headers)
	if math.Abs(float64(headers-pick.CompressedHeaderBytes)) > tolerance*pick.CompressedHeaderBytes {
		t.Errorf("headers take %d bytes, the picker counts with %d", headers, pick.CompressedHeaderBytes)
	}
}

// exchange sends requests and responses over a connection. It returns the number of their bytes and
// the number of bytes on the wire. It fails if a message arrives changed or takes more than one write.
func exchange(t testing.TB, requests, responses [][]byte) (plain, wire int) {
	toServer, toClient := &bytes.Buffer{}, &bytes.Buffer{}
	clientEnd, serverEnd := &wireConn{in: toClient}, &wireConn{in: toServer}
	client, server := Conn(clientEnd, nil), &accepted{passThrough: passThrough{serverEnd}}
	buf := make([]byte, 4096)
	send := func(from net.Conn, end *wireConn, queue *bytes.Buffer, to net.Conn, message []byte) {
		end.out, end.writes = end.out[:0], 0
		if _, err := from.Write(message); err != nil || end.writes != 1 {
			t.Fatalf("%d writes, error %v", end.writes, err)
		}
		queue.Write(end.out)
		n, err := io.ReadFull(to, buf[:len(message)])
		if err != nil || !bytes.Equal(buf[:n], message) {
			t.Fatalf("%d of %d bytes arrived unchanged, error %v", n, len(message), err)
		}
		plain += len(message)
		wire += len(end.out)
	}
	for i := range requests {
		send(client, clientEnd, toServer, server, requests[i])
		send(server, serverEnd, toClient, client, responses[i])
	}
	return plain, wire
}

func processorTime(t testing.TB) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestCostOfAMessage bounds the processor time to compress and decompress a typical message. The
// shortest of some rounds counts, because other processes slow this one down.
func TestCostOfAMessage(t *testing.T) {
	const attempts, rounds, most = 1000, 5, 100 * time.Microsecond
	requests, responses := typicalMessages(attempts, 1)
	least := time.Hour
	for range rounds {
		began := processorTime(t)
		exchange(t, requests, responses)
		least = min(least, (processorTime(t)-began)/(2*attempts))
	}
	t.Logf("%v of processor time per message", least)
	if least > most {
		t.Errorf("a message takes %v of processor time, want at most %v", least, most)
	}
}

// BenchmarkAttempt measures one attempt: two messages, each compressed and decompressed.
func BenchmarkAttempt(b *testing.B) {
	requests, responses := typicalMessages(1000, 1)
	b.ReportAllocs()
	for i := 0; i < b.N; i += len(requests) {
		exchange(b, requests, responses)
	}
}

// idleAfter delivers the bytes and then a timeout, as an idle connection does.
type idleAfter struct{ r io.Reader }

func (i idleAfter) Read(p []byte) (int, error) {
	n, err := i.r.Read(p)
	if err == io.EOF {
		err = os.ErrDeadlineExceeded
	}
	return n, err
}

// drain reads until the connection is idle.
func drain(t *testing.T, r io.Reader) {
	_, err := io.Copy(io.Discard, struct{ io.Reader }{r})
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
}

// TestIdleConnectionHoldsItsHistoryOnly measures the memory of connections that are idle after an
// attempt. The failure: a stateful compressor holds some 50 KB for each direction.
func TestIdleConnectionHoldsItsHistoryOnly(t *testing.T) {
	const conns, most = 1000, 2*maxHistory + 512
	requests, responses := typicalMessages(5, 1)
	heap := func() uint64 {
		for range 3 { // pools keep their content for two collections
			runtime.GC()
		}
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	clients, servers := make([]*Dialed, conns), make([]*accepted, conns)
	before := heap()
	for i := range conns {
		end := &wireConn{}
		clients[i], servers[i] = Conn(end, nil), &accepted{passThrough: passThrough{&wireConn{}}}
		for j := range requests {
			if _, err := clients[i].Write(requests[j]); err != nil {
				t.Fatal(err)
			}
		}
		servers[i].Conn = &wireConn{in: idleAfter{bytes.NewReader(end.out)}}
		drain(t, servers[i])
		servers[i].Conn = &wireConn{}
		for j := range responses {
			if _, err := servers[i].Write(responses[j]); err != nil {
				t.Fatal(err)
			}
		}
		clients[i].Conn = &wireConn{in: idleAfter{bytes.NewReader(servers[i].Conn.(*wireConn).out)}}
		drain(t, clients[i])
		clients[i].Conn, servers[i].Conn = nil, nil
	}
	perEnd := (int64(heap()) - int64(before)) / (2 * conns)
	t.Logf("%d bytes for each end of an idle connection", perEnd)
	if perEnd > most {
		t.Errorf("each end of an idle connection holds %d bytes, want at most %d", perEnd, most)
	}
	runtime.KeepAlive(clients)
	runtime.KeepAlive(servers)
}

// TestBytesBeforeCompressionAreCounted guards against wrong counts of the bytes before compression,
// from which operators calculate the compression ratio.
func TestBytesBeforeCompressionAreCounted(t *testing.T) {
	is := is.New(t)
	m := NewMetrics(metrics.NewRegistry())
	reply := &accepted{passThrough: passThrough{&wireConn{}}}
	reply.compressed.Store(&frameConn{})
	_, err := reply.Write([]byte("response"))
	is.NoErr(err)
	d := Conn(&wireConn{in: bytes.NewReader(reply.Conn.(*wireConn).out)}, m)
	_, err = d.Write([]byte("a request"))
	is.NoErr(err)
	_, err = io.Copy(io.Discard, struct{ io.Reader }{d})
	is.NoErr(err)
	in, out := m.Bytes()
	is.Equal(in, int64(len("response")))
	is.Equal(out, int64(len("a request")))
}

// TestBufferedCountsUnreadBytes: a connection with bytes that nobody has read must not be used for
// another request.
func TestBufferedCountsUnreadBytes(t *testing.T) {
	is := is.New(t)
	dialed, server := pair(t)
	_, err := dialed.Write([]byte("request"))
	is.NoErr(err)
	_, err = io.ReadFull(server, make([]byte, len("request")))
	is.NoErr(err)
	_, err = server.Write([]byte("response and more"))
	is.NoErr(err)
	is.Equal(dialed.Buffered(), 0)
	_, err = io.ReadFull(dialed, make([]byte, len("response")))
	is.NoErr(err)
	is.Equal(dialed.Buffered(), len(" and more"))
}
