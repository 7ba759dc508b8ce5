// Package devlog is an in-memory stand-in for the platform's metadata store. The
// dev mode serves it in process, and the tests run it as a process of its own
// and make it fail. It is not meant for anything that must last.
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

// maxAppendBytes bounds the records of one append.
const maxAppendBytes = 8 << 20

// maxReadEntries bounds the entries of one read.
const maxReadEntries = 1000

// Faults makes the log fail on purpose.
type Faults struct {
	// Down refuses every operation.
	Down bool `json:"down"`
	// DelayMs is added to every operation.
	DelayMs int `json:"delay_ms"`
	// LoseAnswers is how many of the next appends take effect and then
	// report a failure.
	LoseAnswers int `json:"lose_answers"`
}

// Counts says how often the log was used.
type Counts struct {
	Appends int64 `json:"appends"`
	Reads   int64 `json:"reads"`
	Bytes   int64 `json:"bytes"`
}

type topicRecords struct {
	first   uint64
	entries []store.Entry
	// newest holds the newest record of each key, also after it expired.
	newest map[string]store.Entry
}

func (s *topicRecords) end() uint64 { return s.first + uint64(len(s.entries)) }

// Log is the stand-in. The zero value is not usable: see New.
type Log struct {
	mu      sync.Mutex
	topics map[string]*topicRecords
	faults  Faults
	counts  Counts
	changed chan struct{}
}

var _ store.Log = (*Log)(nil)

// New returns an empty log.
func New() *Log {
	return &Log{topics: map[string]*topicRecords{}, changed: make(chan struct{})}
}

type errDown struct{}

func (errDown) Error() string { return "log is down" }

// errAnswerLost is the failure of an append that took effect.
var errAnswerLost = errors.New("the answer is lost")

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
func (l *Log) Newest(ctx context.Context, topic string) (store.Newest, error) {
	if err := l.applyFaults(ctx); err != nil {
		return store.Newest{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Reads++
	s := l.topic(topic)
	out := store.Newest{End: s.end()}
	for _, key := range slices.Sorted(maps.Keys(s.newest)) {
		out.Entries = append(out.Entries, s.newest[key])
	}
	return out, nil
}

func (l *Log) append(ctx context.Context, topic string, e store.Entry) (uint64, error) {
	return l.appendAt(ctx, topic, e, nil)
}

// appendAt appends if the stream ends at that offset, or anywhere if at is nil.
func (l *Log) appendAt(ctx context.Context, topic string, e store.Entry, at *uint64) (uint64, error) {
	if err := l.applyFaults(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Appends++
	s := l.topic(topic)
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
	s := l.topic(topic)
	batch := store.Batch{First: s.first, End: s.end()}
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

// applyFaults applies the faults that hit every operation.
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

func (l *Log) topic(topic string) *topicRecords {
	s := l.topics[topic]
	if s == nil {
		s = &topicRecords{newest: map[string]store.Entry{}}
		l.topics[topic] = s
	}
	return s
}

// SetFaults replaces the faults and wakes waiting reads.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.changed)
	l.changed = make(chan struct{})
}

// Expire forgets all but the last keep records of a stream, as retention does.
func (l *Log) Expire(topic string, keep int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.topic(topic)
	drop := max(0, len(s.entries)-keep)
	s.first += uint64(drop)
	s.entries = append([]store.Entry(nil), s.entries[drop:]...)
}

// Reset loses every stream; offsets begin again at zero.
func (l *Log) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topics = map[string]*topicRecords{}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Counts returns how often the log was used so far.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}
