package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"os"
	"runtime"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"siskinrouter/internal/capacity"
)

// slopesFile is the default file of the measured slopes.
const slopesFile = "docs/capacity-slopes.json"

func (e *env) capacityCommand() *ffcli.Command {
	return e.parentCommand("capacity", "Measure what the daemon costs and compute what it needs at the planned size.",
		e.capacityMeasureCommand(), e.capacityShowCommand())
}

func (e *env) capacityMeasureCommand() *ffcli.Command {
	fs := e.flagSet("measure")
	out := fs.String("out", slopesFile, "file of the slopes; slopes that are not measured are kept")
	o := capacity.Options{Progress: e.err}
	fs.IntVar(&o.Runs, "runs", 3, "runs of each experiment")
	fs.Float64Var(&o.Scale, "scale", 1, "factor of counts and durations; below 1 only for trials")
	fs.StringVar(&o.Only, "only", "", "one experiment: "+strings.Join(capacity.Names(), ", "))
	propagation := fs.String("propagation", "", "take slopes from the log of the propagation test instead of measuring")
	return &ffcli.Command{
		Name: "measure", ShortUsage: "siskinrouter capacity measure [flags]",
		ShortHelp: "Measure the slopes on this machine.", FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 0 || o.Runs < 1 || o.Scale <= 0 {
				return flag.ErrHelp
			}
			return capacityMeasure(ctx, *out, *propagation, o)
		},
	}
}

func capacityMeasure(ctx context.Context, out, propagation string, o capacity.Options) error {
	known, err := capacity.Load(out)
	if errors.Is(err, fs.ErrNotExist) {
		known, err = &capacity.Slopes{}, nil
	}
	if err != nil {
		return err
	}
	var measured []capacity.Slope
	var failure error
	if propagation != "" {
		measured, failure = capacity.Propagation(propagation)
	} else {
		measured, failure = capacity.Measure(ctx, o)
	}
	known.Merge(measured)
	known.Date = time.Now().UTC().Format(time.DateOnly)
	known.Machine, known.Go = capacity.Machine(), runtime.Version()
	return errors.Join(failure, known.Save(out))
}

func (e *env) capacityShowCommand() *ffcli.Command {
	fs := e.flagSet("show")
	slopes := fs.String("slopes", slopesFile, "file of the slopes")
	page := fs.Bool("page", false, "print the page docs/CAPACITY.md instead of the figures")
	check := fs.String("check", "", "compare a page with the slopes instead of printing; exit code 1 if they differ")
	return &ffcli.Command{
		Name: "show", ShortUsage: "siskinrouter capacity show [flags]",
		ShortHelp: "Print every figure of the capacity calculation.", FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 0 {
				return flag.ErrHelp
			}
			s, err := capacity.Load(*slopes)
			if err != nil {
				return err
			}
			return e.capacityShow(s, *page, *check)
		},
	}
}

func (e *env) capacityShow(s *capacity.Slopes, page bool, check string) error {
	m, err := capacity.NewModel(capacity.Default(), s)
	if err != nil {
		return err
	}
	if check != "" {
		text, err := os.ReadFile(check)
		if err != nil {
			return err
		}
		return m.Check(string(text))
	}
	text := m.Table()
	if page {
		if text, err = m.Page(); err != nil {
			return err
		}
	}
	_, err = fmt.Fprint(e.out, text)
	return err
}
