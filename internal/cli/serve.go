package cli

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"siskinrouter/internal/daemon"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/settings"
)

func (e *env) serveCommand() *ffcli.Command {
	fs := e.flagSet("serve")
	path := fs.String("settings", "", "settings file of the VM (required)")
	register := fs.Bool("register", false, "enter this VM in the list of the platform stand-in; a real platform knows its VMs")
	return &ffcli.Command{
		Name: "serve", ShortUsage: "siskinrouter serve --settings FILE",
		ShortHelp: "Run the daemon of an entry VM.", FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if *path == "" || len(args) != 0 {
				return flag.ErrHelp
			}
			return e.serve(ctx, *path, *register)
		},
	}
}

func (e *env) serve(ctx context.Context, path string, register bool) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	store, err := platform.NewHTTPStore(s.Platform.URL, platform.Options{Client: s.VM.Name})
	if err != nil {
		return err
	}
	options := daemon.Options{Settings: s, Store: store, Log: e.logger(s.Log.Level), Seeds: s.Fleet.Seeds}
	if register {
		options.Register = store.Register
	}
	d, err := daemon.New(options)
	if err != nil {
		return fmt.Errorf("start VM %s: %w", s.VM.Name, err)
	}
	return d.Run(ctx)
}

// logger returns a logger on the error stream.
func (e *env) logger(level string) *log.Logger {
	l := log.NewWithOptions(e.err, log.Options{ReportTimestamp: true})
	if parsed, err := log.ParseLevel(strings.ToLower(level)); err == nil {
		l.SetLevel(parsed)
	}
	return l
}
