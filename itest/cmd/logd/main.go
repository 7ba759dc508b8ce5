// Command logd serves an in-memory stand-in for the platform's log service to the tests.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/comfreygate/comfreygate/internal/devlog"
)

func main() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(ln.Addr())
	fmt.Fprintln(os.Stderr, http.Serve(ln, devlog.New().Handler()))
	os.Exit(1)
}
