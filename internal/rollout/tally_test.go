package rollout

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestRowRoundTripsThroughJSON encodes and decodes random rows.
func TestRowRoundTripsThroughJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := func(name string) int { return rapid.IntRange(0, 1<<40).Draw(t, name) }
		row := Row{
			Cell{Route: rapid.Uint32().Draw(t, "route"), Upstream: rapid.Uint32().Draw(t, "upstream"), Target: rapid.Bool().Draw(t, "target"), Moved: rapid.Bool().Draw(t, "moved")},
			Count{N: n("n"), Failed: n("failed"), Timed: n("timed"), Slow: n("slow")},
		}
		b, err := json.Marshal(row)
		if err != nil {
			t.Fatal(err)
		}
		var back Row
		if err := json.Unmarshal(b, &back); err != nil || back != row {
			t.Fatalf("row does not survive encoding: %s decoded as %+v, error %v", b, back, err)
		}
	})
}

func TestUnmarshalRefusesInvalidRows(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{`{}`, `[]`, `[1,2,3]`, `[-1,0,0,0,0,0,0]`, `[5000000000,0,0,0,0,0,0]`, `[1,1,1,"x",0,0,0]`, `[1,1,1,1,1,1,1,1]`, `[1.5,1,1,1,1,1,1]`} {
		var r Row
		is.True(json.Unmarshal([]byte(text), &r) != nil)
	}
}
