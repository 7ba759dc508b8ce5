package pick

import "github.com/comfreygate/comfreygate/internal/view"

// localityGroups holds the upstreams of a service by their distance from this daemon.
type localityGroups struct {
	// upstreams is the list from which the groups were built.
	upstreams []view.Upstream
	// local is the upstream on this VM, or nil; sameDomain are the other upstreams of
	// this failure domain, otherDomains the rest.
	local        *view.Upstream
	sameDomain   []*view.Upstream
	otherDomains []*view.Upstream
	// compressed is set if calls to at least one of otherDomains are compressed.
	compressed bool
}

// localityGroupsOf returns the groups of a service's upstreams. They are cached until the
// view changes.
func (p *Picker) localityGroupsOf(s *view.Service) *localityGroups {
	if cached := p.groups[s.Name]; cached != nil && sameList(cached.upstreams, s.Upstreams) {
		return cached
	}
	groups := &localityGroups{upstreams: s.Upstreams}
	for i := range s.Upstreams {
		u := &s.Upstreams[i]
		switch {
		case u.Local:
			groups.local = u
		case u.Domain == p.domain:
			groups.sameDomain = append(groups.sameDomain, u)
		default:
			groups.otherDomains = append(groups.otherDomains, u)
			groups.compressed = groups.compressed || u.Compress
		}
	}
	// A single upstream may be that of a key rather than the whole service.
	if len(s.Upstreams) > 1 {
		p.groups[s.Name] = groups
	}
	return groups
}

// sameList reports whether two lists share the same memory. The lists of a view never
// change.
func sameList(a, b []view.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// domainReachable reports whether this failure domain has a reachable upstream, full or not.
func (p *Picker) domainReachable(groups *localityGroups) bool {
	if groups.local != nil && !p.down[groups.local.Owner] && !p.isDraining(groups.local) {
		return true
	}
	for _, u := range groups.sameDomain {
		if !p.down[u.Owner] && !p.isDraining(u) {
			return true
		}
	}
	return false
}
