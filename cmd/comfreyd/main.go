// Command comfreyd is the daemon that runs on every VM with upstreams.
//
// Exit codes: 0 after a graceful stop, 1 after a failure, 2 for invalid settings or
// arguments, 3 if the stop had to abort calls.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/comfreygate/comfreygate/internal/exit"
)

// exitCallsAborted is the exit code of a stop that had to abort calls.
const exitCallsAborted = 3

type cli struct {
	Run   runCmd   `cmd:"" help:"Run the daemon of this VM."`
	Check checkCmd `cmd:"" help:"Check a settings file and say what is wrong."`
	Dev   devCmd   `cmd:"" help:"Run six daemons, their upstreams and a log in one process, to try things out."`
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("comfreyd"), kong.Description("Configuration distribution for a service mesh."),
		kong.UsageOnError(), exit.OnUsage())
	ctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	if err := ctx.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "comfreyd:", err)
		os.Exit(exit.Code(err))
	}
}
