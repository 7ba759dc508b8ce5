package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHealthClientEndsAnswersWithoutEnd guards against a daemon whose memory an upstream takes up with a
// header that has no end.
func TestHealthClientEndsAnswersWithoutEnd(t *testing.T) {
	for name, part := range map[string]string{"one line": strings.Repeat("x", 1<<12), "many lines": "X-More: " + strings.Repeat("x", 1<<12) + "\r\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer ln.Close()
			closed := make(chan struct{})
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, err = c.Write([]byte("HTTP/1.1 200 OK\r\nX-First: "))
				for err == nil {
					_, err = c.Write([]byte(part))
				}
				close(closed)
			}()
			req, err := http.NewRequest(http.MethodGet, "http://"+ln.Addr().String()+"/health", nil)
			is.NoErr(err)
			_, err = newHealthClient(time.Second).RoundTrip(req)
			is.True(err != nil)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection of an answer without end is not closed")
			}
		})
	}
}

// TestMalformedHealthAnswerIsNone guards against an upstream that counts as healthy, or as another process,
// because of a response that is not valid in HTTP.
func TestMalformedHealthAnswerIsNone(t *testing.T) {
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
			io.WriteString(c, "HTTP/1.1 200 OK\r\nX Other: y\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	req, err := http.NewRequest(http.MethodGet, "http://"+ln.Addr().String()+"/health", nil)
	is.NoErr(err)
	_, err = newHealthClient(time.Second).RoundTrip(req)
	is.True(err != nil)
}
