package cli

import (
	"context"
	"flag"

	"github.com/peterbourgon/ff/v3/ffcli"

	"siskinrouter/platform"
)

func (e *env) edgeCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "edge", ShortUsage: "siskinrouter edge",
		ShortHelp: "Serve as an entry VM on the users' platform, with the settings file of the platform.",
		FlagSet:   e.flagSet("edge"),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return flag.ErrHelp
			}
			return platform.Run(ctx, e.out)
		},
	}
}
