package harness

import (
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Response is what a caller got.
type Response struct {
	// Addr is where the daemon took calls: each of its lives has its own.
	Addr    string
	Status  int
	Outcome string
	Reason  string
	Header  http.Header
	Body    string
	// Close is set if the daemon asked to close the connection.
	Close bool
	// Err is set if the connection broke: the caller knows nothing.
	Err error
}

// Call is a call to make.
type Call struct {
	Method string
	Path   string
	ID     string
	Caller string
	Body   string
	Header map[string]string
}

// NewCallerClient returns a client that comes from a caller outside the VMs.
func NewCallerClient() *http.Client {
	return &http.Client{
		Timeout: WaitTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 256, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		},
	}
}

// Send makes a call through the VM's daemon.
func (v *VM) Send(client *http.Client, call Call) Response {
	addr := *v.callersAddr.Load()
	req, err := http.NewRequest(call.Method, "http://"+addr+call.Path, strings.NewReader(call.Body))
	if err != nil {
		return Response{Addr: addr, Err: err}
	}
	req.Header.Set("Comfrey-Caller", call.Caller)
	if call.ID != "" {
		req.Header.Set("Comfrey-Request-Id", call.ID)
	}
	for name, value := range call.Header {
		req.Header.Set(name, value)
	}
	res, err := client.Do(req)
	if err != nil {
		return Response{Addr: addr, Err: err}
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return Response{
		Addr: addr, Status: res.StatusCode, Outcome: res.Header.Get("Comfrey-Outcome"), Reason: res.Header.Get("Comfrey-Reason"),
		Header: res.Header, Body: string(b), Close: res.Close, Err: err,
	}
}
