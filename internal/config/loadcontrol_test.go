package config

import (
	"testing"

	"github.com/matryer/is"
)

// TestLoadControlFollowsTheConfiguration guards against load control in a deployment whose
// configuration does not call for it, and against its absence where callers compete for limits
// or links.
func TestLoadControlFollowsTheConfiguration(t *testing.T) {
	is := is.New(t)
	plain, limited, large := NewContent(), NewContent(), NewContent()
	plain.Policies["p"] = Policy{Name: "p"}
	plain.Workspaces["w"] = Workspace{Name: "w"}
	limited.Workspaces["w"] = Workspace{Name: "w", Rate: 1}
	large.Policies["p"] = Policy{Name: "p", LargeAnswers: true}
	is.True(!LoadControlAuto.InForce(plain))
	is.True(LoadControlAuto.InForce(limited))
	is.True(LoadControlAuto.InForce(large))
	is.True(LoadControlOn.InForce(plain))
	is.True(!LoadControlOff.InForce(limited))
	is.True(!LoadControl("sometimes").Valid())
}

// TestLargeAnswersAreNotInTheDigest guards against daemons of a build that does not know the
// field, which would take the state of all others for damaged while a fleet is upgraded.
func TestLargeAnswersAreNotInTheDigest(t *testing.T) {
	is := is.New(t)
	plain, large := NewContent(), NewContent()
	plain.Policies["p"] = Policy{Name: "p"}
	large.Policies["p"] = Policy{Name: "p", LargeAnswers: true}
	is.Equal(plain.digest(), large.digest())
	is.True(!plain.Policies["p"].Equal(large.Policies["p"]))
}
