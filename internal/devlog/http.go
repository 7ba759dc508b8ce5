package devlog

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/platform/store"
)

// Handler returns a handler for the store's HTTP protocol and for control of the log:
// fault injection under /faults, and /expire, /reset, /save, /restore and /counts.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", l.serveAppend)
	mux.HandleFunc("GET /log-read", l.serveRead)
	mux.HandleFunc("GET /log-newest", l.serveNewest)
	mux.HandleFunc("PUT /faults", l.serveFaults)
	mux.HandleFunc("POST /expire/{name}", l.serveExpire)
	mux.HandleFunc("POST /reset", func(http.ResponseWriter, *http.Request) { l.Reset() })
	mux.HandleFunc("POST /save", func(http.ResponseWriter, *http.Request) { l.Save() })
	mux.HandleFunc("POST /restore", func(http.ResponseWriter, *http.Request) { l.Restore() })
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Counts()) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(store.EpochHeader, store.EncodeEpoch(l.Epoch()))
		mux.ServeHTTP(w, r)
	})
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("topic")
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxAppendBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	entries, err := entriesOf(topic, body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	at, err := optionalOffset(r.URL.Query().Get("at"))
	if err != nil {
		http.Error(w, "at: "+err.Error(), http.StatusBadRequest)
		return
	}
	var out store.AppendResult
	for i, e := range entries {
		offset, err := l.appendAt(r.Context(), topic, e, at)
		at = nil // the condition applies only to the first record
		var refused *store.StatusError
		if errors.As(err, &refused) {
			http.Error(w, refused.Body, refused.Status)
			return
		}
		if errors.Is(err, errAnswerLost) {
			panic(http.ErrAbortHandler) // the record was appended, but the client gets no answer
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if i == 0 {
			out.Offset = offset
		}
		out.End = offset + 1
	}
	writeJSON(w, out)
}

// optionalOffset parses an offset, or returns nil if the text is empty.
func optionalOffset(text string) (*uint64, error) {
	if text == "" {
		return nil, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return &n, err
}

func entriesOf(topic string, body []byte) ([]store.Entry, error) {
	records, err := store.DecodeRecords(body)
	if err != nil {
		return nil, err
	}
	entries := make([]store.Entry, 0, len(records))
	for _, data := range records {
		e := store.Entry{Data: data}
		if store.IsKeyedTopic(topic) {
			if e.Key, e.Data, err = store.SplitKey(data); err != nil {
				return nil, err
			}
		}
		entries = append(entries, e)
	}
	return entries, nil
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	params := r.URL.Query()
	from, err := strconv.ParseUint(params.Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(params.Get("wait_ms"))
	if err != nil {
		http.Error(w, "wait_ms: "+err.Error(), http.StatusBadRequest)
		return
	}
	q := store.Query{Topic: params.Get("topic"), From: from, Wait: time.Duration(wait) * time.Millisecond}
	batch, err := l.Read(r.Context(), q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if from < batch.First || from > batch.End {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, store.GoneError{First: batch.First})
		return
	}
	b, err := store.EncodeBatch(batch)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	// An error means that the client has disconnected; there is nobody to report it to.
	_, _ = w.Write(b)
}

func (l *Log) serveNewest(w http.ResponseWriter, r *http.Request) {
	newest, err := l.Newest(r.Context(), r.URL.Query().Get("topic"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out := store.NewestPage{End: newest.End}
	for _, e := range newest.Entries {
		out.Items = append(out.Items, store.NewestItem{Key: e.Key, Value: e.Data, Offset: e.Offset})
	}
	writeJSON(w, out)
}

func (l *Log) serveExpire(w http.ResponseWriter, r *http.Request) {
	keep, err := strconv.Atoi(r.URL.Query().Get("keep"))
	if err != nil || keep < 0 {
		http.Error(w, "keep: want a whole number", http.StatusBadRequest)
		return
	}
	l.Expire(r.PathValue("name"), keep)
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected; there is nobody to report it to.
	_ = json.NewEncoder(w).Encode(v)
}
