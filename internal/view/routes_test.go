package view

import (
	"testing"

	"github.com/matryer/is"
)

// TestMatchIgnoresHostCaseAndPort guards against valid calls refused with 404 because their
// host is written in another case or with a port.
func TestMatchIgnoresHostCaseAndPort(t *testing.T) {
	v := &View{Routes: NewRoutes(
		&Route{Name: "one", Host: "One.example", Path: "/one/"}, &Route{Name: "six", Host: "[fd00::1]", Path: "/six/"},
		&Route{Name: "two", Host: "two.example:8080", Path: "/two/"}, &Route{Name: "any", Path: "/any/"},
	)}
	for _, c := range []struct{ host, path, want string }{
		{"one.example", "/one/1", "one"}, {"ONE.example", "/one/1", "one"}, {"one.example:8147", "/one/1", "one"},
		{"two.example:8080", "/two/1", "two"}, {"Two.example:8080", "/two/1", "two"}, {"two.example:8147", "/two/1", ""}, {"two.example", "/two/1", ""},
		{"[FD00::1]", "/six/1", "six"}, {"[fd00::1]:8147", "/six/1", "six"},
		{"other.example", "/any/1", "any"}, {"", "/any/1", "any"}, {":80", "/any/1", "any"},
		{"other.example", "/one/1", ""}, {"one.example", "/two/1", ""}, {"", "/one/1", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			r, ok := v.Match(c.host, c.path)
			is.Equal(ok, c.want != "")
			if ok {
				is.Equal(r.Name, c.want)
			}
		})
	}
}

func BenchmarkMatch(b *testing.B) {
	v := &View{Routes: NewRoutes(&Route{Name: "one", Host: "one.example", Path: "/one/"})}
	for b.Loop() {
		v.Match("one.example", "/one/1")
	}
}
