package cli

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"siskinrouter/internal/check"
	"siskinrouter/internal/configcheck"
	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/platform"
	edge "siskinrouter/platform"
)

// Exit codes of check with --edge, --against or --exit-code. Without them it returns those of all commands.
const (
	exitWarnings = 1
	exitErrors   = 2
	exitNotRun   = 3
)

// againstPlatform is the value of --against that names the version in force.
const againstPlatform = "platform"

// checker holds the flags of check.
type checker struct {
	*env
	settings, edge, exitCode bool
	against                  string
	platform                 platformFlags
	facts                    configcheck.Facts
	vms                      int
}

func (e *env) checkCommand() *ffcli.Command {
	fs := e.flagSet("check")
	c := &checker{env: e}
	fs.BoolVar(&c.settings, "settings", false, "the file holds the settings of a VM instead of an operators' text")
	fs.BoolVar(&c.edge, "edge", false, "the file holds a configuration of the users' platform (JSON)")
	fs.BoolVar(&c.exitCode, "exit-code", false, "exit with 0: nothing found, 1: warnings only, 2: errors, 3: could not run; implied by --edge and --against")
	fs.StringVar(&c.against, "against", "", "also show what differs from another FILE, or from the version in force: platform")
	fs.StringVar(&c.platform.url, "platform", "", "base URL of the platform's object API; with --edge the address of the store, default: from the settings file of the platform")
	fs.DurationVar(&c.facts.ReplicationLag, "replication-lag", 0, "replication lag of a replica, to check staleness")
	fs.DurationVar(&c.facts.ServiceTime, "service-time", 0, "mean time for which a request occupies a slot, to check rates and timeouts")
	fs.IntVar(&c.vms, "vms", 0, "number of VMs, to check bursts and connections of an operators' text")
	fs.IntVar(&c.facts.SlotsPerServer, "slots", 0, "with --edge: slots of a server; --against platform reads them")
	fs.IntVar(&c.facts.ServersPerService, "servers", 0, "with --edge: servers of a service; --against platform reads them")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "siskinrouter check [flags] FILE",
		ShortHelp:  "Report every fault of a configuration or a settings file, without side effects.",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			err := c.run(ctx, args)
			var status *statusError
			if err == nil || errors.As(err, &status) || !c.graded() {
				return err
			}
			return &statusError{exitNotRun, fmt.Errorf("the check could not run: %w", err)}
		},
	}
}

// graded reports whether the exit code distinguishes warnings, errors and checks that could not run.
func (c *checker) graded() bool { return c.exitCode || c.edge || c.against != "" }

func (c *checker) run(ctx context.Context, args []string) error {
	switch {
	case len(args) != 1 && c.graded():
		return errors.New("name one FILE")
	case len(args) != 1:
		return flag.ErrHelp
	case c.settings && (c.edge || c.against != ""):
		return errors.New("--settings cannot be combined with --edge and --against")
	case c.facts.ReplicationLag < 0 || c.facts.ServiceTime < 0 || c.vms < 0 || c.facts.SlotsPerServer < 0 || c.facts.ServersPerService < 0:
		return errors.New("a negative value describes no deployment")
	}
	path := args[0]
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	switch {
	case c.edge:
		return c.checkEdge(ctx, path, text)
	case c.settings:
		return c.result(path, check.Settings(c.out, path, text), 0)
	default:
		return c.checkFleetConfig(ctx, path, text)
	}
}

// checkFleetConfig checks the fleet configuration. Its findings are printed also if the version to compare with
// cannot be read.
func (c *checker) checkFleetConfig(ctx context.Context, path string, text []byte) error {
	faults := check.FleetConfig(c.out, path, text)
	warnings := fleetconfig.Warnings(text, fleetconfig.Facts{
		ReplicationLag: c.facts.ReplicationLag, ServiceTime: c.facts.ServiceTime, VMs: c.vms,
	})
	check.Warnings(c.out, path, warnings)
	if c.against != "" && faults == 0 {
		before, err := c.fleetConfigToCompare(ctx)
		if err != nil {
			return err
		}
		after, _ := fleetconfig.Parse(text)
		differences := fleetconfig.Differences(before, after)
		c.differencesTitle(len(differences))
		for _, d := range differences {
			check.Difference(c.out, d, fleetconfig.Meaning(d))
		}
	}
	return c.result(path, faults, len(warnings))
}

// fleetConfigToCompare returns the fleet configuration that --against names, nil if the platform has none.
func (c *checker) fleetConfigToCompare(ctx context.Context) (*fleetconfig.Config, error) {
	var text []byte
	if c.against == againstPlatform {
		c.platform.url = cmp.Or(c.platform.url, os.Getenv(envPrefix+"_PLATFORM"), defaultPlatform)
		c.platform.by = defaultOperator()
		client, err := c.platform.client()
		if err != nil {
			return nil, err
		}
		o, err := client.Config(ctx)
		if errors.Is(err, platform.ErrNotFound) {
			return nil, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read the configuration in force: %w", err)
		}
		text = o.Value
	} else {
		var err error
		if text, err = os.ReadFile(c.against); err != nil {
			return nil, err
		}
	}
	before, faults := fleetconfig.Parse(text)
	if len(faults) > 0 {
		check.FleetConfig(c.err, c.against, text)
		return nil, fmt.Errorf("%s to compare with has %s", c.against, count(len(faults), "fault"))
	}
	return before, nil
}

// checkEdge checks a configuration of the users' platform. The rules use the servers that the platform holds if it is
// read; otherwise they are applied without them, before the failure to read it is reported.
func (c *checker) checkEdge(ctx context.Context, path string, text []byte) error {
	doc, findings := edge.ReadConfiguration(text)
	if doc == nil {
		faults, _ := check.Findings(c.out, path, findings)
		return c.result(path, faults, 0)
	}
	before, err := c.edgeToCompare(ctx)
	if err == nil && c.against != "" {
		findings = append(findings, configcheck.CheckVersion(doc, before.Configuration)...)
		if before.Servers != nil {
			c.facts.Servers = before.Servers
		}
	}
	faults, warnings := check.Findings(c.out, path, append(findings, configcheck.Check(doc, c.facts)...))
	if err != nil {
		return err
	}
	if c.against != "" {
		differences := configcheck.Diff(before.Configuration, doc.Configuration())
		c.differencesTitle(len(differences))
		for _, d := range differences {
			check.Difference(c.out, d.Difference, d.Meaning)
		}
	}
	return c.result(path, faults, warnings)
}

// edgeToCompare returns the configuration that --against names.
func (c *checker) edgeToCompare(ctx context.Context) (edge.InForce, error) {
	switch c.against {
	case "":
		return edge.InForce{}, nil
	case againstPlatform:
		return edge.ReadInForce(ctx, strings.TrimSuffix(strings.TrimPrefix(c.platform.url, "http://"), "/"))
	}
	text, err := os.ReadFile(c.against)
	if err != nil {
		return edge.InForce{}, err
	}
	doc, findings := edge.ReadConfiguration(text)
	if doc == nil || len(doc.UnknownConsistencies) > 0 {
		if doc != nil {
			findings = configcheck.Check(doc, configcheck.Facts{})
		}
		check.Findings(c.err, c.against, findings)
		return edge.InForce{}, fmt.Errorf("%s to compare with cannot be decoded", c.against)
	}
	return edge.InForce{Configuration: doc.Configuration()}, nil
}

func (c *checker) differencesTitle(n int) {
	against := c.against
	if against == againstPlatform {
		against = "the version in force"
	}
	if n == 0 {
		fmt.Fprintf(c.out, "no difference to %s\n", against)
		return
	}
	fmt.Fprintf(c.out, "%s to %s:\n", count(n, "difference"), against)
}

// result prints that there are no faults, or returns an error that says how many there are.
func (c *checker) result(path string, faults, warnings int) error {
	switch {
	case faults > 0:
		err := fmt.Errorf("%s has %s", path, count(faults, "fault"))
		if c.graded() {
			return &statusError{exitErrors, err}
		}
		return err
	case warnings > 0 && c.graded():
		return &statusError{exitWarnings, fmt.Errorf("%s has no faults, but %s", path, count(warnings, "warning"))}
	}
	printNoFaults(c.out, path, warnings)
	return nil
}

func printNoFaults(out io.Writer, path string, warnings int) {
	if warnings > 0 {
		fmt.Fprintf(out, "%s: no faults, but %s\n", path, count(warnings, "warning"))
		return
	}
	fmt.Fprintf(out, "%s: no faults\n", path)
}

// count returns a number with its noun.
func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
