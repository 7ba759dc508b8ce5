package suspect

import (
	"testing"

	"github.com/matryer/is"
)

// TestDigestsOfDifferentRequestsDiffer checks that copies of a request have one digest, and
// that every part which a caller chooses contributes to it, including the boundaries
// between adjacent parts.
func TestDigestsOfDifferentRequestsDiffer(t *testing.T) {
	is := is.New(t)
	base := Of("clerk", "GET", "a.example", "/x/1", "", nil)
	is.Equal(base, Of("clerk", "GET", "a.example", "/x/1", "", []byte{}))
	for _, other := range []Digest{
		Of("app", "GET", "a.example", "/x/1", "", nil), Of("clerk", "POST", "a.example", "/x/1", "", nil),
		Of("clerk", "GET", "b.example", "/x/1", "", nil), Of("clerk", "GET", "a.example", "/x/1", "q=1", nil),
		Of("clerk", "GET", "a.example", "/x/1", "", []byte("1")), Of("clerk", "GET", "a.example/", "x/1", "", nil),
		Of("clerk", "GET", "a.example", "/x/", "1", nil),
	} {
		is.True(other != base)
	}
	is.Equal(testing.AllocsPerRun(100, func() { Of("clerk", "GET", "a.example", "/x/1", "", []byte("1")) }), 0.0)
	parsed, err := ParseDigest(base.String())
	is.NoErr(err)
	is.Equal(parsed, base)
}
