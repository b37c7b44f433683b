package fleetconfig

import (
	"errors"
	"fmt"
	"sort"
	"strings"
)

// Errors of the lookups, to be checked with errors.Is.
var (
	// ErrUnknownDatabase means that the database name matches no service or no route.
	ErrUnknownDatabase = errors.New("unknown database")
	// ErrUnknownWorkspace means that there is no such workspace.
	ErrUnknownWorkspace = errors.New("unknown workspace")
	// ErrNoGroup means that the workspace has no group of the service.
	ErrNoGroup = errors.New("workspace has no group of the service")
)

// Lookup returns the service and the route of a database name, which has the form SERVICE or SERVICE.ROUTE.
func (c *Config) Lookup(database string) (Service, Route, error) {
	name, routeName, dotted := strings.Cut(database, ".")
	s, ok := c.Services[name]
	if !ok {
		return Service{}, Route{}, fmt.Errorf("%w: there is no service %q", ErrUnknownDatabase, name)
	}
	r, ok := s.Routes[routeName]
	switch {
	case ok && dotted == (routeName != ""):
		return s, r, nil
	case !dotted:
		return Service{}, Route{}, fmt.Errorf("%w: service %q needs a route, one of %s", ErrUnknownDatabase, name, s.databases())
	default:
		return Service{}, Route{}, fmt.Errorf("%w: service %q has no route %q, only %s", ErrUnknownDatabase, name, routeName, s.databases())
	}
}

// databases returns the database names of the service, sorted and separated by commas.
func (s Service) databases() string {
	var list []string
	for name := range s.Routes {
		list = append(list, strings.TrimSuffix(s.Name+"."+name, "."))
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

// GroupFor returns the group of a service that holds the data of a workspace.
func (c *Config) GroupFor(workspace, service string) (Group, error) {
	w, ok := c.Workspaces[workspace]
	if !ok {
		return Group{}, fmt.Errorf("%w %q", ErrUnknownWorkspace, workspace)
	}
	g, ok := c.Services[service].Groups[w.Groups[service]]
	if !ok {
		return Group{}, fmt.Errorf("%w: workspace %q, service %q", ErrNoGroup, workspace, service)
	}
	return g, nil
}
