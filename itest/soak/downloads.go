package soak

import (
	"fmt"
	"net/http"

	"github.com/comfreygate/comfreygate/itest/harness"
)

const (
	// downloadLinkMbps is the speed of the VMs' links in runs with downloads: a response
	// takes 0.3 s, and the policy's timeout is 1 s, so that some downloads are refused.
	downloadLinkMbps = 2
	// downloadBytes is the size of the response to a download.
	downloadBytes = 64_000
	// downloadersPerVM is the number of callers that download through each VM without an
	// upstream.
	downloadersPerVM = 4
)

// linkOf returns the speed of the VMs' links in a seed's run. Half of the seeds have
// downloads, in all combinations with poison requests.
func linkOf(seed uint64) float64 {
	if seed%4 < 2 {
		return downloadLinkMbps
	}
	return 0
}

// startDownloads starts callers of calls with large responses if the links are limited, and
// returns nil otherwise. They send to VMs without an upstream, since responses within a VM do
// not use its link.
func (s *soakRun) startDownloads(prefix string) *callers {
	entries := s.entriesWithoutUpstream()
	if s.c.LinkMbps == 0 || len(entries) == 0 {
		return nil
	}
	return startCallers(downloadersPerVM, s.c.VMs, entries, func(n int64) harness.Call {
		return harness.Call{
			Method: http.MethodGet, Path: fmt.Sprintf("/downloads/x?answer_bytes=%d", downloadBytes),
			ID: fmt.Sprintf("%s-download-%d", prefix, n), Caller: "clerk", AnswerBytes: downloadBytes,
		}
	})
}

// entriesWithoutUpstream returns the indices of the VMs without an upstream.
func (s *soakRun) entriesWithoutUpstream() []int {
	var entries []int
	for i, u := range s.upstreams {
		if u == nil {
			entries = append(entries, i)
		}
	}
	return entries
}

// collectDownloads stops the downloads and returns their samples. It checks that some were
// answered, without which the guarantees about them would hold trivially.
func (s *soakRun) collectDownloads(c *callers) []sample {
	s.t.Helper()
	if c == nil {
		return nil
	}
	samples := c.stopAndCollect()
	results := tally(samples)
	s.t.Logf("downloads: %v", results)
	if results["answered"] == 0 {
		s.t.Error("no download was answered")
	}
	return samples
}
