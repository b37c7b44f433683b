package cli

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/user"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"siskinrouter/internal/operator"
	"siskinrouter/internal/platform"
)

// envPrefix of the environment variables that stand for flags.
const envPrefix = "SISKINROUTER"

// defaultPlatform is the base URL of a platform on this machine.
const defaultPlatform = "http://127.0.0.1:16000"

// operatorTimeout bounds one command that talks to the platform.
const operatorTimeout = 15 * time.Second

// platformFlags are common to the commands that change objects in the platform.
type platformFlags struct {
	url string
	by  string
}

func (f *platformFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.url, "platform", defaultPlatform, "base URL of the platform's object API")
	fs.StringVar(&f.by, "by", defaultOperator(), "operator's name for the audit trail")
}

func defaultOperator() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (f *platformFlags) client() (*operator.Client, error) {
	store, err := platform.NewHTTPStore(f.url, platform.Options{Client: "operator " + f.by})
	if err != nil {
		return nil, err
	}
	return operator.New(store, f.by), nil
}

// operatorCommand returns a command that runs exec with a client for the platform. It expects a fixed
// number of arguments; add may register further flags.
func (e *env) operatorCommand(name, usage, help string, args int, add func(*flag.FlagSet),
	exec func(ctx context.Context, c *operator.Client, args []string) error) *ffcli.Command {
	fs := e.flagSet(name)
	var flags platformFlags
	flags.register(fs)
	if add != nil {
		add(fs)
	}
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: help, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, got []string) error {
			if len(got) != args {
				return flag.ErrHelp
			}
			c, err := flags.client()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
			defer cancel()
			return exec(ctx, c, got)
		},
	}
}

// report prints a change, or why there was none.
func (e *env) report(ch operator.Change, err error) error {
	if errors.Is(err, operator.ErrNoChange) {
		fmt.Fprintln(e.out, err)
		return nil
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%s: revision %d replaced by %d\n", ch.Object, ch.From, ch.To)
	for _, line := range ch.Lines {
		fmt.Fprintln(e.out, " ", line)
	}
	if ch.AuditErr != nil {
		return fmt.Errorf("the change is in force, but its audit record could not be written: %w", ch.AuditErr)
	}
	return nil
}

func (e *env) configCommand() *ffcli.Command {
	var base uint64
	apply := e.operatorCommand("apply", "siskinrouter config apply [flags] FILE",
		"Replace the operators' text unless another operator changed it meanwhile.", 1,
		func(fs *flag.FlagSet) {
			fs.Uint64Var(&base, "base", 0, "revision that the file is based on; default: the one in its first line, or the present one")
		},
		func(ctx context.Context, c *operator.Client, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			if base == 0 {
				base = revisionOf(text)
			}
			return e.report(c.ApplyConfig(ctx, text, base))
		})
	show := e.operatorCommand("show", "siskinrouter config show [flags]",
		"Print the operators' text in force with its revision.", 0, nil,
		func(ctx context.Context, c *operator.Client, _ []string) error {
			o, err := c.Config(ctx)
			if err != nil {
				return err
			}
			fmt.Fprintf(e.out, "%s%d\n%s", revisionLine, o.Version, withoutRevision(o.Value))
			return nil
		})
	limit := 50
	history := e.operatorCommand("history", "siskinrouter config history [flags]",
		"Print the audit trail: who changed what, when, from which revision, and why.", 0,
		func(fs *flag.FlagSet) { fs.IntVar(&limit, "limit", limit, "number of records; 0 for all") },
		func(ctx context.Context, c *operator.Client, _ []string) error {
			records, err := c.History(ctx, limit)
			if err != nil {
				return err
			}
			for _, r := range records {
				fmt.Fprintf(e.out, "%6d %s %s: %s %s %d->%d; %s; %s\n", r.Sequence, r.When.UTC().Format(time.RFC3339),
					r.Who, r.What, r.Object, r.FromRevision, r.ToRevision, r.Cause, r.Evidence)
			}
			return nil
		})
	return e.parentCommand("config", "Apply, show and audit the configuration.", apply, show, history)
}

// revisionLine starts the first line of a text printed by config show.
const revisionLine = "# siskinrouter revision "

// revisionOf returns the revision in the first line of a text, or 0.
func revisionOf(text []byte) uint64 {
	line, _, _ := bytes.Cut(text, []byte("\n"))
	rest, ok := bytes.CutPrefix(line, []byte(revisionLine))
	if !ok {
		return 0
	}
	n, err := strconv.ParseUint(string(bytes.TrimSpace(rest)), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func withoutRevision(text []byte) []byte {
	if !bytes.HasPrefix(text, []byte(revisionLine)) {
		return text
	}
	_, rest, _ := bytes.Cut(text, []byte("\n"))
	return rest
}

func (e *env) keyCommand() *ffcli.Command {
	add := e.operatorCommand("add", "siskinrouter key add [flags] WORKSPACE",
		"Create a key for a workspace and print it once.", 1, nil,
		func(ctx context.Context, c *operator.Client, args []string) error {
			id, secret, ch, err := c.AddKey(ctx, args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(e.out, "id  %s\nkey %s\n", id, secret)
			return e.report(ch, nil)
		})
	withdraw := e.operatorCommand("withdraw", "siskinrouter key withdraw [flags] ID",
		"Make a key invalid, also for connected callers.", 1, nil,
		func(ctx context.Context, c *operator.Client, args []string) error {
			return e.report(c.WithdrawKey(ctx, args[0]))
		})
	return e.parentCommand("key", "Add and withdraw keys of workspaces.", add, withdraw)
}

func (e *env) domainCommand() *ffcli.Command {
	var w withdrawal
	withdraw := e.operatorCommand("withdraw", "siskinrouter domain withdraw [flags] DOMAIN",
		"Take a failure domain out of service.", 1, w.register,
		func(ctx context.Context, c *operator.Client, args []string) error {
			return e.report(c.WithdrawDomain(ctx, args[0], w.reason, w.confirmed))
		})
	back := e.operatorCommand("return", "siskinrouter domain return [flags] DOMAIN",
		"Put a failure domain back into service.", 1, nil,
		func(ctx context.Context, c *operator.Client, args []string) error {
			return e.report(c.ReturnDomain(ctx, args[0]))
		})
	return e.parentCommand("domain", "Withdraw and return failure domains.", withdraw, back)
}

func (e *env) targetCommand() *ffcli.Command {
	var w withdrawal
	leave := e.operatorCommand("leave", "siskinrouter target leave [flags] SERVER",
		"Take a target out of service.", 1, w.register,
		func(ctx context.Context, c *operator.Client, args []string) error {
			return e.report(c.LeaveTarget(ctx, args[0], w.reason, w.confirmed))
		})
	join := e.operatorCommand("join", "siskinrouter target join [flags] SERVER",
		"Put a target back into service.", 1, nil,
		func(ctx context.Context, c *operator.Client, args []string) error {
			return e.report(c.JoinTarget(ctx, args[0]))
		})
	return e.parentCommand("target", "Take targets out of service and put them back.", leave, join)
}

// withdrawal holds the flags of commands that take something out of service.
type withdrawal struct {
	reason    string
	confirmed bool
}

func (w *withdrawal) register(fs *flag.FlagSet) {
	fs.StringVar(&w.reason, "reason", "", "reason for the audit trail and for refusals")
	fs.BoolVar(&w.confirmed, "confirm", false, "proceed although groups are left without a majority")
}

func (e *env) parentCommand(name, help string, sub ...*ffcli.Command) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "siskinrouter " + name + " COMMAND", ShortHelp: help,
		FlagSet: e.flagSet(name), Subcommands: sub, Exec: helpOnly,
	}
}
