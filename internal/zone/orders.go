package zone

import (
	"encoding/json"
	"fmt"
	"maps"
)

// Orders is the value of the platform object `domains` or `targets`: the failure domains that
// operators have withdrawn, or the servers that are leaving. What is absent is in service.
type Orders struct {
	Withdrawn map[string]Order `json:"withdrawn"`
}

// Order says who withdrew a failure domain or server and why.
type Order struct {
	By        string `json:"by"`
	Reason    string `json:"reason,omitempty"`
	Confirmed bool   `json:"confirmed,omitempty"` // the operator accepted groups without a majority
}

// ParseOrders parses the value of an object. An empty value means that everything is in service.
func ParseOrders(value []byte) (Orders, error) {
	var o Orders
	if len(value) == 0 {
		return o, nil
	}
	if err := json.Unmarshal(value, &o); err != nil {
		return Orders{}, fmt.Errorf("withdrawal orders: %w", err)
	}
	return o, nil
}

// Encode returns the value of the object. Equal orders have equal values.
func (o Orders) Encode() ([]byte, error) { return json.Marshal(o) }

// Withdraw returns a copy in which name is withdrawn.
func (o Orders) Withdraw(name string, order Order) Orders {
	next := make(map[string]Order, len(o.Withdrawn)+1)
	maps.Copy(next, o.Withdrawn)
	next[name] = order
	return Orders{Withdrawn: next}
}

// Return returns a copy in which name is in service.
func (o Orders) Return(name string) Orders {
	next := maps.Clone(o.Withdrawn)
	delete(next, name)
	return Orders{Withdrawn: next}
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

// Shortage is a group that a withdrawal would leave without a majority of its servers in service.
type Shortage struct {
	Group string
	Left  int // servers that would remain in service
	Need  int // majority
}

// String describes the shortage for an operator.
func (s Shortage) String() string {
	return fmt.Sprintf("group %s would keep %d servers in service but needs %d", s.Group, s.Left, s.Need)
}

// CheckWithdraw returns the groups with a server in the failure domain that its withdrawal would
// leave without a majority, given the present orders for failure domains and servers. Operators'
// commands call it on the values that their conditional update is based on, so that of two
// withdrawals at once the second is checked against the first.
func CheckWithdraw(groups []Group, domains, targets Orders, domain string) []Shortage {
	next := domains.Withdraw(domain, Order{})
	return check(groups, next, targets, func(s Server) bool { return s.Domain == domain })
}

// CheckLeave does the same for one server that is to leave.
func CheckLeave(groups []Group, domains, targets Orders, server string) []Shortage {
	next := targets.Withdraw(server, Order{})
	return check(groups, domains, next, func(s Server) bool { return s.Name == server })
}

func check(groups []Group, domains, targets Orders, concerned func(Server) bool) []Shortage {
	var list []Shortage
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
			list = append(list, Shortage{Group: g.Name, Left: left, Need: need})
		}
	}
	return list
}
