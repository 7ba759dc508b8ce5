package callpath

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSlowRoutesAreNotAskedAboutAllTheTime covers services whose ordinary
// calls last longer than the setting: asking at each of them doubled what a
// call costs, and told nothing.
func TestSlowRoutesAreNotAskedAboutAllTheTime(t *testing.T) {
	is := is.New(t)
	r := &remote{inquireAfter: 500 * time.Millisecond}
	is.Equal(r.patience(&Attempt{Usual: 20 * time.Millisecond}), 500*time.Millisecond)
	is.Equal(r.patience(&Attempt{Usual: 450 * time.Millisecond}), 900*time.Millisecond)
}
