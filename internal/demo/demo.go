// Package demo runs a scripted round against a whole fleet on loopback and reports what was observed.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/jackc/pgx/v5"

	"siskinrouter/internal/devfleet"
	"siskinrouter/internal/devtarget"
)

const (
	callTimeout = 8 * time.Second       // of one caller operation
	stepLimit   = 12 * time.Second      // of waiting for one effect
	pollPause   = 50 * time.Millisecond // between two looks at an effect
	quietTime   = time.Second           // for which a withdrawn domain must stay without work
	lag         = 20 * time.Millisecond // of what reads on replicas see
)

// step is one part of the round. It returns what was observed.
type step struct {
	name string
	run  func(ctx context.Context) (string, error)
}

// round is the state of a run.
type round struct {
	fleet *devfleet.Fleet
	group *devtarget.Group
}

// Run starts a fleet of three VMs, runs the round and prints a table. It returns an error unless every
// step was observed.
func Run(ctx context.Context, out io.Writer) error {
	d := devfleet.Queensland()
	d.Groups, d.VMs, d.Workspaces, d.Lag = 1, 3, d.Workspaces[:2], lag
	fmt.Fprintln(out, "starting the platform, 3 targets and 3 VMs on loopback")
	f, err := devfleet.Start(ctx, d, nil)
	if err != nil {
		return err
	}
	defer f.Close()
	r := &round{fleet: f, group: f.Groups[0]}
	return r.play(ctx, out)
}

func (r *round) play(ctx context.Context, out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	failed := 0
	for _, s := range r.steps() {
		start := time.Now()
		seen, err := s.run(ctx)
		result := "observed"
		if err != nil {
			result, seen = "FAILED", err.Error()
			failed++
		}
		fmt.Fprintf(table, "%s\t%s\t%.2f s\t%s\n", result, s.name, time.Since(start).Seconds(), seen)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d steps were not observed", failed, len(r.steps()))
	}
	return nil
}

func (r *round) steps() []step {
	return []step{
		{"write through one VM, read it on a replica through another", r.readOnReplica},
		{"repeat a request id through another VM: it runs once", r.repeatRequest},
		{"kill the primary: the next write waits for the new one", r.failover},
		{"withdraw a key: connected and new callers are refused", r.withdrawKey},
		{"withdraw the primary's failure domain: it gets no more work", r.withdrawDomain},
		{"return the failure domain: it takes callers again", r.returnDomain},
	}
}

func (r *round) connect(ctx context.Context, vm int, workspace, route string) (*pgx.Conn, error) {
	return pgx.Connect(ctx, r.fleet.URL(r.fleet.VM(vm), workspace, route))
}

// exec opens a connection through a VM and runs statements on it.
func (r *round) exec(ctx context.Context, vm int, workspace string, statements ...string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := r.connect(ctx, vm, workspace, "")
	if err != nil {
		return err
	}
	defer conn.Close(context.Background())
	for _, s := range statements {
		if _, err := conn.Exec(ctx, s); err != nil {
			return fmt.Errorf("%s: %w", s, err)
		}
	}
	return nil
}

func (r *round) get(ctx context.Context, vm int, route, key string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := r.connect(ctx, vm, "w1", route)
	if err != nil {
		return "", err
	}
	defer conn.Close(context.Background())
	var v string
	err = conn.QueryRow(ctx, "GET "+key).Scan(&v)
	return v, err
}

// until repeats look until it reports true.
func until(ctx context.Context, look func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, stepLimit)
	defer cancel()
	for !look() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("not observed within %v", stepLimit)
		case <-time.After(pollPause):
		}
	}
	return nil
}

// replicaReads returns how many GET statements servers other than the primary have executed.
func (r *round) replicaReads() int64 {
	var n int64
	primary := r.group.Primary()
	for _, s := range r.group.Servers() {
		if s != primary {
			n += s.Counts()["GET"]
		}
	}
	return n
}

func (r *round) readOnReplica(ctx context.Context) (string, error) {
	if err := r.exec(ctx, 0, "w1", "PUT swap 1"); err != nil {
		return "", err
	}
	time.Sleep(2 * lag)
	before := r.replicaReads()
	v, err := r.get(ctx, 1, devfleet.RouteLookup, "swap")
	if err != nil {
		return "", err
	}
	if v != "1" || r.replicaReads() == before {
		return "", fmt.Errorf("read %q, by a replica: %t", v, r.replicaReads() > before)
	}
	return "a replica answered with the value just written", nil
}

func (r *round) repeatRequest(ctx context.Context) (string, error) {
	for vm := range 2 {
		err := r.exec(ctx, vm, "w1", "SET siskinrouter.request_id = 'demo-1'", "ADD counter 1")
		if err != nil {
			return "", err
		}
	}
	v, err := r.get(ctx, 2, "", "counter")
	if err != nil {
		return "", err
	}
	if v != "1" {
		return "", fmt.Errorf("the counter is %s after two requests with one id", v)
	}
	return "the counter is 1 after two requests with one id", nil
}

func (r *round) failover(ctx context.Context) (string, error) {
	old := r.group.Primary()
	old.Kill()
	start := time.Now()
	if err := r.exec(ctx, 0, "w1", "PUT swap 2"); err != nil {
		return "", err
	}
	gap := time.Since(start)
	if r.group.Primary().Name() == old.Name() {
		return "", fmt.Errorf("server %s is still the primary", old.Name())
	}
	if err := old.Restart(); err != nil {
		return "", err
	}
	v, err := r.get(ctx, 1, "", "swap")
	if err != nil || v != "2" {
		return "", fmt.Errorf("read %q after the failover: %v", v, err)
	}
	return fmt.Sprintf("%s took over from %s; the write took %d ms", r.group.Primary().Name(), old.Name(), gap.Milliseconds()), nil
}

func (r *round) withdrawKey(ctx context.Context) (string, error) {
	conn, err := r.connect(ctx, 1, "w2", "")
	if err != nil {
		return "", err
	}
	defer conn.Close(context.Background())
	if _, err := conn.Exec(ctx, "SELECT 1"); err != nil {
		return "", err
	}
	start := time.Now()
	if _, err := r.fleet.Operator.WithdrawKey(ctx, r.fleet.KeyIDs["w2"]); err != nil {
		return "", err
	}
	var refusal error
	err = until(ctx, func() bool {
		_, refusal = conn.Exec(ctx, "SELECT 1")
		return refusal != nil
	})
	if err != nil {
		return "", err
	}
	took := time.Since(start)
	if err := r.exec(ctx, 1, "w2", "SELECT 1"); err == nil || !strings.Contains(err.Error(), "28P01") {
		return "", fmt.Errorf("a new login with the key ended with %v", err)
	}
	return fmt.Sprintf("refused after %d ms", took.Milliseconds()), nil
}

// vmIn returns the index of the VM in a failure domain, or -1.
func (r *round) vmIn(domain string) int {
	for i, vm := range r.fleet.VMs() {
		if vm.Domain == domain {
			return i
		}
	}
	return -1
}

func (r *round) withdrawDomain(ctx context.Context) (string, error) {
	old := r.group.Primary()
	domain := old.Domain()
	if _, err := r.fleet.Operator.WithdrawDomain(ctx, domain, "demo", false); err != nil {
		return "", err
	}
	start := time.Now()
	err := until(ctx, func() bool {
		p := r.group.Primary() // nil while the primary moves
		return p != nil && p.Domain() != domain
	})
	if err != nil {
		return "", fmt.Errorf("the primary did not leave %s: %w", domain, err)
	}
	moved := time.Since(start)
	home := r.vmIn(domain)
	if err := until(ctx, func() bool { return home < 0 || r.exec(ctx, home, "w1", "SELECT 1") != nil }); err != nil {
		return "", fmt.Errorf("the VM in %s still takes callers: %w", domain, err)
	}
	before := work(old)
	if err := r.workElsewhere(ctx, domain); err != nil {
		return "", err
	}
	if after := work(old); after != before {
		return "", fmt.Errorf("server %s executed %d statements after the withdrawal", old.Name(), after-before)
	}
	return fmt.Sprintf("primary left %s after %d ms; no statement reached %s afterwards", domain, moved.Milliseconds(), old.Name()), nil
}

// workElsewhere keeps VMs outside of a domain busy for a while.
func (r *round) workElsewhere(ctx context.Context, domain string) error {
	for start := time.Now(); time.Since(start) < quietTime; {
		for i, vm := range r.fleet.VMs() {
			if vm.Domain == domain {
				continue
			}
			if err := r.exec(ctx, i, "w1", "PUT swap 3"); err != nil {
				return err
			}
			if _, err := r.get(ctx, i, devfleet.RouteLookup, "swap"); err != nil {
				return err
			}
		}
	}
	return nil
}

// work returns how many ledger statements a server has executed.
func work(s *devtarget.Server) int64 {
	counts := s.Counts()
	return counts["PUT"] + counts["GET"] + counts["ADD"] + counts["SELECT"]
}

func (r *round) returnDomain(ctx context.Context) (string, error) {
	var domain string
	for _, vm := range r.fleet.VMs() {
		if r.exec(ctx, r.vmIn(vm.Domain), "w1", "SELECT 1") != nil {
			domain = vm.Domain
		}
	}
	if domain == "" {
		return "", fmt.Errorf("no failure domain refuses callers")
	}
	if _, err := r.fleet.Operator.ReturnDomain(ctx, domain); err != nil {
		return "", err
	}
	start := time.Now()
	err := until(ctx, func() bool { return r.exec(ctx, r.vmIn(domain), "w1", "PUT swap 4") == nil })
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("%s takes callers after %d ms", domain, time.Since(start).Milliseconds()), nil
}
