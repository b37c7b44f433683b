package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"siskinrouter/internal/fleet"
)

const (
	inspectTimeout = 5 * time.Second
	maxAnswer      = 16 << 20 // bytes
)

// inspectCommand returns a command that asks the admin address of a VM.
func (e *env) inspectCommand(name, usage, help string, args int,
	exec func(ctx context.Context, admin string, args []string) error) *ffcli.Command {
	fs := e.flagSet(name)
	admin := fs.String("admin", "127.0.0.1:16480", "admin address of a VM")
	return &ffcli.Command{
		Name: name, ShortUsage: usage, ShortHelp: help, FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, got []string) error {
			if len(got) != args {
				return flag.ErrHelp
			}
			ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
			defer cancel()
			return exec(ctx, *admin, got)
		},
	}
}

// fetch decodes the JSON answer of an admin address.
func fetch(ctx context.Context, admin, path string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+path, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s", strings.TrimSpace(string(body)))
	}
	return json.Unmarshal(body, v)
}

func (e *env) explainCommand() *ffcli.Command {
	return e.inspectCommand("explain", "siskinrouter explain [flags] ID|GROUP",
		"Say why a request was refused or repeated, or why the primary of a group changed.", 1,
		func(ctx context.Context, admin string, args []string) error {
			var lines []string
			if err := fetch(ctx, admin, "/explain?id="+url.QueryEscape(args[0]), &lines); err != nil {
				return err
			}
			for _, line := range lines {
				fmt.Fprintln(e.out, line)
			}
			return nil
		})
}

func (e *env) statusCommand() *ffcli.Command {
	return e.inspectCommand("status", "siskinrouter status [flags]",
		"Print a VM's view of the fleet.", 0,
		func(ctx context.Context, admin string, _ []string) error {
			var s fleet.Status
			if err := fetch(ctx, admin, "/status", &s); err != nil {
				return err
			}
			e.printStatus(s)
			return nil
		})
}

func (e *env) printStatus(s fleet.Status) {
	fmt.Fprintf(e.out, "VM %s in %s\n", s.VM.Name, s.VM.Domain)
	for _, m := range s.Members {
		fmt.Fprintf(e.out, "  VM %-20s %-12s %s %s\n", m.Name, m.Domain, m.State, m.Address)
	}
	for _, d := range s.Domains {
		fmt.Fprintf(e.out, "  failure domain %s is %s\n", d.Name, d.State)
	}
	slices.SortFunc(s.Groups, func(a, b fleet.GroupStatus) int { return strings.Compare(a.Name, b.Name) })
	for _, g := range s.Groups {
		fmt.Fprintf(e.out, "  group %s: primary %s in term %d\n", g.Name, orNone(g.Primary), g.Term)
		for _, server := range g.Servers {
			fmt.Fprintf(e.out, "    %-20s %-8s answers=%t %s\n", server.Name, server.Role, server.Healthy, server.Detail)
		}
	}
	for _, v := range s.Versions {
		fmt.Fprintf(e.out, "  object %s version %d\n", v.Name, v.Version)
	}
	names := make([]string, 0, len(s.Counters))
	for name := range s.Counters {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(e.out, "  %s = %d\n", name, s.Counters[name])
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
