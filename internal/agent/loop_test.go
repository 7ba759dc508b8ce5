package agent

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/internal/callpath"
	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/internal/settings"
	"github.com/comfreygate/comfreygate/internal/system"
	"github.com/comfreygate/comfreygate/platform/store"
)

// TestInvalidAddressRecordsAreSkipped guards against records of another writer on the members
// topic: only they are skipped, and the addresses of daemons are used, the newest first.
func TestInvalidAddressRecordsAreSkipped(t *testing.T) {
	is := is.New(t)
	var entries []store.Entry
	for i, text := range []string{`{"peer":"10.0.0.1:1"}`, "\x00", "", "null", "[]", `{"peer":7}`, `{}`, `{"peer":"10.0.0.2:1","more":1}`} {
		entries = append(entries, store.Entry{Offset: uint64(i), Key: "vm", Data: []byte(text)})
	}
	is.Equal(newestAddresses(entries, zerolog.Nop()), []string{"10.0.0.2:1", "10.0.0.1:1"})
}

// TestDomainsOfAddressRecords covers records of daemons with and without a failure domain. Daemons
// of earlier builds publish none: their addresses are used, with the domain unknown.
func TestDomainsOfAddressRecords(t *testing.T) {
	is := is.New(t)
	var entries []store.Entry
	for i, text := range []string{`{"peer":"10.0.0.1:1"}`, `{"domain":"d1"}`, `{"peer":"10.0.0.2:1","domain":7}`, `{"peer":"10.0.0.3:1","domain":"d1"}`} {
		entries = append(entries, store.Entry{Offset: uint64(i), Key: "vm", Data: []byte(text)})
	}
	is.Equal(domainsByAddress(entries), map[string]string{"10.0.0.3:1": "d1"})
	is.Equal(newestAddresses(entries, zerolog.Nop()), []string{"10.0.0.3:1", "10.0.0.1:1"})
}

// newTestAgent returns an agent that has not been started and that is killed when the test ends.
func newTestAgent(t *testing.T, log store.Log) *Agent {
	t.Helper()
	s := settings.Default()
	s.VM, s.FailureDomain = "vm", "domain"
	const anyPort = "127.0.0.1:0"
	s.Listen = settings.Listen{Callers: anyPort, Admin: anyPort, Peers: anyPort, Owner: anyPort, Local: anyPort}
	a, err := New(s, Options{Log: log, Logger: zerolog.Nop(), Dialect: callpath.DefaultDialect()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(a.Kill)
	return a
}

// TestReadIsNotRepeatedBeforeItsResultIsApplied guards against reads of the store that are
// repeated while the result of the last one waits for a tick: on a busy machine, daemons that
// started read the same records twice.
func TestReadIsNotRepeatedBeforeItsResultIsApplied(t *testing.T) {
	is := is.New(t)
	log := devlog.New()
	_, err := log.Append(context.Background(), store.ConfigTopic, []byte("{}"))
	is.NoErr(err)
	a := newTestAgent(t, log)
	const settleTime = 50 * time.Millisecond // a read from the stand-in log takes far less
	for _, out := range []system.Outbox{{ReadLog: true}, {ReadQuarantine: true}} {
		before := log.Counts().Reads
		request := func() int64 {
			a.handleLogRequests(out)
			a.handleQuarantineRequests(out)
			time.Sleep(settleTime)
			return log.Counts().Reads - before
		}
		is.Equal(request(), int64(1))
		result := awaitReadResult(a)
		is.Equal(request(), int64(1)) // not repeated while the result waits
		a.noteReadsDone([]system.Input{result})
		is.Equal(request(), int64(2))
		for len(a.inputs) > 0 {
			<-a.inputs
		}
	}
}

// awaitReadResult returns the next queued result of a read.
func awaitReadResult(a *Agent) system.Input {
	for {
		switch in := (<-a.inputs).(type) {
		case system.LogRead, system.QuarantineRead:
			return in
		}
	}
}

// TestOwnRecordIsNotCountedAmongOthers guards against a daemon that does not publish its addresses
// although one daemon less than wanted is listed: its own outdated record was counted too.
func TestOwnRecordIsNotCountedAmongOthers(t *testing.T) {
	is := is.New(t)
	log := devlog.New()
	for _, vm := range []string{"vm", "other-1", "other-2"} {
		is.NoErr(log.AppendKeyed(context.Background(), store.MemberTopic, vm, []byte(`{"peer":"10.0.0.1:1"}`)))
	}
	a := newTestAgent(t, log)
	a.findSeeds()
	for len(a.inputs) > 0 {
		if listed, ok := (<-a.inputs).(system.SelfListed); ok {
			is.Equal(listed, system.SelfListed{Others: 2})
			return
		}
	}
	t.Error("findSeeds has not reported whether the daemon is listed")
}
