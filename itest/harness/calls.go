package harness

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Response is the result of a call as its caller saw it.
type Response struct {
	// Addr is the address at which the daemon accepted the call. It differs between
	// incarnations of a daemon.
	Addr    string
	Status  int
	Outcome string
	Reason  string
	Header  http.Header
	Body    string
	// Close is set if the daemon asked the caller to close the connection.
	Close bool
	// Err is set if the connection failed: the caller does not know whether the call ran.
	Err error
}

// Call is a call to send.
type Call struct {
	Method string
	Path   string
	ID     string
	Caller string
	Body   string
	Header map[string]string
	// AnswerBytes is the answer_bytes parameter of Path, or zero.
	AnswerBytes int
}

// wantBody returns the body of the upstream's response to the call.
func (c Call) wantBody() string {
	body := c.ID + "\n" + c.Body
	if missing := c.AnswerBytes - len(body); missing > 0 {
		body += strings.Repeat(c.ID+"\n", missing/(len(c.ID)+1)+1)[:missing]
	}
	return body
}

// NewCallerClient returns an HTTP client for a caller outside the VMs.
func NewCallerClient() *http.Client {
	return &http.Client{
		Timeout: WaitTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 256, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
		},
	}
}

// Send sends a call to the VM's daemon and returns its result.
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

// SendTo sends a GET request with the headers of the platform's callers to the VM's daemon, and
// reads the response. It returns no result: the upstreams record what they run.
func (v *VM) SendTo(ctx context.Context, client *http.Client, host, path, id string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+*v.callersAddr.Load()+path, nil)
	if err != nil {
		return
	}
	req.Host = host
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", "2500")
	res, err := client.Do(req)
	if err != nil {
		return
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
}
