package callpath

import (
	"net/http"
	"strconv"

	"github.com/comfreygate/comfreygate/internal/config"
)

// Paces outside these bounds are malformed.
const (
	minPace = 0.1
	maxPace = 20
)

// observePace passes the pace that an upstream reports in a response to its gate, where load
// control is in force. A response without a valid report changes nothing: the previous one
// stays valid for its time.
func (o *Owner) observePace(loc *localUpstream, h http.Header) {
	if o.cfg.Dialect.Pace == nil || !o.view.Load().Controls(config.Pace) {
		return
	}
	if pace, ok := o.cfg.Dialect.Pace(h); ok {
		loc.gate.RecordPace(pace)
	}
}

// statedPace returns the pace in HeaderPace. False: there is none, or it is malformed.
func statedPace(h http.Header) (float64, bool) {
	text := h.Get(HeaderPace)
	if text == "" {
		return 0, false // the error of ParseFloat would be allocated for every call
	}
	pace, err := strconv.ParseFloat(text, 64)
	if err != nil || !(pace >= minPace && pace <= maxPace) {
		return 0, false
	}
	return pace, true
}

// setPaceHeader sets the header of an upstream's pace unless work takes as long as usual.
func setPaceHeader(h http.Header, pace float64) {
	if pace > 0 && pace != 1 {
		h.Set(HeaderPace, strconv.FormatFloat(pace, 'f', -1, 64))
	}
}

// paceHeader returns the pace in a message between daemons; 1: as usual.
func paceHeader(h http.Header) float64 {
	if pace, ok := statedPace(h); ok {
		return pace
	}
	return 1
}
