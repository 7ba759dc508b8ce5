package system

import (
	"fmt"
	"time"

	"github.com/comfreygate/comfreygate/internal/event"
	"github.com/comfreygate/comfreygate/internal/table"
)

// receiveStoreEpoch handles an epoch that the store has named. A later epoch than the one known
// means that the store has come back from an older copy of itself: what this system wrote last
// is gone, and must be written again where this daemon still relies on it.
func receiveStoreEpoch(w *table.World, now time.Time, e StoreEpoch, out *Outbox) {
	previous := w.Log.Epoch
	if e.Epoch <= previous {
		return
	}
	w.Log.Epoch = e.Epoch
	if previous == 0 {
		return // the first epoch that this daemon hears of
	}
	out.event(event.Event{
		Kind: event.StoreRestored, Version: w.Config.State.Version,
		Detail: fmt.Sprintf("store came back from an older copy: epoch %d after %d", e.Epoch, previous),
	})
	for _, r := range w.Rollouts {
		r.Stored, r.Published, r.Due = false, false, time.Time{}
	}
	w.Memory.Stored = nil
	compareStored(w)
	if w.Log.Listing == table.Listed {
		w.Log.NextPublish = now.Add(time.Duration(w.Rand.Int64N(int64(republishSpread))))
	}
}

// republishSpread is the time over which daemons spread the publication of their addresses
// after a restore of the store.
const republishSpread = time.Second
