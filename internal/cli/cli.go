// Package cli holds the commands of the siskinrouter binary.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// Exit codes of the binary.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

// statusError is an error of a command with exit codes of its own.
type statusError struct {
	code int
	err  error
}

func (e *statusError) Error() string { return e.err.Error() }

func (e *statusError) Unwrap() error { return e.err }

// env carries the output streams to the commands.
type env struct {
	out, err io.Writer
}

// Run executes the command named by args and returns the process exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	e := &env{out: out, err: errOut}
	root := e.rootCommand()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(errOut, "siskinrouter:", err)
		return exitUsage
	}
	err := root.Run(ctx)
	var status *statusError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &status):
		fmt.Fprintln(errOut, "siskinrouter:", err)
		return status.code
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	default:
		fmt.Fprintln(errOut, "siskinrouter:", err)
		return exitFail
	}
}

func (e *env) rootCommand() *ffcli.Command {
	fs := e.flagSet("siskinrouter")
	return &ffcli.Command{
		Name:       "siskinrouter",
		ShortUsage: "siskinrouter COMMAND [flags] [arguments]",
		ShortHelp:  "A database proxy with session consistency.",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			e.serveCommand(),
			e.edgeCommand(),
			e.membersCommand(),
			e.configCommand(),
			e.keyCommand(),
			e.domainCommand(),
			e.targetCommand(),
			e.statusCommand(),
			e.explainCommand(),
			e.devCommand(),
			e.benchCommand(),
			e.versionCommand(),
			e.checkCommand(),
		},
		Exec: helpOnly,
	}
}

// flagSet returns a flag set that reports errors to Run instead of exiting.
func (e *env) flagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(e.err)
	return fs
}

// helpOnly is the action of commands that only group subcommands.
func helpOnly(context.Context, []string) error { return flag.ErrHelp }
