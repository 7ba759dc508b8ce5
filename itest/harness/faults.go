package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/comfreygate/comfreygate/internal/devlog"
	"github.com/comfreygate/comfreygate/itest/fault"
)

// Partition discards all traffic between the VMs of two failure domains for which
// separated returns true, and restores all other traffic.
func (c *Cluster) Partition(separated func(a, b string) bool) {
	domains := map[string]string{}
	for _, v := range c.VMs {
		domains[v.IP] = v.Domain
	}
	for _, v := range c.VMs {
		rule := func(ip string) fault.Rule {
			drop := separated(domains[ip], v.Domain)
			return fault.Rule{DropUp: drop, DropDown: drop}
		}
		v.Peers.SetRules(rule)
		v.Owner.SetRules(rule)
	}
}

// PartitionLog discards all traffic between the log and the VMs of failure domains for
// which separated returns true.
func (c *Cluster) PartitionLog(separated func(domain string) bool) {
	domains := map[string]string{}
	for _, v := range c.VMs {
		domains[v.IP] = v.Domain
	}
	c.LogProxy.SetRules(func(ip string) fault.Rule {
		drop := separated(domains[ip])
		return fault.Rule{DropUp: drop, DropDown: drop}
	})
}

// SetLogFaults sets the faults that the log itself injects into its operations.
func (c *Cluster) SetLogFaults(f devlog.Faults) {
	c.T.Helper()
	b, err := json.Marshal(f)
	if err != nil {
		c.T.Fatal(err)
	}
	c.controlLog(http.MethodPut, "/faults", b)
}

// ExpireLog makes the log expire all but the last keep records of a stream.
func (c *Cluster) ExpireLog(stream string, keep int) {
	c.T.Helper()
	c.controlLog(http.MethodPost, fmt.Sprintf("/expire/%s?keep=%d", stream, keep), nil)
}

// ResetLog makes the log lose all records and restart its offsets.
func (c *Cluster) ResetLog() { c.controlLog(http.MethodPost, "/reset", nil) }

func (c *Cluster) controlLog(method, path string, body []byte) {
	c.T.Helper()
	req, err := http.NewRequest(method, c.LogURL+path, bytes.NewReader(body))
	if err != nil {
		c.T.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		c.T.Fatal(err)
	}
	res.Body.Close()
}

// LogCounts returns the log's operation counts.
func (c *Cluster) LogCounts() devlog.Counts {
	c.T.Helper()
	var n devlog.Counts
	res, err := http.Get(c.LogURL + "/counts")
	if err != nil {
		c.T.Fatal(err)
	}
	defer res.Body.Close()
	if err := json.NewDecoder(res.Body).Decode(&n); err != nil {
		c.T.Fatal(err)
	}
	return n
}
