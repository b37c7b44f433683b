package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"siskinrouter/internal/bench"
)

func (e *env) benchCommand() *ffcli.Command {
	return e.parentCommand("bench", "Measure a whole deployment in one process on loopback.",
		e.benchRunCommand(), e.benchCompareCommand())
}

func (e *env) benchRunCommand() *ffcli.Command {
	fs := e.flagSet("run")
	c := bench.Config{Progress: e.err}
	fs.StringVar(&c.Deployment, "deployment", bench.Deployments[0], "one of "+strings.Join(bench.Deployments, ", "))
	fs.StringVar(&c.Policy, "policy", bench.Policies[0], "one of "+strings.Join(bench.Policies, ", "))
	fs.DurationVar(&c.Duration, "duration", bench.DefaultDuration, "time during which requests arrive")
	fs.IntVar(&c.Repeat, "repeat", 1, "number of runs; each uses the next seed")
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of the first run")
	report := fs.String("report", "", "directory for the JSON report and the plots; empty for none")
	verbose := fs.Bool("daemon-log", false, "write the logs of the daemons to the error stream")
	return &ffcli.Command{
		Name: "run", ShortUsage: "siskinrouter bench run [flags] SCENARIO",
		ShortHelp: "Run a scenario and print its measures.",
		LongHelp:  "Scenarios:\n  " + strings.Join(bench.Help(), "\n  "),
		FlagSet:   fs,
		Options:   []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseAround(fs, args)
			if err != nil || len(args) != 1 {
				return flag.ErrHelp
			}
			c.Scenario = args[0]
			if *verbose {
				c.Log = e.err
			}
			return e.benchRun(ctx, c, *report)
		},
	}
}

func (e *env) benchCompareCommand() *ffcli.Command {
	fs := e.flagSet("compare")
	c := bench.Config{Progress: e.err}
	fs.StringVar(&c.Scenario, "scenario", "steady", "scenario to run if A and B are policies")
	fs.StringVar(&c.Deployment, "deployment", bench.Deployments[0], "one of "+strings.Join(bench.Deployments, ", "))
	fs.DurationVar(&c.Duration, "duration", bench.DefaultDuration, "time during which requests arrive")
	fs.IntVar(&c.Repeat, "repeat", 5, "number of runs of each policy")
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of the first run of each policy, and of the comparison")
	report := fs.String("report", "", "directory for the reports; empty for none")
	return &ffcli.Command{
		Name: "compare", ShortUsage: "siskinrouter bench compare [flags] A B",
		ShortHelp: "Compare two reports, or run and compare two policies.",
		LongHelp:  "A and B are report files or their directories, or policies: " + strings.Join(bench.Policies, ", ") + ".",
		FlagSet:   fs,
		Options:   []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 2 {
				return flag.ErrHelp
			}
			return e.benchCompare(ctx, c, args[0], args[1], *report)
		},
	}
}

func (e *env) benchCompare(ctx context.Context, c bench.Config, nameA, nameB, dir string) error {
	if slices.Contains(bench.Policies, nameA) && slices.Contains(bench.Policies, nameB) {
		a, b, err := bench.RunPair(ctx, c, nameA, nameB)
		if err != nil {
			return err
		}
		bench.PrintComparison(e.out, a, b, c.Seed)
		if err := writeReport(e.out, a, dir); err != nil {
			return err
		}
		return writeReport(e.out, b, dir)
	}
	a, err := bench.Load(nameA)
	if err != nil {
		return err
	}
	b, err := bench.Load(nameB)
	if err != nil {
		return err
	}
	bench.PrintComparison(e.out, a, b, c.Seed)
	return nil
}

// parseAround parses flags that follow the first argument, so that both orders work.
func parseAround(fs *flag.FlagSet, args []string) ([]string, error) {
	if len(args) < 2 {
		return args, nil
	}
	err := fs.Parse(args[1:])
	return append(args[:1:1], fs.Args()...), err
}

func (e *env) benchRun(ctx context.Context, c bench.Config, dir string) error {
	r, err := bench.Run(ctx, c)
	if err != nil {
		return err
	}
	r.Print(e.out)
	if err := writeReport(e.out, r, dir); err != nil {
		return err
	}
	if n := r.Violations(); n > 0 {
		return fmt.Errorf("%d violations of guarantees; see the counts above", n)
	}
	return nil
}

func writeReport(out io.Writer, r *bench.Report, dir string) error {
	if dir == "" {
		return nil
	}
	path, err := r.Write(dir)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "report:", path)
	return nil
}
