package suspect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRecentIsBoundedInTimeAndNumber(t *testing.T) {
	is := is.New(t)
	c := newClock()
	r := NewRecent(c.now)
	r.Add(1)
	r.Add(2)
	is.True(r.ExemptOnce(1))
	is.True(!r.ExemptOnce(1)) // only once per answer
	is.True(r.Has(1))
	r.Add(1)
	is.True(r.ExemptOnce(1)) // again after another answer
	c.at = c.at.Add(recentWindow)
	r.Add(3)
	is.True(r.ExemptOnce(2))
	is.True(!r.ExemptOnce(2))
	r.Add(4)
	c.at = c.at.Add(2 * recentWindow)
	is.True(!r.ExemptOnce(4))
	is.True(!r.Has(4))
	for i := range 3 * maxRecent {
		r.Add(Digest(i + 10))
	}
	is.True(len(r.current)+len(r.previous) <= 2*maxRecent)
}

func BenchmarkAdd(b *testing.B) {
	r := NewRecent(time.Now)
	body := make([]byte, 1000)
	for i := 0; b.Loop(); i++ {
		body[0], body[1] = byte(i), byte(i>>8)
		r.Add(Of("clerk", "GET", "a.example", "/tickets/42", "", body))
	}
}
