package response

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestTransportRejectsMalformedResponses guards against clients of net/http that act on a response whose
// head is not valid.
func TestTransportRejectsMalformedResponses(t *testing.T) {
	for head, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n":                           true,
		"HTTP/1.0 200 OK\r\n\r\n":                                                true,
		"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n": true,
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n":                           false,
		"HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n":                           false,
		"HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n":                           false,
		"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\n":                           false,
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n":                          false,
		"HTTP/1.1 200 OK\r\nX Other: y\r\nContent-Length: 2\r\n\r\n":             false,
	} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					io.WriteString(c, head+"ok")
				}
			}()
			req, err := http.NewRequest(http.MethodGet, "http://"+ln.Addr().String(), nil)
			is.NoErr(err)
			res, err := Transport{&http.Transport{DisableKeepAlives: true}}.RoundTrip(req)
			is.Equal(err == nil, valid)
			if err == nil {
				res.Body.Close()
			}
		})
	}
}

// TestTransferCodingInVersion10IsFound guards against chunk lines that are passed on as part of a body, also
// if the head arrives in pieces or is longer than the buffer.
func TestTransferCodingInVersion10IsFound(t *testing.T) {
	const field = "Transfer-Encoding: chunked\r\n"
	for _, c := range []struct {
		response string
		found    bool
	}{
		{"HTTP/1.0 200 OK\r\n" + field + "\r\n", true},
		{"HTTP/1.0 200 OK\r\nX: y\r\ntransfer-encoding : chunked\r\n\r\n", true},
		{"HTTP/1.0 200 OK\r\nX: y\r\n\r\n" + field, false},
		{"HTTP/1.1 200 OK\r\n" + field + "\r\n", false},
		{"HTTP/1.0 200 OK\r\nX: " + strings.Repeat("y", 8000) + "\r\n\r\n", false},
		{"HTTP/1.0 200 OK\r\nX: y", false},
		{"HTTP", false},
	} {
		is := is.New(t)
		is.Equal(CheckVersion10(bufio.NewReader(strings.NewReader(c.response))) != nil, c.found)
		is.Equal(CheckVersion10(bufio.NewReader(oneByteReader{strings.NewReader(c.response)})) != nil, c.found)
	}
}

// oneByteReader returns one byte at a time.
type oneByteReader struct{ io.Reader }

func (r oneByteReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(1, len(p))]) }
