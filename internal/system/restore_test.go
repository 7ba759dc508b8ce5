package system

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/freshness"
)

// TestOlderStoreDoesNotConfirmFreshness guards against keys that are let in past their bound: a
// store that came back with an older configuration than the one held cannot tell which
// configuration is the newest, until the operator has written that again.
func TestOlderStoreDoesNotConfirmFreshness(t *testing.T) {
	is := is.New(t)
	w := documentWorld()
	at := time.Unix(1001, 0)
	read := func(second int, d config.Document) freshness.Timestamp {
		w.Boot = time.Duration(second) * time.Second
		out := Tick(w, at.Add(w.Boot), []Input{DocumentRead{Document: d, StartedAt: w.Boot}})
		return out.FreshAt
	}
	seconds := func(n int) freshness.Timestamp { return freshness.Timestamp(time.Duration(n) * time.Second) }
	is.Equal(read(1, documentOf(5, 3)), seconds(1))
	is.Equal(read(2, config.Document{}), seconds(2)) // nothing later
	is.Equal(read(3, documentOf(4, 3)), seconds(2))  // the store came back older
	is.Equal(read(4, config.Document{}), seconds(2))
	is.Equal(w.Config.State.Version, uint64(5))
	is.Equal(read(5, documentOf(5, 3)), seconds(5)) // written again
	is.Equal(read(6, config.Document{}), seconds(6))
}
