package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"siskinrouter/internal/entryvm"
)

// membersTimeout bounds the request for the list of members, maxMembersBytes its size: some 250 bytes for each VM.
const (
	membersTimeout  = 5 * time.Second
	maxMembersBytes = 4 << 20
)

func (e *env) membersCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "members", ShortUsage: "siskinrouter members ADDRESS",
		ShortHelp: "Show the VMs of a running fleet as one of them sees it; ADDRESS is its metrics address (IP:9464).",
		LongHelp:  "The promotion coordinator, which the first line names, hears from all VMs; ask it for complete times.",
		FlagSet:   e.flagSet("members"),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return flag.ErrHelp
			}
			l, err := readMembers(ctx, args[0])
			if err != nil {
				return err
			}
			return printMembers(e.out, l)
		},
	}
}

func readMembers(ctx context.Context, address string) (l entryvm.MemberList, err error) {
	ctx, cancel := context.WithTimeout(ctx, membersTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/members", nil)
	if err != nil {
		return l, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return l, fmt.Errorf("%s answered %s", address, resp.Status)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxMembersBytes)).Decode(&l); err != nil {
		return l, fmt.Errorf("list of members of %s: %w", address, err)
	}
	return l, nil
}

func printMembers(out io.Writer, l entryvm.MemberList) error {
	state := "in force"
	if l.Joint {
		state = "change under way"
	}
	fmt.Fprintf(out, "seen by %s; coordinator %s; voters %d (%s)\n", l.VM, orDash(l.Coordinator), l.Number, state)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tDOMAIN\tADDRESS\tKNOWN FOR\tVOTER\tSERVICES\tHEARD\tVOTERS KNOWN")
	for _, m := range l.Members {
		voter, heard, number := "no", "-", "-"
		if m.Voter {
			voter = "yes"
		}
		if m.HeardAgo >= 0 {
			heard = fmt.Sprintf("%.1f s ago", m.HeardAgo)
		}
		if m.Number > 0 {
			number = fmt.Sprint(m.Number)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f s\t%s\t%d\t%s\t%s\n", m.Name, orDash(m.Domain), m.Address, m.KnownFor, voter, m.Services, heard, number)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range l.Removals {
		fmt.Fprintf(out, "removed %s at %s: %s\n", r.VM, r.At.Format(time.RFC3339), r.Reason)
	}
	return nil
}

func orDash(s string) string {
	if strings.TrimSpace(s) == "" {
		return "-"
	}
	return s
}
