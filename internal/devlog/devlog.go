// Package devlog is an in-memory implementation of the platform's metadata store for
// development and tests, with fault injection. The dev mode serves it in process; the
// integration tests run it as a separate process and make it fail. Nothing is persisted.
package devlog

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/platform/store"
)

// maxAppendBytes bounds the size of the records in one append.
const maxAppendBytes = 8 << 20

// maxReadEntries bounds the number of entries that one read returns.
const maxReadEntries = 1000

// Faults are the faults that the log injects.
type Faults struct {
	// Down makes every operation fail.
	Down bool `json:"down"`
	// DelayMs is added to every operation.
	DelayMs int `json:"delay_ms"`
	// LoseAnswers is the number of appends, from the next one on, that take effect but report
	// a failure.
	LoseAnswers int `json:"lose_answers"`
}

// Counts are the numbers of appends and reads, and the bytes of record data read.
type Counts struct {
	Appends int64 `json:"appends"`
	Reads   int64 `json:"reads"`
	Bytes   int64 `json:"bytes"`
}

type topicRecords struct {
	first   uint64
	entries []store.Entry
	// newest holds the newest record of each key, including records that have expired.
	newest map[string]store.Entry
}

func (s *topicRecords) end() uint64 { return s.first + uint64(len(s.entries)) }

// Log is an in-memory store.Log. The zero value is not usable; create one with New.
type Log struct {
	mu      sync.Mutex
	topics  map[string]*topicRecords
	faults  Faults
	counts  Counts
	changed chan struct{}
	epoch   uint64
	// saved is the copy that Restore comes back from.
	saved map[string]*topicRecords
}

var _ store.Log = (*Log)(nil)

// New returns an empty log.
func New() *Log {
	return &Log{topics: map[string]*topicRecords{}, changed: make(chan struct{}), epoch: 1}
}

type errDown struct{}

func (errDown) Error() string { return "log is down" }

// errAnswerLost is the injected failure of an append that took effect.
var errAnswerLost = errors.New("answer to an append lost by an injected fault; the record was appended")

// Append implements store.Log.
func (l *Log) Append(ctx context.Context, topic string, data []byte) (uint64, error) {
	return l.append(ctx, topic, store.Entry{Data: data})
}

// AppendKeyed implements store.Log.
func (l *Log) AppendKeyed(ctx context.Context, topic, key string, data []byte) error {
	_, err := l.append(ctx, topic, store.Entry{Key: key, Data: data})
	return err
}

// AppendKeyedAt implements store.Log.
func (l *Log) AppendKeyedAt(ctx context.Context, topic, key string, data []byte, at uint64) error {
	_, err := l.appendAt(ctx, topic, store.Entry{Key: key, Data: data}, &at)
	return err
}

// Newest implements store.Log.
func (l *Log) Newest(ctx context.Context, topic string) (store.NewestRecords, error) {
	if err := l.applyFaults(ctx); err != nil {
		return store.NewestRecords{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Reads++
	s := l.recordsOf(topic)
	out := store.NewestRecords{End: s.end(), Epoch: l.epoch}
	for _, key := range slices.Sorted(maps.Keys(s.newest)) {
		out.Entries = append(out.Entries, s.newest[key])
	}
	return out, nil
}

func (l *Log) append(ctx context.Context, topic string, e store.Entry) (uint64, error) {
	return l.appendAt(ctx, topic, e, nil)
}

// appendAt appends a record if the topic ends at offset at, or unconditionally if at is
// nil.
func (l *Log) appendAt(ctx context.Context, topic string, e store.Entry, at *uint64) (uint64, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Appends++
	s := l.recordsOf(topic)
	offset := s.end()
	if at != nil && *at != offset {
		return 0, &store.StatusError{Status: http.StatusPreconditionFailed, Body: fmt.Sprintf(`{"end":%d}`, offset)}
	}
	e.Offset = offset
	s.entries = append(s.entries, e)
	switch {
	case e.Key != "" && len(e.Data) > 0:
		s.newest[e.Key] = e
	case e.Key != "":
		delete(s.newest, e.Key)
	}
	close(l.changed)
	l.changed = make(chan struct{})
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, errAnswerLost
	}
	return offset, nil
}

// Read implements store.Log.
func (l *Log) Read(ctx context.Context, q store.Query) (store.Batch, error) {
	if err := l.applyFaults(ctx); err != nil {
		return store.Batch{}, err
	}
	l.mu.Lock()
	l.counts.Reads++
	l.mu.Unlock()
	timer := time.NewTimer(q.Wait)
	defer timer.Stop()
	for {
		batch, changed, err := l.readAvailable(q.Topic, q.From)
		if err != nil || len(batch.Entries) > 0 || q.From > batch.End {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return batch, ctx.Err()
		}
	}
}

func (l *Log) readAvailable(topic string, from uint64) (store.Batch, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return store.Batch{}, nil, errDown{}
	}
	s := l.recordsOf(topic)
	batch := store.Batch{First: s.first, End: s.end(), Epoch: l.epoch}
	from = max(from, s.first)
	if from < s.end() {
		batch.Entries = s.entries[from-s.first:]
		batch.Entries = batch.Entries[:min(len(batch.Entries), maxReadEntries)]
	}
	for _, e := range batch.Entries {
		l.counts.Bytes += int64(len(e.Data))
	}
	return batch, l.changed, nil
}

// applyFaults applies the delay and the outage, the faults that affect every operation.
func (l *Log) applyFaults(ctx context.Context) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.DelayMs > 0 {
		timer := time.NewTimer(time.Duration(f.DelayMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Down {
		return errDown{}
	}
	return nil
}

func (l *Log) recordsOf(topic string) *topicRecords {
	s := l.topics[topic]
	if s == nil {
		s = &topicRecords{newest: map[string]store.Entry{}}
		l.topics[topic] = s
	}
	return s
}

// SetFaults replaces the injected faults and wakes waiting reads.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Expire drops all but the last keep records of a topic, as retention does. The newest
// record of each key is kept.
func (l *Log) Expire(topic string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.recordsOf(topic)
	drop := max(0, len(s.entries)-keep)
	s.first += uint64(drop)
	s.entries = append([]store.Entry(nil), s.entries[drop:]...)
}

// Reset deletes all topics; offsets start at zero again.
func (l *Log) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topics = map[string]*topicRecords{}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Save keeps a copy of the log for Restore.
func (l *Log) Save() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.saved = copyTopics(l.topics)
}

// Restore makes the log come back from the copy that Save kept last, or empty if there is
// none. What was appended since is gone, its offsets are given out again, and a new epoch
// begins.
func (l *Log) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topics = copyTopics(l.saved)
	l.epoch++
	close(l.changed)
	l.changed = make(chan struct{})
}

func copyTopics(topics map[string]*topicRecords) map[string]*topicRecords {
	out := make(map[string]*topicRecords, len(topics))
	for name, s := range topics {
		out[name] = &topicRecords{first: s.first, entries: slices.Clone(s.entries), newest: maps.Clone(s.newest)}
	}
	return out
}

// Epoch implements store.Log.
func (l *Log) Epoch() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch
}

// Counts returns the counts since the log was created.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
