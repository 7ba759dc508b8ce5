package compress

import (
	"fmt"
	"math/rand/v2"
)

// typicalBody is the length of the body of a typical response, in bytes.
const typicalBody = 400

// typicalMessages returns the messages of n attempts with their responses on one connection, as
// two daemons exchange them on a platform whose callers and upstreams have headers of their own.
// The responses have a body of random bytes.
func typicalMessages(n int, seed uint64) (requests, responses [][]byte) {
	r := rand.New(rand.NewPCG(seed, seed))
	hex := func(digits int) string {
		b := make([]byte, digits)
		for i := range b {
			b[i] = "0123456789abcdef"[r.IntN(16)]
		}
		return string(b)
	}
	uuid := func() string {
		return hex(8) + "-" + hex(4) + "-" + hex(4) + "-" + hex(4) + "-" + hex(12)
	}
	ingress, clock, sent := uuid(), int64(1796327644144017), int64(699844106)
	for i := range n {
		clock += r.Int64N(20_000)
		sent += r.Int64N(20_000)
		workspace := fmt.Sprintf("workspace-%d", r.IntN(12))
		path := []string{"/lookup/", "/accounts/", "/quotes/"}[r.IntN(3)]
		requests = append(requests, fmt.Appendf(nil, "GET %s%d HTTP/1.1\r\n"+
			"Host: tickets.example:8141\r\n"+
			"Accept: application/json\r\n"+
			"Accept-Encoding: gzip\r\n"+
			"Comfrey-Attempt: %s-%d\r\n"+
			"Comfrey-Caller: branch-teller\r\n"+
			"Comfrey-Clock: %d\r\n"+
			"Comfrey-Depth: 1\r\n"+
			"Comfrey-Incarnation: 1796327601223344556\r\n"+
			"Comfrey-Left-Us: %d\r\n"+
			"Comfrey-Objective-Us: %d\r\n"+
			"Comfrey-Request-Id: %s\r\n"+
			"Comfrey-Sent-Us: %d\r\n"+
			"Comfrey-Upstream: tickets-east-%d-%d/1\r\n"+
			"Comfrey-Urgency: %d\r\n"+
			"Comfrey-Workspace: %s\r\n"+
			"User-Agent: python-requests/2.32.3\r\n"+
			"X-Calling-Service: teller\r\n"+
			"X-Deadline-Ms: %d\r\n"+
			"X-Expected-Target: %s\r\n"+
			"X-Request-Id: %s\r\n"+
			"X-Workspace: %s\r\n"+
			"\r\n",
			path, r.IntN(100_000), ingress, i+1, clock, 1_500_000+r.IntN(500_000), 300_000+r.IntN(100_000), uuid(), sent,
			3, 2, 1+r.IntN(3), workspace, 1_500+r.IntN(500), "tickets-1-17963276", uuid(), workspace))
		clock += r.Int64N(20_000)
		body := make([]byte, typicalBody)
		for j := range body {
			body[j] = byte(r.Uint32())
		}
		responses = append(responses, append(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n"+
			"Comfrey-Clock: %d\r\n"+
			"Comfrey-Load: %d %d 8 %d 0\r\n"+
			"Comfrey-Outcome: answered\r\n"+
			"Content-Length: %d\r\n"+
			"Content-Type: application/octet-stream\r\n"+
			"Date: Thu, 03 Dec 2026 19:%02d:%02d GMT\r\n"+
			"Server: tickets/2.14.0\r\n"+
			"X-Request-Id: %s\r\n"+
			"X-Upstream-Load: %d,%d,8,%d\r\n"+
			"\r\n",
			clock, r.IntN(9), r.IntN(9), 4_000+r.IntN(3_000), typicalBody, i/60%60, i%60, uuid(), r.IntN(9), r.IntN(9), 90+r.IntN(30)), body...))
	}
	return requests, responses
}
