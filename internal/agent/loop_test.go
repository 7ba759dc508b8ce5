package agent

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

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
