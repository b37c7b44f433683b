package zone

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func withdrawn(names ...string) Withdrawals {
	var o Withdrawals
	for _, n := range names {
		o = o.Withdraw(n, Withdrawal{By: "operator"})
	}
	return o
}

func answers(t *DrainStates, now time.Duration, name string) [4]Admission {
	var a [4]Admission
	for use := NewCaller; use <= Primary; use++ {
		a[use] = t.Decide(now, name, use).Admission
	}
	return a
}

// Guards against a withdrawal that stops reads before the primaries have moved, places primaries in
// the withdrawn domain, or leaves work there.
func TestWithdrawalOrder(t *testing.T) {
	is := is.New(t)
	var table DrainStates
	is.Equal(answers(&table, 0, "bne"), [4]Admission{Admit, Admit, Admit, Admit})
	is.Equal(table.Apply(0, 1, withdrawn("bne")), []Action{{SwitchOverPrimaries, "bne", 1}})
	is.Equal(answers(&table, 0, "bne"), [4]Admission{Admit, Hold, Admit, Reject})
	is.Equal(table.Decide(0, "bne", NewTransaction).Until, holdLimit)
	is.Equal(answers(&table, holdLimit, "bne"), [4]Admission{Admit, Reject, Admit, Reject})
	is.Equal(table.Drained(time.Second, "bne", 1), []Action{{StopTraffic, "bne", 1}})
	is.Equal(answers(&table, time.Second, "bne"), [4]Admission{Reject, Reject, Reject, Reject})
	is.Equal(answers(&table, time.Second, "tsv"), [4]Admission{Admit, Admit, Admit, Admit})
}

// Guards against new work in a withdrawn domain because a primary cannot be moved or no tick ran.
func TestDrainingEnds(t *testing.T) {
	is := is.New(t)
	var table DrainStates
	table.Apply(0, 1, withdrawn("bne"))
	is.Equal(answers(&table, drainLimit, "bne"), [4]Admission{Reject, Reject, Reject, Reject})
	is.Equal(len(table.Tick(drainLimit-1)), 0)
	is.Equal(table.Tick(drainLimit), []Action{{StopTraffic, "bne", 1}})
	is.Equal(table.State("bne"), Withdrawn)
}

// Guards against load on a returned domain before its links are open, and against a domain that stays
// out of service because one of its servers is down.
func TestReturnOrder(t *testing.T) {
	is := is.New(t)
	var table DrainStates
	table.Apply(0, 1, withdrawn("bne"))
	table.Drained(0, "bne", 1)
	is.Equal(table.Apply(1, 2, Withdrawals{}), []Action{{OpenLinks, "bne", 2}})
	is.Equal(answers(&table, 1, "bne"), [4]Admission{Reject, Reject, Reject, Reject})
	is.Equal(table.LinksOpened("bne", 2), []Action{{ResumeTraffic, "bne", 2}})
	is.Equal(answers(&table, 1, "bne"), [4]Admission{Admit, Admit, Admit, Admit})

	table.Apply(2, 3, withdrawn("bne"))
	table.Drained(2, "bne", 3)
	table.Apply(3, 4, Withdrawals{})
	is.Equal(len(table.Tick(3+warmLimit-1)), 0)
	is.Equal(table.Tick(3+warmLimit), []Action{{ResumeTraffic, "bne", 4}})
}

// Guards against a domain that returns in the middle of its withdrawal and is then drained by the
// progress of that withdrawal, or takes load without links.
func TestReturnDuringWithdrawal(t *testing.T) {
	run := func(acceptOld bool) State {
		table := DrainStates{acceptOldProgress: acceptOld}
		table.Apply(0, 1, withdrawn("bne"))
		table.Apply(1, 2, Withdrawals{})
		table.Apply(2, 3, withdrawn("bne"))
		table.Drained(3, "bne", 1) // late report about the first withdrawal
		return table.State("bne")
	}
	is := is.New(t)
	is.Equal(run(false), Draining)
	is.Equal(run(true), Withdrawn)

	var table DrainStates
	table.Apply(0, 1, withdrawn("bne"))
	is.Equal(table.Apply(1, 2, Withdrawals{}), []Action{{ResumeTraffic, "bne", 2}}) // links never closed
	table.Apply(2, 3, withdrawn("bne"))
	table.Drained(3, "bne", 3)
	table.Apply(4, 4, Withdrawals{})
	table.Apply(5, 5, withdrawn("bne")) // withdrawn while warming
	is.Equal(table.State("bne"), Draining)
	is.Equal(table.Apply(6, 6, Withdrawals{}), []Action{{OpenLinks, "bne", 6}}) // links were not open yet
	is.Equal(len(table.LinksOpened("bne", 4)), 0)
}

// Guards against VMs that disagree, or follow an earlier operator, after versions arrived in
// different orders.
func TestHighestVersionDecides(t *testing.T) {
	follows := func(table *DrainStates, orders []Withdrawals, arrival []int) bool {
		now := time.Duration(0)
		for _, i := range arrival {
			table.Apply(now, uint64(i+1), orders[i])
			now += time.Second
			table.Tick(now)
		}
		now += drainLimit + warmLimit
		table.Tick(now)
		last := orders[len(orders)-1]
		for _, name := range []string{"bne", "tsv"} {
			_, out := last.Withdrawn[name]
			if out != (table.State(name) == Withdrawn) {
				return false
			}
		}
		return true
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "versions")
		choices := []Withdrawals{{}, withdrawn("bne"), withdrawn("tsv"), withdrawn("bne", "tsv")}
		orders := rapid.SliceOfN(rapid.SampledFrom(choices), n, n).Draw(t, "orders")
		indexes := make([]int, n)
		for i := range indexes {
			indexes[i] = i
		}
		arrival := rapid.Permutation(indexes).Draw(t, "arrival")
		if !follows(&DrainStates{}, orders, arrival) {
			t.Fatal("the state does not follow the highest version")
		}
	})
	is.New(t).True(!follows(&DrainStates{acceptOldVersion: true}, []Withdrawals{withdrawn("bne"), {}}, []int{1, 0}))
}

// Guards against a withdrawal that stops the writes of a group, also when two operators withdraw
// different domains at once: the second is based on the first and is checked again.
func TestCheckWithdraw(t *testing.T) {
	is := is.New(t)
	groups := []Group{
		{"g1", []Server{{"a", "bne"}, {"b", "tsv"}, {"c", "cns"}}},
		{"g2", []Server{{"d", "tsv"}, {"e", "cns"}, {"f", "too"}}},
	}
	is.Equal(len(CheckDomainWithdrawal(groups, Withdrawals{}, Withdrawals{}, "bne")), 0)
	is.Equal(len(CheckDomainWithdrawal(groups, Withdrawals{}, Withdrawals{}, "tsv")), 0)
	shortage := CheckDomainWithdrawal(groups, withdrawn("bne"), Withdrawals{}, "tsv")
	is.Equal(shortage, []QuorumLoss{{"g1", 1, 2}})
	is.Equal(shortage[0].String(), "group g1 would keep 1 servers in service but needs 2")
	is.Equal(CheckDomainWithdrawal(groups, Withdrawals{}, withdrawn("c"), "bne"), []QuorumLoss{{"g1", 1, 2}})
	is.Equal(CheckServerWithdrawal(groups, withdrawn("bne"), Withdrawals{}, "b"), []QuorumLoss{{"g1", 1, 2}})
	is.Equal(len(CheckServerWithdrawal(groups, withdrawn("bne"), Withdrawals{}, "d")), 0)
	// A group that lost its majority earlier does not block withdrawals that do not concern it.
	is.Equal(len(CheckDomainWithdrawal(groups, withdrawn("bne", "cns"), Withdrawals{}, "elsewhere")), 0)
}

// Guards against work on a leaving server in a domain that is in service, and the reverse.
func TestStricterDecisionHolds(t *testing.T) {
	is := is.New(t)
	var domains, targets DrainStates
	targets.Apply(0, 1, withdrawn("s1"))
	decide := func(server string, use WorkKind) Admission {
		return DecideServer(time.Second, &domains, &targets, "bne", server, use).Admission
	}
	is.Equal(decide("s1", NewTransaction), Hold)
	is.Equal(decide("s1", Primary), Reject)
	is.Equal(decide("s2", NewTransaction), Admit)
	domains.Apply(0, 1, withdrawn("bne"))
	domains.Drained(0, "bne", 1)
	is.Equal(decide("s1", NewTransaction), Reject)
	is.Equal(decide("s2", ReplicaRead), Reject)
}

// Guards against orders that change when they are stored, and against a copy that shares state with
// the orders that an update is based on.
func TestOrdersRoundTrip(t *testing.T) {
	is := is.New(t)
	o := withdrawn("bne", "tsv")
	value, err := o.Encode()
	is.NoErr(err)
	parsed, err := ParseWithdrawals(value)
	is.NoErr(err)
	is.Equal(parsed, o)
	is.Equal(o.Restore("bne"), withdrawn("tsv"))
	is.Equal(len(o.Withdrawn), 2)
	_, err = ParseWithdrawals([]byte("["))
	is.True(err != nil)
	empty, err := ParseWithdrawals(nil)
	is.NoErr(err)
	is.Equal(len(empty.Withdrawn), 0)
	is.Equal(len(empty.Restore("bne").Withdrawn), 0)
}
