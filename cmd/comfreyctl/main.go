// Command comfreyctl queries daemons and changes the configuration, with statements of the
// query and command language.
//
// Exit codes: 0 success, 1 the daemon could not be reached, 2 invalid input, 3 the command
// was rejected, 4 its outcome is unknown.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"os/user"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/api"
	"github.com/comfreygate/comfreygate/internal/exit"
)

// Exit codes in addition to those of package exit.
const (
	exitRejected = 3
	exitUnknown  = 4
)

type globals struct {
	Address   string `default:"127.0.0.1:8081" help:"Administration address of any daemon (IP:port)."`
	TokenFile string `type:"path" help:"File with the bearer token. COMFREY_TOKEN goes first."`
	Output    string `default:"table" enum:"table,json" help:"How answers are written: table or json."`
	Author    string `help:"Who is responsible for a change. Default: the user's login name."`
	CommandID string `help:"Sends a change again under the ID of an earlier one: it runs once at most."`
}

type cli struct {
	globals
	Do       doCmd       `cmd:"" default:"withargs" help:"Run one statement of the language (the default)."`
	Help     helpCmd     `cmd:"" help:"List the statements of the language, with an example of each."`
	File     fileCmd     `cmd:"" help:"Run the statement in a file."`
	Apply    applyCmd    `cmd:"" help:"Publish a change set from a YAML file."`
	Status   statusCmd   `cmd:"" help:"Show what a daemon has in force."`
	Watch    watchCmd    `cmd:"" help:"Wait until a version is in force everywhere, and show who lags."`
	Timeline timelineCmd `cmd:"" help:"Show the events of all daemons in order of cause."`
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("comfreyctl"), kong.Description("Ask comfreygate and change its configuration."),
		exit.OnUsage())
	kctx, err := parser.Parse(os.Args[1:])
	parser.FatalIfErrorf(err)
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	defer cancel()
	kctx.BindTo(ctx, (*context.Context)(nil))
	if err := kctx.Run(&c.globals); err != nil {
		fmt.Fprintln(os.Stderr, "comfreyctl:", err)
		os.Exit(exit.Code(err))
	}
}

type tokenSource string

// Bearer implements api.SecuritySource.
func (t tokenSource) Bearer(context.Context, api.OperationName) (api.Bearer, error) {
	return api.Bearer{Token: string(t)}, nil
}

// placeholderToken is sent when there is no token: a daemon without a token accepts any.
const placeholderToken = "none"

func (g *globals) client(address string) (*api.Client, error) {
	token := os.Getenv("COMFREY_TOKEN")
	if token == "" && g.TokenFile != "" {
		b, err := os.ReadFile(g.TokenFile)
		if err != nil {
			return nil, &exit.Error{Code: exit.BadInput, Err: errors.Wrap(err, "read token file")}
		}
		token = strings.TrimSpace(string(b))
	}
	if token == "" {
		token = placeholderToken
	}
	return api.NewClient("http://"+address, tokenSource(token))
}

func (g *globals) author() string {
	if g.Author != "" {
		return g.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// wrapRequestError reduces a daemon's error response to its message, with the exit code
// for bad input. It marks any other error as a failed request.
func wrapRequestError(err error) error {
	var refused *api.ErrorStatusCode
	if errors.As(err, &refused) {
		return &exit.Error{Code: exit.BadInput, Err: errors.New(refused.Response.Error)}
	}
	return errors.Wrap(err, "request to daemon")
}
