// Package exit maps errors to the exit codes of the programs.
package exit

import (
	"os"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"
)

// Exit codes of both programs.
const (
	// Failed is the code of an error that carries no code of its own.
	Failed = 1
	// BadInput means that arguments, settings or other input are invalid.
	BadInput = 2
)

// Error is an error with an exit code.
type Error struct {
	Code int
	Err  error
}

// Error returns the text of the wrapped error.
func (e *Error) Error() string { return e.Err.Error() }

// Code returns the exit code that err carries, or Failed if it carries none.
func Code(err error) int {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Failed
}

// OnUsage returns an option that makes kong exit with BadInput if it cannot parse the
// arguments.
func OnUsage() kong.Option {
	return kong.Exit(func(code int) {
		if code != 0 {
			code = BadInput
		}
		os.Exit(code)
	})
}
