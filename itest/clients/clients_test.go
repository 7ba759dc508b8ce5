// Package clients plays clients that do not behave, against real processes: crowds that send more than
// a daemon can hold, never finish what they began, or never read what they get. It checks that no
// process ends or outgrows its VM and that an ordinary request is answered while the crowd is still
// connected. Nothing depends on times or on the share of the requests that are served.
package clients

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/itest/harness"
)

const (
	// maxMemory is the memory of the smallest VM that the system runs on, in bytes.
	maxMemory = 160_000_000
	// descriptorLimit is the limit of each daemon's open files in these tests. At any moment some must be
	// left for connections to upstreams, other daemons and the store.
	descriptorLimit  = 400
	spareDescriptors = 50
	// samplingInterval is the interval at which open descriptors are counted.
	samplingInterval = 5 * time.Millisecond

	// crowd is how many clients misbehave at once.
	crowd = 200
	// silentCrowd is more than a daemon has descriptors for.
	silentCrowd = 600
	// maxBody is the largest body that the settings of the daemons allow, in bytes.
	maxBody = 1 << 20
	// announcedBytes is the announced size of bodies that are far over the limit, and excessBytes what clients
	// send of them.
	announcedBytes = 8 << 30
	excessBytes    = 3 * maxBody
	// answerBytes is the size of an answer that daemons buffer.
	answerBytes = 900_000
	// unreadAnswers is how many such answers a client asks for without reading one: more than the
	// kernel holds.
	unreadAnswers = 20
	// headBytes is the size of an unfinished head, which the settings of the daemons allow.
	headBytes = 60_000
	// largestBody is the largest body that deployments allow, in bytes, and largestCrowd how many clients
	// send one at once.
	largestBody  = 64 << 20
	largestCrowd = 5
	// manyClients is how many clients there are where daemons may open manyDescriptors. One in bodyShare
	// sends a body, the others a head.
	manyClients     = 1200
	manyDescriptors = 4100
	bodyShare       = 6
)

const config = `publish service tickets;
publish policy plain urgency normal timeout 5s retries 2;
publish caller clerk;
publish route tickets path /tickets to tickets policy plain callers clerk`

// fleet starts a daemon with one upstream in each of three failure domains, and one without an upstream,
// which it returns. Each may open so many descriptors.
func fleet(t *testing.T, descriptors int) (*harness.Cluster, *harness.VM) {
	t.Helper()
	c := harness.New(t)
	c.MaxDescriptors = descriptors
	return c, start(c)
}

// start starts the daemons of a fleet.
func start(c *harness.Cluster) *harness.VM {
	for _, domain := range []string{"ikeja", "lekki", "yaba", "edge"} {
		c.AddVM(domain+"-1", domain)
	}
	for _, v := range c.VMs[:3] {
		// None of the crowd is refused for want of a slot.
		v.AddUpstream("tickets", "-slots", fmt.Sprint(crowd))
	}
	version := c.VMs[0].MustExecute(config)
	c.AwaitVersion(version, c.VMs...)
	c.AwaitMembers(4, c.VMs...)
	c.AwaitUpstreams(3, c.VMs...)
	return c.VMs[3]
}

// client is one client of a crowd. It sends what it sends over a connection of its own and then leaves
// that open.
type client func(conn *net.TCPConn)

// play connects a crowd of clients to the daemon without an upstream, and checks all daemons while the
// clients are still connected.
func play(t *testing.T, size int, misbehave client) {
	t.Helper()
	playWith(t, descriptorLimit, size, misbehave)
}

// playWith is play with another limit of descriptors.
func playWith(t *testing.T, descriptorLimit, size int, misbehave client) {
	t.Helper()
	maxDescriptors := descriptorLimit - spareDescriptors
	c, attacked := fleet(t, descriptorLimit)
	descriptors := watchDescriptors(attacked)
	var finished sync.WaitGroup
	for range size {
		conn, err := net.Dial("tcp", attacked.Addrs.Callers)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		// Bounds a test whose daemon neither reads nor closes.
		if err := conn.SetDeadline(time.Now().Add(2 * harness.WaitTimeout)); err != nil {
			t.Fatal(err)
		}
		finished.Go(func() { misbehave(conn.(*net.TCPConn)) })
	}
	finished.Wait()
	attacked.AwaitRead(t)
	ordinary := attacked.Send(harness.NewCallerClient(), harness.Call{
		Method: "POST", Path: "/tickets/7", ID: "ordinary", Caller: "clerk", Body: "doll without arm",
	})
	if ordinary.Outcome != "answered" || ordinary.Body != "ordinary\ndoll without arm" {
		t.Errorf("the ordinary request got %d %s %s %q, %v", ordinary.Status, ordinary.Outcome, ordinary.Reason, ordinary.Body, ordinary.Err)
	}
	peak := descriptors()
	t.Logf("%s had up to %d descriptors open", attacked.Name, peak)
	if peak > maxDescriptors {
		t.Errorf("%s had %d descriptors open, at most %d are allowed", attacked.Name, peak, maxDescriptors)
	}
	checkMemory(t, c)
}

// checkMemory checks that all daemons run and have stayed within the memory of their VMs.
func checkMemory(t *testing.T, c *harness.Cluster) {
	t.Helper()
	for _, v := range c.VMs {
		if !v.Running() {
			t.Errorf("%s has ended", v.Name)
			continue
		}
		t.Logf("%s: %d MB at its peak", v.Name, v.PeakMemory()/1_000_000)
		if v.PeakMemory() > maxMemory {
			t.Errorf("%s took %d MB, its VM has %d MB", v.Name, v.PeakMemory()/1_000_000, maxMemory/1_000_000)
		}
	}
}

// watchDescriptors counts the open descriptors of a daemon until the function that it returns is called,
// which returns the most that were counted.
func watchDescriptors(v *harness.VM) (stop func() int) {
	done, peak := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			if v.Running() {
				most = max(most, v.OpenDescriptors())
			}
			select {
			case <-done:
				peak <- most
				return
			case <-time.After(samplingInterval):
			}
		}
	}()
	return func() int {
		close(done)
		return <-peak
	}
}

// head returns the head of a request with these further header lines.
func head(method, query string, lines ...string) string {
	all := append([]string{method + " /tickets/1" + query + " HTTP/1.1", "Host: any", "Comfrey-Caller: clerk"}, lines...)
	return strings.Join(all, "\r\n") + "\r\n\r\n"
}

// Header lines that announce a body.
const chunked = "Transfer-Encoding: chunked"

func length(n int64) string { return fmt.Sprintf("Content-Length: %d", n) }

// chunks returns a body of the given size in chunks, without the one that ends it. Each has the
// extension.
func chunks(bodyBytes, chunkBytes int, extension string) []byte {
	chunk := fmt.Sprintf("%x%s\r\n%s\r\n", chunkBytes, extension, strings.Repeat("x", chunkBytes))
	return bytes.Repeat([]byte(chunk), bodyBytes/chunkBytes)
}

// sends returns a client that sends the parts one after the other, and neither more nor an end. An error
// means that the daemon has closed the connection, which it may.
func sends(parts ...[]byte) client {
	return func(conn *net.TCPConn) {
		for _, part := range parts {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	}
}

// TestUnfinishedBodiesFitInMemory guards against a daemon that runs out of memory because many clients
// stop just short of the end of a body of legal size and stay connected.
func TestUnfinishedBodiesFitInMemory(t *testing.T) {
	body := bytes.Repeat([]byte("x"), maxBody-1)
	pieces := [][]byte{[]byte(head("POST", "", length(maxBody)))}
	for piece := range slices.Chunk(body, maxBody/16) {
		pieces = append(pieces, piece)
	}
	inChunks := []byte(head("POST", "", chunked))
	for _, form := range []struct {
		name   string
		client client
	}{
		{"length", sends([]byte(head("POST", "", length(maxBody))), body)},
		{"length-in-pieces", sends(pieces...)},
		{"one-chunk", sends(inChunks, chunks(maxBody, maxBody, ""))},
		{"large-chunks", sends(inChunks, chunks(maxBody, 64<<10, ""))},
		{"small-chunks", sends(inChunks, chunks(maxBody, 8, ""))},
		{"chunk-extensions", sends(inChunks, chunks(maxBody/4, 1, ";name=value"))},
		{"trailers", sends(inChunks, chunks(maxBody, 64<<10, ""), []byte("0\r\n"), bytes.Repeat([]byte("X-More: 1\r\n"), 100))},
	} {
		t.Run(form.name, func(t *testing.T) { play(t, crowd, form.client) })
	}
}

// TestManyWholeBodiesFitInMemory guards against a daemon that runs out of memory because many clients
// send whole bodies of legal size at once.
func TestManyWholeBodiesFitInMemory(t *testing.T) {
	body := bytes.Repeat([]byte("x"), maxBody)
	for _, form := range []struct {
		name  string
		parts [][]byte
	}{
		{"length", [][]byte{[]byte(head("POST", "", length(maxBody))), body}},
		{"chunks", [][]byte{[]byte(head("POST", "", chunked)), chunks(maxBody, 64<<10, ""), []byte("0\r\n\r\n")}},
	} {
		t.Run(form.name, func(t *testing.T) {
			play(t, crowd, func(conn *net.TCPConn) {
				sends(form.parts...)(conn)
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err == nil {
					io.Copy(io.Discard, res.Body)
				}
			})
		})
	}
}

// TestBodiesOverTheLimitFitInMemory guards against a daemon that holds bodies which are far over the
// limit, announced or just sent, up to the limit.
func TestBodiesOverTheLimitFitInMemory(t *testing.T) {
	body := bytes.Repeat([]byte("x"), excessBytes)
	for _, form := range []struct {
		name  string
		parts [][]byte
	}{
		{"length", [][]byte{[]byte(head("POST", "", length(announcedBytes))), body}},
		{"length-unfinished", [][]byte{[]byte(head("POST", "", length(announcedBytes))), body[:maxBody-1]}},
		{"one-chunk", [][]byte{[]byte(head("POST", "", chunked)), fmt.Appendf(nil, "%x\r\n", announcedBytes), body}},
		{"one-chunk-unfinished", [][]byte{[]byte(head("POST", "", chunked)), fmt.Appendf(nil, "%x\r\n", announcedBytes), body[:maxBody-1]}},
		{"chunks", [][]byte{[]byte(head("POST", "", chunked)), chunks(excessBytes, 64<<10, "")}},
	} {
		t.Run(form.name, func(t *testing.T) { play(t, crowd, sends(form.parts...)) })
	}
}

// TestLargestBodiesOnTheSmallestVM guards against a bound on memory that leaves no room for one request of
// the largest size that a deployment allows, and against a daemon that a few such requests end.
func TestLargestBodiesOnTheSmallestVM(t *testing.T) {
	c := harness.New(t)
	c.MaxBody = largestBody
	c.Settings = fmt.Sprintf("memory_mb: %d\ngc_percent: 50\n", maxMemory/1_000_000)
	attacked := start(c)
	largest := func(id string) harness.Response {
		return attacked.Send(harness.NewCallerClient(), harness.Call{
			Method: "POST", Path: "/tickets/7?discard", ID: id, Caller: "clerk", Body: strings.Repeat("x", largestBody),
		})
	}
	if res := largest("alone"); res.Outcome != "answered" || res.Body != "alone\n" {
		t.Errorf("a request of the largest size got %d %s %s, %v", res.Status, res.Outcome, res.Reason, res.Err)
	}
	var finished sync.WaitGroup
	for n := range largestCrowd {
		finished.Go(func() { largest(fmt.Sprint("together-", n)) })
	}
	finished.Wait()
	if res := largest("afterwards"); res.Outcome != "answered" || res.Body != "afterwards\n" {
		t.Errorf("a request of the largest size got %d %s %s afterwards, %v", res.Status, res.Outcome, res.Reason, res.Err)
	}
	checkMemory(t, c)
}

// TestUnfinishedHeadsFitInMemory guards against a daemon that runs out of memory because many clients
// stop short of the end of a request's head.
func TestUnfinishedHeadsFitInMemory(t *testing.T) {
	unfinished := strings.TrimSuffix(head("GET", "", "X-Long: "+strings.Repeat("x", headBytes)), "\r\n")
	play(t, crowd, sends([]byte(unfinished)))
}

// TestUnfinishedHeadsAndBodiesFitInMemory guards against a daemon that bounds the memory of heads and of
// bodies, but not of both together. Nearly as many clients are connected as a daemon with many
// descriptors accepts.
func TestUnfinishedHeadsAndBodiesFitInMemory(t *testing.T) {
	unfinished := []byte(strings.TrimSuffix(head("GET", "", "X-Long: "+strings.Repeat("x", headBytes)), "\r\n"))
	body := bytes.Repeat([]byte("x"), maxBody-1)
	var clients atomic.Int64
	playWith(t, manyDescriptors, manyClients, func(conn *net.TCPConn) {
		if clients.Add(1)%bodyShare == 0 {
			sends([]byte(head("POST", "", length(maxBody))), body)(conn)
			return
		}
		sends(unfinished)(conn)
	})
}

// TestUnreadAnswersFitInMemory guards against a daemon that runs out of memory because many clients do
// not read the answers that it has buffered for them. Each sends requests until one of its answers has
// to stay with the daemon, as the kernel takes no more.
func TestUnreadAnswersFitInMemory(t *testing.T) {
	request := head("GET", fmt.Sprintf("?answer_bytes=%d", answerBytes))
	play(t, crowd, sends([]byte(strings.Repeat(request, unreadAnswers))))
}

// TestSilentConnectionsLeaveDescriptors guards against a daemon whose descriptors are all taken by
// connections on which clients send nothing, so that it can neither accept nor open others.
func TestSilentConnectionsLeaveDescriptors(t *testing.T) {
	play(t, silentCrowd, func(*net.TCPConn) {})
}
