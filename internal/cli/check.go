package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"siskinrouter/internal/check"
)

func (e *env) checkCommand() *ffcli.Command {
	fs := e.flagSet("check")
	isSettings := fs.Bool("settings", false, "the file holds the settings of a VM instead of an operators' text")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "siskinrouter check [--settings] FILE",
		ShortHelp:  "Report every fault of an operators' text or a settings file, without side effects.",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			return e.check(args[0], *isSettings)
		},
	}
}

// check prints the faults of a file to the output and returns an error if there are any.
func (e *env) check(path string, isSettings bool) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	checkText := check.FleetConfig
	if isSettings {
		checkText = check.Settings
	}
	switch n := checkText(e.out, path, text); n {
	case 0:
		fmt.Fprintf(e.out, "%s: no faults\n", path)
		return nil
	case 1:
		return fmt.Errorf("%s has 1 fault", path)
	default:
		return fmt.Errorf("%s has %d faults", path, n)
	}
}
