package callpath

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/outcome"
)

// malformedHeads are heads of responses that are not valid in HTTP. Each is followed by chunk lines, which
// a reader that takes no notice of a header would pass on as the body.
var malformedHeads = map[string]string{
	"status 000":                "HTTP/1.1 000 None\r\nTransfer-Encoding: chunked\r\n\r\n",
	"status 000, then another":  "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"status 099":                "HTTP/1.1 099 None\r\nTransfer-Encoding: chunked\r\n\r\n",
	"status +20":                "HTTP/1.1 +20 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"status 600":                "HTTP/1.1 600 None\r\nTransfer-Encoding: chunked\r\n\r\n",
	"status 999":                "HTTP/1.1 999 None\r\nTransfer-Encoding: chunked\r\n\r\n",
	"protocol not asked for":    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: any\r\nConnection: Upgrade\r\n\r\n",
	"version 2.0":               "HTTP/2.0 200 OK\r\n\r\n",
	"blank before the colon":    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n",
	"blank in a name":           "HTTP/1.1 200 OK\r\nTransfer Encoding: chunked\r\n\r\n",
	"blank in another name":     "HTTP/1.1 200 OK\r\nX Other: y\r\nTransfer-Encoding: chunked\r\n\r\n",
	"tab before the colon":      "HTTP/1.1 200 OK\r\nContent-Length\t: 5\r\n\r\n",
	"control byte in a name":    "HTTP/1.1 200 OK\r\nContent-Le\x01ngth: 5\r\n\r\n",
	"carriage return in a name": "HTTP/1.1 200 OK\r\nContent\r-Length: 5\r\n\r\n",
	"NUL in a name":             "HTTP/1.1 200 OK\r\nContent-Length\x00: 5\r\n\r\n",
	"byte over 127 in a name":   "HTTP/1.1 200 OK\r\nContent-L\xe4nge: 5\r\n\r\n",
	"no name":                   "HTTP/1.1 200 OK\r\n: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
	"blank for a name":          "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n : 5\r\n\r\n",
	"control byte in a value":   "HTTP/1.1 200 OK\r\nX-Other: a\x01b\r\nTransfer-Encoding: chunked\r\n\r\n",
	"chunks in version 1.0":     "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"interim with broken name":  "HTTP/1.1 103 Early Hints\r\nLink : x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}

// TestMalformedHeadIsNoAnswer guards against bytes that are no response in HTTP and are passed on as one,
// with a status or a header that no upstream may send or with a body that is not the upstream's.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	for name, head := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			u := newRawUpstream(t, func(c *net.TCPConn) {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				io.WriteString(c, head+"5\r\nhello\r\n0\r\n\r\n")
			})
			res := u.run("a", nil)
			if res.Outcome != outcome.Unknown {
				answer, err := readAnswer(res)
				t.Errorf("%s with status %d, headers %v and body %q, %v; want unknown", res.Outcome, res.Status, res.Header, answer, err)
			}
		})
	}
}

// TestUnusualHeadIsAnAnswer guards against valid responses that are rejected with the malformed ones.
func TestUnusualHeadIsAnAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"no reason phrase":     "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n",
		"any token as a name":  "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: x\r\nContent-Length: 5\r\n\r\n",
		"no blank after colon": "HTTP/1.1 200 OK\r\nContent-Length:5\r\n\r\n",
		"empty value":          "HTTP/1.1 200 OK\r\nX-Empty:\r\nContent-Length: 5\r\n\r\n",
		"interim before":       "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		"status 599":           "HTTP/1.1 599 Any\r\nContent-Length: 5\r\n\r\n",
		"version 1.0":          "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\n",
		"bytes over 127":       "HTTP/1.1 200 OK\r\nX-Name: M\xe4rz\r\nContent-Length: 5\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := newRawUpstream(t, func(c *net.TCPConn) {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				io.WriteString(c, head+"hello")
			})
			answer, err := readAnswer(u.run("a", nil))
			is.NoErr(err)
			is.True(strings.HasPrefix(string(answer), "hello"))
		})
	}
}
