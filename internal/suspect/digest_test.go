package suspect

import (
	"testing"

	"github.com/matryer/is"
)

// TestDigestTellsRequestsApart: copies are alike, and each part that a caller chooses
// counts, wherever one ends and the next begins.
func TestDigestTellsRequestsApart(t *testing.T) {
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
	back, err := ParseDigest(base.String())
	is.NoErr(err)
	is.Equal(back, base)
}
