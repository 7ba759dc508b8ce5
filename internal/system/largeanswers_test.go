package system

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// largeDocument returns a document whose policy has large answers.
func largeDocument(version uint64) config.Document {
	d := documentOf(version, 3)
	p := d.Content.Policies["p"]
	p.LargeAnswers = true
	d.Content.Policies["p"] = p
	return d
}

// TestDroppedLargeAnswersAreRestored guards against daemons of one version of which some have
// load control in force and others do not: a daemon of a build that does not know the field
// passes the configuration on without it, and the hashes of both states are equal.
func TestDroppedLargeAnswersAreRestored(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1001, 0)
	complete, lacking := documentWorld(), documentWorld()
	Tick(complete, at, []Input{DocumentRead{Document: largeDocument(5)}})
	Tick(lacking, at, []Input{DocumentRead{Document: documentOf(5, 3)}})
	is.Equal(complete.Config.State.Hash, lacking.Config.State.Hash)

	l := &table.Link{ID: 1, Peer: "other"}
	var out Outbox
	receivePing(complete, at, l, nextPing(lacking, at, l), &out)
	is.Equal(len(pulls(out)), 0) // the other one lacks the field
	receivePing(lacking, at, l, nextPing(complete, at, l), &out)
	is.Equal(len(pulls(out)), 1)
	var answer Outbox
	answerPull(complete, at, l, pulls(out)[0], &answer)
	receiveSnapshot(lacking, at, l, answer.Sends[0].Message.(wire.Snapshot), &out)
	is.True(lacking.Config.State.Content.Policies["p"].LargeAnswers)
	is.True(lacking.ViewDirty)

	var later Outbox
	receivePing(lacking, at.Add(time.Minute), l, nextPing(complete, at, l), &later)
	is.Equal(len(pulls(later)), 0)
}

// TestDocumentReadRestoresLargeAnswers guards against a root that got a version from peers of a
// build that does not know the field, and then takes the same document for one it holds.
func TestDocumentReadRestoresLargeAnswers(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1001, 0)
	w := documentWorld()
	Tick(w, at, []Input{DocumentRead{Document: documentOf(5, 3)}})
	Tick(w, at, []Input{DocumentRead{Document: largeDocument(5)}})
	is.True(w.Config.State.Content.Policies["p"].LargeAnswers)
	is.Equal(w.Config.State.Version, uint64(5))
}

// pulls returns the pulls in an outbox.
func pulls(out Outbox) []wire.Pull {
	var list []wire.Pull
	for _, s := range out.Sends {
		if p, ok := s.Message.(wire.Pull); ok {
			list = append(list, p)
		}
	}
	return list
}
