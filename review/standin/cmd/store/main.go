// Command store is a small stand-in of the platform's metadata store: log-append, log-read and
// log-newest, in memory, without limits and without faults. It prints its address.
package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// appendTime is how long an append takes.
const appendTime = 4 * time.Millisecond

// partition holds the records of one partition of a topic.
type partition struct {
	records [][]byte
	// grown is closed at the next append.
	grown chan struct{}
}

type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
}

func main() {
	s := &store{partitions: map[string]*partition{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	fmt.Println(ln.Addr())
	fmt.Fprintln(os.Stderr, http.Serve(ln, mux))
	os.Exit(2)
}

// partition returns the partition that the query names. The caller holds the lock.
func (s *store) partition(r *http.Request) *partition {
	name := r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part")
	p := s.partitions[name]
	if p == nil {
		p = &partition{grown: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(r)
	end := len(p.records)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(end) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if len(body) < 4+n {
			reply(w, http.StatusBadRequest, map[string]any{})
			return
		}
		p.records = append(p.records, body[4:4+n])
		body = body[4+n:]
	}
	close(p.grown)
	p.grown = make(chan struct{})
	reply(w, http.StatusOK, map[string]any{"offset": end, "end": len(p.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	maxKB, err := strconv.Atoi(q.Get("max_kb"))
	if err != nil {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		p := s.partition(r)
		records, grown := p.records, p.grown
		s.mu.Unlock()
		if from > len(records) {
			reply(w, http.StatusGone, map[string]any{"first": 0})
			return
		}
		if from < len(records) || wait <= 0 {
			writeRecords(w, records, from, maxKB<<10)
			return
		}
		select {
		case <-grown:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, from, most int) {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i, rec := range records[from:] {
		if i > 0 && len(out)+len(rec) > most {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(rec)))
		out = append(out, rec...)
	}
	w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	records := s.partition(r).records
	s.mu.Unlock()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := map[string]item{}
	for i, rec := range records {
		if len(rec) == 0 || len(rec) < 1+int(rec[0]) {
			continue
		}
		key, value := string(rec[1:1+rec[0]]), rec[1+rec[0]:]
		delete(newest, key)
		if len(value) > 0 {
			newest[key] = item{key, base64.StdEncoding.EncodeToString(value), i}
		}
	}
	items := []item{}
	for _, i := range newest {
		if after := r.URL.Query().Get("after"); strings.Compare(i.Key, after) > 0 {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end": len(records)})
}

func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(body)
}
