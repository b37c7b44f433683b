package daemon

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"siskinrouter/internal/catalog"
	"siskinrouter/internal/fleetconfig"
	"siskinrouter/internal/proxy"
	"siskinrouter/internal/retry"
	"siskinrouter/internal/verdict"
)

// policy answers the proxy's questions from the configuration in force.
type policy struct {
	d *Daemon
}

func (p *policy) NeedsKey(database string) (bool, error) {
	_, route, err := p.lookup(p.d.config.snapshot(), database)
	if err != nil {
		return false, err
	}
	return route.AnonymousWorkspace == "", nil
}

func (p *policy) lookup(s *snapshot, database string) (fleetconfig.Service, fleetconfig.Route, error) {
	if len(s.contract.Services) == 0 {
		return fleetconfig.Service{}, fleetconfig.Route{}, verdict.Errorf(verdict.NotRun, verdict.StateCannotConnectNow,
			"this VM has no configuration yet; try another VM")
	}
	service, route, err := s.contract.Lookup(database)
	if err != nil {
		return service, route, verdict.Errorf(verdict.NotRun, verdict.StateInvalidCatalog, "%w", err)
	}
	return service, route, nil
}

func (p *policy) Login(database, workspace, key string) (*proxy.Access, error) {
	s := p.d.config.snapshot()
	service, route, err := p.lookup(s, database)
	if err != nil {
		return nil, err
	}
	if err := p.d.admitsCallers(s); err != nil {
		return nil, err
	}
	a := &proxy.Access{
		Database: database, Service: service.Name, Route: p.d.experiment.route(route), Generation: s.generation,
	}
	if route.AnonymousWorkspace != "" {
		workspace = route.AnonymousWorkspace
	} else {
		found, ok := s.keys.Find(workspace, key)
		if (!ok || found.Withdrawn) && !p.d.experiment.Without.LoginKey {
			return nil, errKey(workspace, ok)
		}
		a.KeyID = found.ID
	}
	return p.complete(s, a, workspace)
}

// errKey does not tell an unknown workspace from a wrong key.
func errKey(workspace string, withdrawn bool) error {
	if withdrawn {
		return verdict.Errorf(verdict.NotRun, verdict.StateInvalidAuth,
			"the key of workspace %q was withdrawn; ask the operator for a new one", workspace)
	}
	return verdict.Errorf(verdict.NotRun, verdict.StateInvalidAuth,
		"the key is not valid for workspace %q; the user name must be the workspace", workspace)
}

// complete adds the workspace and its group to a.
func (p *policy) complete(s *snapshot, a *proxy.Access, workspace string) (*proxy.Access, error) {
	w, ok := s.contract.Workspaces[workspace]
	if !ok {
		return nil, verdict.Errorf(verdict.NotRun, verdict.StateInvalidAuth, "workspace %q is not configured", workspace)
	}
	a.Workspace = w
	group, err := s.contract.GroupFor(workspace, a.Service)
	if err != nil {
		return nil, verdict.Errorf(verdict.NotRun, verdict.StateInvalidCatalog, "%w", err)
	}
	g := p.d.groups.get(group.Name)
	if g == nil {
		return nil, verdict.Errorf(verdict.NotRun, verdict.StateCannotConnectNow, "group %s is not set up yet", group.Name)
	}
	a.Group = g.target
	return a, p.cutOff(a)
}

func (p *policy) Renew(a *proxy.Access) (*proxy.Access, error) {
	s := p.d.config.snapshot()
	if err := p.d.admitsCallers(s); err != nil {
		return nil, err
	}
	if s.generation == a.Generation || p.d.experiment.Without.KeyRecheck {
		return a, p.cutOff(a)
	}
	service, route, err := p.lookup(s, a.Database)
	if err != nil {
		return nil, err
	}
	if err := checkKey(s.keys, a, route); err != nil {
		return nil, err
	}
	next := &proxy.Access{
		Database: a.Database, KeyID: a.KeyID, Service: service.Name, Route: p.d.experiment.route(route),
		Generation: s.generation,
	}
	return p.complete(s, next, a.Workspace.Name)
}

// checkKey checks that the key of a connected caller is still valid.
func checkKey(keys catalog.Keys, a *proxy.Access, route fleetconfig.Route) error {
	if a.KeyID == "" {
		if route.AnonymousWorkspace == a.Workspace.Name {
			return nil
		}
		return verdict.Errorf(verdict.NotRun, verdict.StateInvalidAuth, "the route is no longer open; reconnect with a key")
	}
	for _, k := range keys {
		if k.ID == a.KeyID && k.Workspace == a.Workspace.Name {
			if k.Withdrawn {
				return errKey(a.Workspace.Name, true)
			}
			return nil
		}
	}
	return errKey(a.Workspace.Name, false)
}

// cutOff applies the route's rule for a VM that does not know whether its configuration is current.
func (p *policy) cutOff(a *proxy.Access) error {
	if a.Route.WhenCutOff == fleetconfig.StaleServe || p.d.fresh() {
		return nil
	}
	if a.Route.WhenCutOff == fleetconfig.StaleReadOnly && a.Route.ReadOnly {
		return nil
	}
	return verdict.Errorf(verdict.NotRun, verdict.StateCannotConnectNow,
		"this VM has had no confirmation of its configuration for %v and the route's when_cut_off is %q; try another VM",
		p.d.settings.Timings.CutOffAfter, a.Route.WhenCutOff)
}

func (p *policy) Admit(ctx context.Context, a *proxy.Access) error {
	return p.d.rates.admit(ctx, a.Workspace)
}

func (p *policy) NewID() string {
	return fmt.Sprintf("%s-%s", p.d.settings.VM.Name, strconv.FormatUint(p.d.requestIDs.Add(1), 36))
}

func (p *policy) Explain(id string, lines ...string) {
	stamp := time.Now().UTC().Format(time.RFC3339Nano)
	p.d.explanations.Add(id, append([]string{stamp}, lines...)...)
}

func (p *policy) Retry(f retry.Failure) (retry.Decision, retry.Reason) {
	p.d.retryMu.Lock()
	defer p.d.retryMu.Unlock()
	return retry.Decide(f, p.d.retries)
}

func (p *policy) CountRequest() {
	p.d.retryMu.Lock()
	defer p.d.retryMu.Unlock()
	p.d.retries.RecordRequest()
}
