package cli

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func (e *env) versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:      "version",
		ShortHelp: "Print the version and exit.",
		FlagSet:   e.flagSet("version"),
		Exec: func(context.Context, []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			fmt.Fprintln(e.out, "siskinrouter", version)
			return nil
		},
	}
}
