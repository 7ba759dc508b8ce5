// Package suspect keeps which requests are suspected of ending the upstreams that run
// them.
package suspect

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Digest stands for all copies of a request, whatever their IDs: those with the same
// caller, method, host, path, query and body. The host is empty where routes take any.
type Digest uint64

// Of returns the digest of a request. It allocates nothing and reads the body once, at
// about 10 GB/s.
func Of(caller, method, host, path, query string, body []byte) Digest {
	var h xxhash.Digest
	h.Reset()
	for _, s := range [...]string{caller, method, host, path, query} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(s)))
		// Writing to a hash never fails.
		_, _ = h.Write(n[:])
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(body)
	return Digest(h.Sum64())
}

// String returns 16 hexadecimal digits, as in logs and messages.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// ParseDigest reads what String wrote.
func ParseDigest(s string) (Digest, error) {
	n, err := strconv.ParseUint(s, 16, 64)
	return Digest(n), err
}
