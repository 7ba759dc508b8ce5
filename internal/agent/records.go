package agent

import (
	"github.com/rs/zerolog"

	"github.com/comfreygate/comfreygate/platform/store"
)

// known returns what read makes of the entries of a topic. What another writer left is
// none of these; it is left out and counted in one line, and the others hold.
func known[T any](entries []store.Entry, logger zerolog.Logger, step, none string, read func(store.Entry) (T, bool)) []T {
	var list []T
	for _, e := range entries {
		if item, ok := read(e); ok {
			list = append(list, item)
		}
	}
	if foreign := len(entries) - len(list); foreign > 0 {
		logger.Warn().Str("step", step).Int("records", foreign).Msg("no " + none + ", left out")
	}
	return list
}
