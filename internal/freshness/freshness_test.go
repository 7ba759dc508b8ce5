package freshness_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/freshness"
)

func TestTimestampIsFreshWithinBound(t *testing.T) {
	is := is.New(t)
	const bound = 5 * time.Second
	confirmed := freshness.Timestamp(10 * time.Second)
	is.True(confirmed.Fresh(14*time.Second, bound))
	is.True(!confirmed.Fresh(15*time.Second, bound))
	is.True(!freshness.Timestamp(0).Fresh(time.Second, bound)) // never known to be the newest
	is.True(freshness.Timestamp(0).Fresh(time.Hour, 0))        // no bound
	is.Equal(freshness.FromPeer(time.Second, time.Hour), freshness.Timestamp(0))
}

func TestSendTimesDropsOldMessages(t *testing.T) {
	is := is.New(t)
	var times freshness.SendTimes
	_, ok := times.At(0)
	is.True(!ok)
	for seq := uint64(1); seq <= 40; seq++ {
		times.Sent(seq, time.Duration(seq)*time.Second)
	}
	at, ok := times.At(40)
	is.True(ok)
	is.Equal(at, 40*time.Second)
	_, ok = times.At(41)
	is.True(!ok) // not sent yet
	_, ok = times.At(10)
	is.True(!ok) // too long ago
}

// A daemon's parent confirms the age that its configuration had when it had received the
// daemon's third ping.
func Example() {
	var pings freshness.SendTimes
	pings.Sent(3, 20*time.Second)
	sent, _ := pings.At(3)
	confirmed := freshness.FromPeer(sent, 700*time.Millisecond)
	fmt.Println(confirmed.Fresh(24*time.Second, 5*time.Second), confirmed.Fresh(25*time.Second, 5*time.Second))
	// Output: true false
}
