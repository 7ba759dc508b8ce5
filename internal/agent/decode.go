package agent

import (
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/platform/store"
)

// decodeRecords returns the records that decode accepts among the entries of a topic. Entries
// that are not valid, such as those of another writer, are skipped, and their number is logged
// in one line.
func decodeRecords[T any](entries []store.Entry, logger zerolog.Logger, step, what string, decode func(store.Entry) (T, bool)) []T {
	var list []T
	for _, e := range entries {
		if item, ok := decode(e); ok {
			list = append(list, item)
		}
	}
	if skipped := len(entries) - len(list); skipped > 0 {
		logger.Warn().Str("step", step).Int("records", skipped).Msg("records on the store are not valid " + what + "; skipped")
	}
	return list
}
