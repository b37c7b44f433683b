package zone

import (
	"encoding/json"
	"fmt"
	"maps"
)

// Withdrawals is the value of the platform object `domains` or `targets`: the failure domains that
// operators have withdrawn, or the servers that are leaving. Names that are absent are in service.
type Withdrawals struct {
	Withdrawn map[string]Withdrawal `json:"withdrawn"`
}

// Withdrawal records who withdrew a failure domain or server and why.
type Withdrawal struct {
	By        string `json:"by"`
	Reason    string `json:"reason,omitempty"`
	Confirmed bool   `json:"confirmed,omitempty"` // the operator accepted that groups lose their majority
}

// ParseWithdrawals parses the value of an object. An empty value means that everything is in service.
func ParseWithdrawals(value []byte) (Withdrawals, error) {
	var w Withdrawals
	if len(value) == 0 {
		return w, nil
	}
	if err := json.Unmarshal(value, &w); err != nil {
		return Withdrawals{}, fmt.Errorf("withdrawal orders: %w", err)
	}
	return w, nil
}

// Encode returns the value of the object. Equal withdrawals have equal values.
func (w Withdrawals) Encode() ([]byte, error) { return json.Marshal(w) }

// Withdraw returns a copy in which name is withdrawn.
func (w Withdrawals) Withdraw(name string, withdrawal Withdrawal) Withdrawals {
	next := make(map[string]Withdrawal, len(w.Withdrawn)+1)
	maps.Copy(next, w.Withdrawn)
	next[name] = withdrawal
	return Withdrawals{Withdrawn: next}
}

// Restore returns a copy in which name is in service.
func (w Withdrawals) Restore(name string) Withdrawals {
	next := maps.Clone(w.Withdrawn)
	delete(next, name)
	return Withdrawals{Withdrawn: next}
}

// Group is the part of a database group's configuration that withdrawals depend on.
type Group struct {
	Name    string
	Servers []Server
}

// Server is a server of a group.
type Server struct {
	Name   string
	Domain string // failure domain
}

// QuorumLoss is a group that a withdrawal would leave without a majority of its servers in service.
type QuorumLoss struct {
	Group     string
	Remaining int // servers that would remain in service
	Quorum    int // servers that form a majority
}

// String describes the loss for an operator.
func (l QuorumLoss) String() string {
	return fmt.Sprintf("group %s would keep %d servers in service but needs %d", l.Group, l.Remaining, l.Quorum)
}

// CheckDomainWithdrawal returns the groups with a server in the failure domain that its withdrawal would
// leave without a majority, given the current withdrawals of failure domains and servers. Operators'
// commands call it with the values on which their conditional update is based, so that of two concurrent
// withdrawals the second is checked against the first.
func CheckDomainWithdrawal(groups []Group, domains, targets Withdrawals, domain string) []QuorumLoss {
	next := domains.Withdraw(domain, Withdrawal{})
	return quorumLosses(groups, next, targets, func(s Server) bool { return s.Domain == domain })
}

// CheckServerWithdrawal does the same for the withdrawal of one server.
func CheckServerWithdrawal(groups []Group, domains, targets Withdrawals, server string) []QuorumLoss {
	next := targets.Withdraw(server, Withdrawal{})
	return quorumLosses(groups, domains, next, func(s Server) bool { return s.Name == server })
}

func quorumLosses(groups []Group, domains, targets Withdrawals, affects func(Server) bool) []QuorumLoss {
	var losses []QuorumLoss
	for _, g := range groups {
		remaining, affected := 0, false
		for _, s := range g.Servers {
			affected = affected || affects(s)
			_, domainWithdrawn := domains.Withdrawn[s.Domain]
			_, serverWithdrawn := targets.Withdrawn[s.Name]
			if !domainWithdrawn && !serverWithdrawn {
				remaining++
			}
		}
		if quorum := len(g.Servers)/2 + 1; affected && remaining < quorum {
			losses = append(losses, QuorumLoss{Group: g.Name, Remaining: remaining, Quorum: quorum})
		}
	}
	return losses
}
