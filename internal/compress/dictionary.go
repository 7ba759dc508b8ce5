package compress

// maxHistory is how many of the last bytes of a direction of a connection are part of the
// dictionary of its next frame.
const maxHistory = 2 << 10

// dictionary is the constant part of the dictionary of a frame; the history follows it. It holds
// the names and usual values of the headers between daemons, so that the first messages of a
// connection are compressed too. Both ends must use the same dictionary: a change needs another
// preface.
const dictionary = "Comfrey-Suspect: \r\nComfrey-Draining: 1\r\nComfrey-Flow: \r\nComfrey-Nested: 1000\r\nComfrey-Repeated: 1\r\n" +
	"Comfrey-Answer-Bytes: \r\nComfrey-Rate-Limit: \r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n" +
	"Idempotency-Key: \r\nContent-Encoding: gzip\r\nCache-Control: no-cache\r\nConnection: close\r\n" +
	"HTTP/1.1 503 Service Unavailable\r\nComfrey-Clock: 17\r\nComfrey-Load: 8 8 8 5000 0\r\nComfrey-Outcome: not-run\r\n" +
	"Comfrey-Reason: overload\r\nComfrey-Retry-After-Ms: 100\r\nContent-Length: 0\r\nDate: Mon, 01 Jan 2026 00:00:00 GMT\r\n\r\n" +
	"HTTP/1.1 200 OK\r\nComfrey-Clock: 17\r\nComfrey-Egress-Us: \r\nComfrey-Load: 1 0 4 500 0\r\nComfrey-Outcome: answered\r\n" +
	"Comfrey-Pace: 1.\r\nComfrey-Took-Us: \r\nContent-Length: 400\r\nContent-Type: application/json; charset=utf-8\r\n" +
	"Date: Tue, Wed, Thu, Fri, Sat, Sun, Feb Mar Apr May Jun Jul Aug Sep Oct Nov Dec 2026 00:00:00 GMT\r\nServer: \r\n\r\n" +
	"POST / HTTP/1.1\r\nHost: 127.0.0.1:80\r\nAccept: application/json, text/plain, */*\r\nAccept-Encoding: gzip, deflate\r\n" +
	"Comfrey-Any-Host: 1\r\nComfrey-Attempt: \r\nComfrey-Caller: \r\nComfrey-Clock: 17\r\nComfrey-Depth: 1\r\n" +
	"Comfrey-Incarnation: 17\r\nComfrey-Left-Us: 1999\r\nComfrey-Objective-Us: 499\r\nComfrey-Request-Id: \r\n" +
	"Comfrey-Sent-Us: \r\nComfrey-Upstream: \r\nComfrey-Urgency: 1\r\nComfrey-Workspace: \r\nContent-Length: 400\r\n" +
	"Content-Type: application/json\r\nUser-Agent: Go-http-client/1.1\r\nX-Request-Id: \r\n\r\nGET / HTTP/1.1\r\n"

// history holds the last bytes that were sent in one direction of a connection.
type history struct {
	last []byte
}

// add appends data that was sent and drops what exceeds maxHistory.
func (h *history) add(data []byte) {
	if h.last == nil {
		h.last = make([]byte, 0, maxHistory)
	}
	if len(data) >= maxHistory {
		h.last = append(h.last[:0], data[len(data)-maxHistory:]...)
		return
	}
	if excess := len(h.last) + len(data) - maxHistory; excess > 0 {
		h.last = h.last[:copy(h.last, h.last[excess:])]
	}
	h.last = append(h.last, data...)
}

// appendDictionary appends the dictionary of the next frame to b: the constant part, followed by
// the history.
func (h *history) appendDictionary(b []byte) []byte {
	return append(append(b, dictionary...), h.last...)
}
