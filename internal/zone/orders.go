package zone

import (
	"encoding/json"
	"fmt"
	"maps"
)

// Withdrawals is the value of the platform object `domains` or `targets`: the failure domains that
// operators have withdrawn, or the servers that are leaving. What is absent is in service.
type Withdrawals struct {
	Withdrawn map[string]Withdrawal `json:"withdrawn"`
}

// Withdrawal says who withdrew a failure domain or server and why.
type Withdrawal struct {
	By        string `json:"by"`
	Reason    string `json:"reason,omitempty"`
	Confirmed bool   `json:"confirmed,omitempty"` // the operator accepted groups without a majority
}

// ParseWithdrawals parses the value of an object. An empty value means that everything is in service.
func ParseWithdrawals(value []byte) (Withdrawals, error) {
	var o Withdrawals
	if len(value) == 0 {
		return o, nil
	}
	if err := json.Unmarshal(value, &o); err != nil {
		return Withdrawals{}, fmt.Errorf("withdrawal orders: %w", err)
	}
	return o, nil
}

// Encode returns the value of the object. Equal orders have equal values.
func (o Withdrawals) Encode() ([]byte, error) { return json.Marshal(o) }

// Withdraw returns a copy in which name is withdrawn.
func (o Withdrawals) Withdraw(name string, order Withdrawal) Withdrawals {
	next := make(map[string]Withdrawal, len(o.Withdrawn)+1)
	maps.Copy(next, o.Withdrawn)
	next[name] = order
	return Withdrawals{Withdrawn: next}
}

// Restore returns a copy in which name is in service.
func (o Withdrawals) Restore(name string) Withdrawals {
	next := maps.Clone(o.Withdrawn)
	delete(next, name)
	return Withdrawals{Withdrawn: next}
}

// Group is a database group as far as withdrawals concern it.
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
	Quorum    int // majority
}

// String describes the shortage for an operator.
func (s QuorumLoss) String() string {
	return fmt.Sprintf("group %s would keep %d servers in service but needs %d", s.Group, s.Remaining, s.Quorum)
}

// CheckDomainWithdrawal returns the groups with a server in the failure domain that its withdrawal would
// leave without a majority, given the present orders for failure domains and servers. Operators'
// commands call it on the values that their conditional update is based on, so that of two
// withdrawals at once the second is checked against the first.
func CheckDomainWithdrawal(groups []Group, domains, targets Withdrawals, domain string) []QuorumLoss {
	next := domains.Withdraw(domain, Withdrawal{})
	return check(groups, next, targets, func(s Server) bool { return s.Domain == domain })
}

// CheckServerWithdrawal does the same for one server that is to leave.
func CheckServerWithdrawal(groups []Group, domains, targets Withdrawals, server string) []QuorumLoss {
	next := targets.Withdraw(server, Withdrawal{})
	return check(groups, domains, next, func(s Server) bool { return s.Name == server })
}

func check(groups []Group, domains, targets Withdrawals, concerned func(Server) bool) []QuorumLoss {
	var list []QuorumLoss
	for _, g := range groups {
		left, touched := 0, false
		for _, s := range g.Servers {
			touched = touched || concerned(s)
			_, domainOut := domains.Withdrawn[s.Domain]
			_, serverOut := targets.Withdrawn[s.Name]
			if !domainOut && !serverOut {
				left++
			}
		}
		if need := len(g.Servers)/2 + 1; touched && left < need {
			list = append(list, QuorumLoss{Group: g.Name, Remaining: left, Quorum: need})
		}
	}
	return list
}
