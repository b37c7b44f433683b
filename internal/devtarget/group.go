package devtarget

import (
	"fmt"

	"siskinrouter/internal/promotion"
)

// Config configures a group of servers in one process.
type Config struct {
	// Servers are the servers of the group. The first one is the initial primary in term 1,
	// which the others follow.
	Servers []ServerConfig
	// Unstarted leaves the servers fenced without a term, for tests of the first promotion.
	Unstarted bool
}

// Group is a database group whose servers run in this process.
type Group struct{ servers []*Server }

// Servers returns the configuration of n servers with the given name prefix that are equal to
// base otherwise; server i belongs to domains[i mod len(domains)].
func Servers(prefix string, n int, base ServerConfig, domains ...string) []ServerConfig {
	all := make([]ServerConfig, n)
	for i := range all {
		all[i] = base
		all[i].Name = fmt.Sprintf("%s-%d", prefix, i+1)
		if len(domains) > 0 {
			all[i].Domain = domains[i%len(domains)]
		}
	}
	return all
}

// NewGroup starts the servers of a group.
func NewGroup(cfg Config) (*Group, error) {
	g := &Group{}
	for i, sc := range cfg.Servers {
		switch {
		case cfg.Unstarted:
			sc.Primary = ""
		case i == 0:
			sc.Primary = Self
		default:
			sc.Primary = g.servers[0].Address()
		}
		s, err := New(sc)
		if err != nil {
			g.Close()
			return nil, err
		}
		g.servers = append(g.servers, s)
	}
	return g, nil
}

// Servers returns the servers in the order of the configuration.
func (g *Group) Servers() []*Server { return g.servers }

// Server returns the server with the given name, or nil.
func (g *Group) Server(name string) *Server {
	for _, s := range g.servers {
		if s.Name() == name {
			return s
		}
	}
	return nil
}

// Primary returns the primary of the highest promised term, or nil if there is none.
func (g *Group) Primary() *Server {
	var primary *Server
	var term uint64
	for _, s := range g.servers {
		if st := s.Status(); st.Role == promotion.Primary && st.Promised > term {
			primary, term = s, st.Promised
		}
	}
	return primary
}

// Close stops all servers.
func (g *Group) Close() {
	for _, s := range g.servers {
		s.Close()
	}
}
