package agent

import (
	"context"
	"encoding/json"
	"math/rand/v2"

	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/internal/wire"
	"github.com/comfreygate/comfreygate/platform/store"
)

// departureRecord is a record of the departures topic: the upstreams on a VM that have said
// lately that they leave.
type departureRecord struct {
	Departures []wire.Departure `json:"departures"`
}

// handleDepartureRequests starts the reads and writes of the store's record of departures that a
// tick requested.
func (a *Agent) handleDepartureRequests(out system.Outbox) {
	if out.ReadDepartures {
		go a.readDepartures()
	}
	// A write that is in progress is followed by one of the newest record.
	if out.StoreDepartures != nil && a.departuresToStore.Swap(out.StoreDepartures) == nil {
		go a.storeDepartures()
	}
}

// readDepartures reads what the store remembers of this VM.
func (a *Agent) readDepartures() {
	var newest store.NewestRecords
	err := a.callStore("read departures", func(ctx context.Context) (err error) {
		newest, err = a.log.Newest(ctx, store.DepartureTopic)
		return err
	})
	if err != nil {
		a.input(system.DeparturesRead{Failed: true})
		return
	}
	list := decodeRecords(newest.Entries, a.logger, "read departures", "departures", func(e store.Entry) (rec departureRecord, ok bool) {
		return rec, e.Key != a.settings.VM || json.Unmarshal(e.Data, &rec) == nil
	})
	var read system.DeparturesRead
	for _, rec := range list {
		read.List = append(read.List, rec.Departures...)
	}
	a.input(read)
}

// storeDepartures writes the newest record of departures to the store, until that succeeds.
func (a *Agent) storeDepartures() {
	for a.ctx.Err() == nil {
		rec := a.departuresToStore.Load()
		if err := a.writeDepartures(rec.List); err != nil {
			a.input(system.DeparturesStored{Seq: rec.Seq, Failed: true})
			sleep(a.ctx, publishRetryDelay/2+rand.N(publishRetryDelay))
			continue
		}
		a.input(system.DeparturesStored{Seq: rec.Seq})
		if a.departuresToStore.CompareAndSwap(rec, nil) {
			return
		}
	}
}

// writeDepartures writes the store's record of this VM, or deletes it if the list is empty.
func (a *Agent) writeDepartures(list []wire.Departure) error {
	var data []byte
	if len(list) > 0 {
		var err error
		if data, err = json.Marshal(departureRecord{Departures: list}); err != nil {
			a.logger.Error().Str("step", "store departures").Err(err).Msg("departures could not be encoded; not stored")
			return err
		}
	}
	return a.callStore("store departures", func(ctx context.Context) error {
		return a.log.AppendKeyed(ctx, store.DepartureTopic, a.settings.VM, data)
	})
}
