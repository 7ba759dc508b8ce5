package system

import (
	"testing"
	"time"

	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/table"
	"github.com/comfreygate/comfreygate/internal/view"
	"github.com/comfreygate/comfreygate/internal/wire"
)

// stormRoutes is the number of routes in the larger deployments, whose configuration
// documents are some 250 KB long.
const stormRoutes = 1700

// nextDocument returns the document of a later version, in which one route has another
// policy.
func nextDocument(doc config.Document) config.Document {
	next := config.Document{Version: doc.Version + 3, Content: config.NewContent()}
	next.Content.Services = doc.Content.Services
	for name, p := range doc.Content.Policies {
		next.Content.Policies[name] = p
	}
	for name, r := range doc.Content.Routes {
		next.Content.Routes[name] = r
	}
	p := next.Content.Policies["p"]
	p.Name = "q"
	p.Timeout = time.Duration(next.Version) * time.Millisecond
	next.Content.Policies["q"] = p
	r := next.Content.Routes["r7"]
	r.Policy = "q"
	next.Content.Routes["r7"] = r
	return next
}

// BenchmarkStorm measures what one version costs in a long storm of changes, from the
// decoded document to the view of the call path: for the daemon that reads it from the
// store and forwards it to 8 children, and for one of these children.
func BenchmarkStorm(b *testing.B) {
	at := time.Unix(1001, 0)
	reader, child := documentWorld(), documentWorld()
	doc := documentOf(5, stormRoutes)
	doc.Content.Policies["p"] = config.Policy{Name: "p", Urgency: config.Normal, Timeout: time.Second}
	Tick(reader, at, []Input{DocumentRead{Document: doc}})
	Tick(child, at, []Input{DocumentRead{Document: doc}})
	children := make([]*table.Link, 8)
	for i := range children {
		l := &table.Link{ID: table.LinkID(i + 1), Peer: string(rune('a' + i)), Domain: reader.Self.Domain, Position: 5, HeardAt: at, EchoAt: at, PingAt: at}
		reader.Links[l.ID] = l
		children[i] = l
	}
	var readerTime, childTime time.Duration
	var last wire.Delta
	var readerView, childView *view.View
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		doc = nextDocument(doc)
		at = at.Add(time.Second)
		for _, l := range children {
			l.HeardAt, l.EchoAt, l.PingAt = at, at, at
		}
		began := time.Now()
		out := Tick(reader, at, []Input{DocumentRead{Document: doc}})
		readerView = view.Build(reader, readerView)
		readerTime += time.Since(began)
		for _, s := range out.Sends {
			if d, ok := s.Message.(wire.Delta); ok {
				last = d
			}
		}
		if last.Version != doc.Version {
			b.Fatal("reader sent no delta of the new version")
		}
		began = time.Now()
		var childOut Outbox
		receiveDelta(child, at, &table.Link{ID: 1, Peer: "p"}, last, &childOut)
		childView = view.Build(child, childView)
		childTime += time.Since(began)
		if child.Config.State.Hash != reader.Config.State.Hash {
			b.Fatal("hash of the child's state differs from the reader's")
		}
	}
	b.ReportMetric(float64(readerTime.Microseconds())/float64(b.N), "µs/reader")
	b.ReportMetric(float64(childTime.Microseconds())/float64(b.N), "µs/child")
}
