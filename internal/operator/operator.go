// Package operator carries out the changes of operators: each is a conditional update in the platform
// followed by a record in the audit trail.
package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"

	"siskinrouter/internal/audit"
	"siskinrouter/internal/catalog"
	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/platform"
	"siskinrouter/internal/zone"
)

// Client makes changes in the name of one operator.
type Client struct {
	store platform.Store
	trail *audit.Log
	by    string
}

// New returns a client for the operator named by.
func New(store platform.Store, by string) *Client {
	return &Client{store: store, trail: audit.NewLog(store, audit.DefaultRecords), by: by}
}

// Change describes an update that took effect.
type Change struct {
	Object   string
	From, To uint64 // versions
	Lines    []string
	AuditErr error // set if the record of the change could not be written
}

// ErrNoChange means that the object already has the wanted content.
var ErrNoChange = errors.New("nothing to change")

// maxAttempts bounds the repeats of an update that lost a race and can be based on the other one.
const maxAttempts = 5

// FaultsError lists the faults of an operators' text that was not applied.
type FaultsError struct{ Faults []fleetconfig.Fault }

// Error returns the number of faults and the first one.
func (e *FaultsError) Error() string {
	f := e.Faults[0]
	return fmt.Sprintf("the text has %d faults; the first, on line %d: %s; %s", len(e.Faults), f.Line, f.Problem, f.Remedy)
}

// RaceError means that another operator changed the configuration first. Nothing was applied.
type RaceError struct {
	Base, Other uint64
	Lines       []string // what the other operator changed
}

// Error names the revisions and what the other operator changed.
func (e *RaceError) Error() string {
	text := fmt.Sprintf("nothing was applied: another operator replaced revision %d meanwhile", e.Base)
	if e.Other != 0 {
		text += fmt.Sprintf(" (now %d)", e.Other)
	}
	for _, line := range e.Lines {
		text += "\n  " + line
	}
	return text
}

// ApplyConfig replaces the operators' text if it still has the revision base; base 0 stands for the
// present revision.
func (c *Client) ApplyConfig(ctx context.Context, text []byte, base uint64) (Change, error) {
	next, faults := fleetconfig.Parse(text)
	if len(faults) > 0 {
		return Change{}, &FaultsError{Faults: faults}
	}
	current, err := c.current(ctx, catalog.NameContract)
	if err != nil {
		return Change{}, err
	}
	if base != 0 && current.Version != base {
		return Change{}, c.race(ctx, base, current)
	}
	ch := Change{Object: catalog.NameContract, From: current.Version, Lines: fleetconfig.Diff(parsed(current.Value), next)}
	o, err := platform.Update(ctx, c.store, catalog.NameContract, func(old []byte) ([]byte, error) {
		if !bytes.Equal(old, current.Value) {
			return nil, &RaceError{Base: current.Version, Lines: fleetconfig.Diff(parsed(current.Value), parsed(old))}
		}
		return text, nil
	})
	var lost *platform.ConflictError
	if errors.As(err, &lost) {
		return Change{}, &RaceError{
			Base: current.Version, Other: lost.Other.Version,
			Lines: fleetconfig.Diff(parsed(current.Value), parsed(lost.Other.Value)),
		}
	}
	if err != nil {
		return Change{}, fmt.Errorf("apply the configuration: %w", err)
	}
	if o.Version == current.Version {
		return Change{}, ErrNoChange
	}
	ch.To = o.Version
	return c.record(ctx, ch, "configuration applied"), nil
}

// race describes what changed since base, as far as the audit trail tells.
func (c *Client) race(ctx context.Context, base uint64, current platform.Object) error {
	records, err := c.History(ctx, 0)
	e := &RaceError{Base: base, Other: current.Version}
	if err != nil {
		return e
	}
	for _, r := range records {
		if r.Object == catalog.NameContract && r.ToRevision > base {
			e.Lines = append(e.Lines, fmt.Sprintf("revision %d by %s: %s", r.ToRevision, r.Who, r.Evidence))
		}
	}
	return e
}

func parsed(text []byte) *fleetconfig.Config {
	c, faults := fleetconfig.Parse(text)
	if len(faults) > 0 || c == nil {
		return &fleetconfig.Config{}
	}
	return c
}

// current returns an object, with version 0 if it does not exist.
func (c *Client) current(ctx context.Context, name string) (platform.Object, error) {
	o, err := c.store.Get(ctx, name)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{Name: name}, nil
	}
	if err != nil {
		return o, fmt.Errorf("read %s: %w", name, err)
	}
	return o, nil
}

// Config returns the operators' text in force and its revision.
func (c *Client) Config(ctx context.Context) (platform.Object, error) {
	return c.store.Get(ctx, catalog.NameContract)
}

// History returns the newest records of the audit trail, oldest first; 0 stands for all.
func (c *Client) History(ctx context.Context, limit int) ([]audit.Record, error) {
	return c.trail.History(ctx, limit, nil)
}

// record adds the change to the audit trail. The change has taken effect, so a failure to write the
// record is reported beside it.
func (c *Client) record(ctx context.Context, ch Change, what string) Change {
	evidence := ""
	for i, line := range ch.Lines {
		if i > 0 {
			evidence += "; "
		}
		evidence += line
	}
	_, ch.AuditErr = c.trail.Append(ctx, audit.Record{
		Who: c.by, What: what, Object: ch.Object, FromRevision: ch.From, ToRevision: ch.To,
		Cause: "operator's command", Evidence: evidence,
	})
	return ch
}

// update changes an object, again on top of the other version after a lost race.
func (c *Client) update(ctx context.Context, name, what string, change func(old []byte) (value []byte, line string, err error)) (Change, error) {
	var lost *platform.ConflictError
	var err error
	for range maxAttempts {
		var line string
		var from []byte
		var o platform.Object
		o, err = platform.Update(ctx, c.store, name, func(old []byte) ([]byte, error) {
			from = old
			value, l, err := change(old)
			line = l
			return value, err
		})
		if errors.As(err, &lost) {
			continue
		}
		if err != nil {
			return Change{}, fmt.Errorf("%s: %w", what, err)
		}
		if slices.Equal(from, o.Value) {
			return Change{}, ErrNoChange
		}
		return c.record(ctx, Change{Object: name, From: o.Version - 1, To: o.Version, Lines: []string{line}}, what), nil
	}
	return Change{}, fmt.Errorf("%s: %w", what, err)
}

// Lengths of generated keys, in bytes before encoding.
const (
	keyIDSize     = 4
	keySecretSize = 24
	saltSize      = 16
)

// AddKey creates a key for a workspace and returns its id and the secret, which is not stored anywhere.
func (c *Client) AddKey(ctx context.Context, workspace string) (id, secret string, ch Change, err error) {
	text, err := c.current(ctx, catalog.NameContract)
	if err != nil {
		return "", "", Change{}, err
	}
	if _, ok := parsed(text.Value).Workspaces[workspace]; !ok {
		return "", "", Change{}, fmt.Errorf("workspace %q is not in the operators' text", workspace)
	}
	id, secret, salt := randomHex(keyIDSize), randomHex(keySecretSize), randomBytes(saltSize)
	ch, err = c.update(ctx, catalog.NameKeys, "key added", func(old []byte) ([]byte, string, error) {
		keys, err := catalog.DecodeKeys(old)
		if err != nil {
			return nil, "", err
		}
		value, err := append(keys, catalog.NewKey(id, workspace, secret, salt)).Encode()
		return value, fmt.Sprintf("key %s for workspace %s", id, workspace), err
	})
	return id, secret, ch, err
}

func randomBytes(n int) []byte {
	b := make([]byte, n)
	_, _ = rand.Read(b) // never fails
	return b
}

func randomHex(n int) string { return hex.EncodeToString(randomBytes(n)) }

// WithdrawKey makes a key invalid.
func (c *Client) WithdrawKey(ctx context.Context, id string) (Change, error) {
	return c.update(ctx, catalog.NameKeys, "key withdrawn", func(old []byte) ([]byte, string, error) {
		keys, err := catalog.DecodeKeys(old)
		if err != nil {
			return nil, "", err
		}
		i := slices.IndexFunc(keys, func(k catalog.Key) bool { return k.ID == id })
		if i < 0 {
			return nil, "", fmt.Errorf("key %q does not exist", id)
		}
		keys[i].Withdrawn = true
		value, err := keys.Encode()
		return value, fmt.Sprintf("key %s of workspace %s", id, keys[i].Workspace), err
	})
}

// ShortageError means that a withdrawal would leave groups without a majority.
type ShortageError struct{ Shortages []zone.QuorumLoss }

// Error names the groups and how to go on.
func (e *ShortageError) Error() string {
	text := "refused, because groups would be left without a majority and their writes would be refused:"
	for _, s := range e.Shortages {
		text += "\n  " + s.String()
	}
	return text + "\nrepeat the command with --confirm to do it all the same"
}

// WithdrawDomain takes a failure domain out of service.
func (c *Client) WithdrawDomain(ctx context.Context, name, reason string, confirmed bool) (Change, error) {
	groups, targets, err := c.placement(ctx, catalog.NameTargets)
	if err != nil {
		return Change{}, err
	}
	check := func(domains, targets zone.Withdrawals) []zone.QuorumLoss {
		return zone.CheckDomainWithdrawal(groups, domains, targets, name)
	}
	if !hasDomain(groups, name) && !c.knowsDomain(ctx, name) {
		return Change{}, fmt.Errorf("failure domain %q is not in the operators' text", name)
	}
	w := withdrawal{
		object: catalog.NameDomains, other: catalog.NameTargets, what: "failure domain withdrawn",
		undone: "failure domain returned", name: name, reason: reason, confirmed: confirmed, check: check,
	}
	return c.withdraw(ctx, w, targets)
}

// ReturnDomain puts a failure domain back into service.
func (c *Client) ReturnDomain(ctx context.Context, name string) (Change, error) {
	return c.putBack(ctx, catalog.NameDomains, "failure domain returned", name)
}

// LeaveTarget takes a server out of service.
func (c *Client) LeaveTarget(ctx context.Context, name, reason string, confirmed bool) (Change, error) {
	groups, domains, err := c.placement(ctx, catalog.NameDomains)
	if err != nil {
		return Change{}, err
	}
	if !hasServer(groups, name) {
		return Change{}, fmt.Errorf("server %q is not in the operators' text", name)
	}
	check := func(targets, domains zone.Withdrawals) []zone.QuorumLoss {
		return zone.CheckServerWithdrawal(groups, domains, targets, name)
	}
	w := withdrawal{
		object: catalog.NameTargets, other: catalog.NameDomains, what: "target leaves",
		undone: "target joins", name: name, reason: reason, confirmed: confirmed, check: check,
	}
	return c.withdraw(ctx, w, domains)
}

// JoinTarget puts a server back into service.
func (c *Client) JoinTarget(ctx context.Context, name string) (Change, error) {
	return c.putBack(ctx, catalog.NameTargets, "target joins", name)
}

// withdrawal takes a failure domain or a server out of service.
type withdrawal struct {
	object, other string // names of the object to change and of the one with the other kind of orders
	what, undone  string // for the audit trail
	name          string
	reason        string
	confirmed     bool
	check         func(orders, others zone.Withdrawals) []zone.QuorumLoss
}

// withdraw writes the order and checks again with the orders of the other object that are then in force.
// Both objects cannot be changed in one update, but of two operators who change one each, at least one
// sees the other's order afterwards and takes back the own one.
func (c *Client) withdraw(ctx context.Context, w withdrawal, others zone.Withdrawals) (Change, error) {
	ch, err := c.update(ctx, w.object, w.what, func(old []byte) ([]byte, string, error) {
		orders, err := zone.ParseWithdrawals(old)
		if err != nil {
			return nil, "", err
		}
		if shortages := w.check(orders, others); len(shortages) > 0 && !w.confirmed {
			return nil, "", &ShortageError{Shortages: shortages}
		}
		value, err := orders.Withdraw(w.name, zone.Withdrawal{By: c.by, Reason: w.reason, Confirmed: w.confirmed}).Encode()
		return value, w.name + ": " + w.reason, err
	})
	if err != nil || w.confirmed {
		return ch, err
	}
	return ch, c.recheck(ctx, w)
}

// recheck takes an order back that leaves groups without a majority.
func (c *Client) recheck(ctx context.Context, w withdrawal) error {
	orders, err := c.orders(ctx, w.object)
	if err != nil {
		return fmt.Errorf("%s is ordered, but could not be checked again: %w", w.name, err)
	}
	others, err := c.orders(ctx, w.other)
	if err != nil {
		return fmt.Errorf("%s is ordered, but could not be checked again: %w", w.name, err)
	}
	shortages := w.check(orders, others)
	if len(shortages) == 0 {
		return nil
	}
	if _, err := c.putBack(ctx, w.object, w.undone, w.name); err != nil {
		return fmt.Errorf("%s is ordered and could not be taken back: %w; %w", w.name, err, &ShortageError{Shortages: shortages})
	}
	return &ShortageError{Shortages: shortages}
}

// orders returns the orders of an object.
func (c *Client) orders(ctx context.Context, object string) (zone.Withdrawals, error) {
	o, err := c.current(ctx, object)
	if err != nil {
		return zone.Withdrawals{}, err
	}
	return zone.ParseWithdrawals(o.Value)
}

func (c *Client) putBack(ctx context.Context, object, what, name string) (Change, error) {
	return c.update(ctx, object, what, func(old []byte) ([]byte, string, error) {
		orders, err := zone.ParseWithdrawals(old)
		if err != nil {
			return nil, "", err
		}
		if _, withdrawn := orders.Withdrawn[name]; !withdrawn {
			return old, "", nil
		}
		value, err := orders.Restore(name).Encode()
		return value, name, err
	})
}

// placement returns the groups of the operators' text and the orders of an object.
func (c *Client) placement(ctx context.Context, object string) ([]zone.Group, zone.Withdrawals, error) {
	text, err := c.current(ctx, catalog.NameContract)
	if err != nil {
		return nil, zone.Withdrawals{}, err
	}
	orders, err := c.orders(ctx, object)
	return zoneGroups(parsed(text.Value)), orders, err
}

func zoneGroups(ct *fleetconfig.Config) []zone.Group {
	var groups []zone.Group
	for _, s := range ct.Services {
		for _, g := range s.Groups {
			zg := zone.Group{Name: g.Name}
			for _, server := range g.Servers {
				zg.Servers = append(zg.Servers, zone.Server{Name: server.Name, Domain: server.Domain})
			}
			groups = append(groups, zg)
		}
	}
	slices.SortFunc(groups, func(a, b zone.Group) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return groups
}

func hasDomain(groups []zone.Group, name string) bool {
	return slices.ContainsFunc(groups, func(g zone.Group) bool {
		return slices.ContainsFunc(g.Servers, func(s zone.Server) bool { return s.Domain == name })
	})
}

func hasServer(groups []zone.Group, name string) bool {
	return slices.ContainsFunc(groups, func(g zone.Group) bool {
		return slices.ContainsFunc(g.Servers, func(s zone.Server) bool { return s.Name == name })
	})
}

func (c *Client) knowsDomain(ctx context.Context, name string) bool {
	text, err := c.current(ctx, catalog.NameContract)
	return err == nil && slices.Contains(parsed(text.Value).Domains, name)
}
