package retry

import "sync"

// budget is a token bucket per service that ties retries to calls: each call earns a
// fraction of a retry. However many calls fail, retries increase the load by no more than
// that fraction. It is safe for concurrent use.
type budget struct {
	mu     sync.Mutex
	ratio  float64
	burst  float64
	tokens map[string]float64
}

func newBudget(ratio, burst float64) *budget {
	return &budget{ratio: ratio, burst: burst, tokens: map[string]float64{}}
}

// earn credits the service with a call.
func (b *budget) earn(service string) { b.add(service, b.ratio) }

// add credits the service with a number of retries, up to the burst.
func (b *budget) add(service string, tokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	have, ok := b.tokens[service]
	if !ok {
		have = b.burst
	}
	b.tokens[service] = min(b.burst, have+tokens)
}

// charge deducts a token for an attempt that counts as a retry but is sent in any case.
// The balance may become negative; it must be earned back before the next retry.
func (b *budget) charge(service string) { b.add(service, -1) }

// spend takes one token and reports whether a retry to the service may be sent.
func (b *budget) spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < 1 {
		return false
	}
	b.tokens[service]--
	return true
}
