package callpath

import (
	"net"
	"net/http"
	"sync"

	"github.com/comfreygate/comfreygate/internal/memory"
)

const (
	// freeHeadBytes is how much of a head costs no memory of the budget: what the server's buffer of a
	// connection holds anyway.
	freeHeadBytes = 4 << 10
	// headMemoryFactor is the memory that a byte of a head takes while it is read and parsed, in bytes:
	// those of the line, which is gathered first, and of its copy in the fields.
	headMemoryFactor = 3
)

// headMemory takes memory for the head of a request as it arrives. It is safe for concurrent use.
type headMemory struct {
	// open returns an empty account that may be evicted.
	open func() *memory.Account

	mu      sync.Mutex
	read    int
	ended   bool
	account *memory.Account
}

// openHead returns an account for a head. If it is evicted, the connection reads no further.
func openHead(budget *memory.Budget, c net.Conn) *memory.Account {
	account := budget.Open()
	account.Unpin(func() { setReadDeadline(c, longAgo) })
	return account
}

// take takes memory for n more bytes. False: none is left.
func (h *headMemory) take(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return true
	}
	if h.read += n; h.read <= freeHeadBytes {
		return true
	}
	if h.account == nil {
		h.account = h.open()
	}
	return h.account.Take(int64(n) * headMemoryFactor)
}

// end records that the head has been read. False: its memory was needed elsewhere, and the connection
// reads no further.
func (h *headMemory) end() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	return h.account.Pin()
}

// reset gives the memory back, before the next head or at the end of the connection.
func (h *headMemory) reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.account.Close()
	h.read, h.ended, h.account = 0, false, nil
}

// endHead records that the head of a request has been read, and reports whether its memory is still its own.
func endHead(r *http.Request) bool {
	c, ok := connOf(r).(*callerConn)
	return !ok || c.head.end()
}
