package zone

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func withdrawn(names ...string) Withdrawals {
	var w Withdrawals
	for _, n := range names {
		w = w.Withdraw(n, Withdrawal{By: "operator"})
	}
	return w
}

func admissions(states *DrainStates, now time.Duration, name string) [4]Admission {
	var a [4]Admission
	for kind := NewCaller; kind <= Primary; kind++ {
		a[kind] = states.Decide(now, name, kind).Admission
	}
	return a
}

// Guards against a withdrawal that stops reads before the primaries have been switched over, allows
// promotions in the withdrawn domain, or leaves work there.
func TestWithdrawalOrder(t *testing.T) {
	is := is.New(t)
	var states DrainStates
	is.Equal(admissions(&states, 0, "bne"), [4]Admission{Admit, Admit, Admit, Admit})
	is.Equal(states.Apply(0, 1, withdrawn("bne")), []Action{{SwitchOverPrimaries, "bne", 1}})
	is.Equal(admissions(&states, 0, "bne"), [4]Admission{Admit, Hold, Admit, Reject})
	is.Equal(states.Decide(0, "bne", NewTransaction).Until, holdLimit)
	is.Equal(admissions(&states, holdLimit, "bne"), [4]Admission{Admit, Reject, Admit, Reject})
	is.Equal(states.Drained(time.Second, "bne", 1), []Action{{StopTraffic, "bne", 1}})
	is.Equal(admissions(&states, time.Second, "bne"), [4]Admission{Reject, Reject, Reject, Reject})
	is.Equal(admissions(&states, time.Second, "tsv"), [4]Admission{Admit, Admit, Admit, Admit})
}

// Guards against new work in a withdrawn domain after drainLimit: its primary cannot be switched over, or
// no tick has run.
func TestDrainingEnds(t *testing.T) {
	is := is.New(t)
	var states DrainStates
	states.Apply(0, 1, withdrawn("bne"))
	is.Equal(admissions(&states, drainLimit, "bne"), [4]Admission{Reject, Reject, Reject, Reject})
	is.Equal(len(states.Tick(drainLimit-1)), 0)
	is.Equal(states.Tick(drainLimit), []Action{{StopTraffic, "bne", 1}})
	is.Equal(states.State("bne"), Withdrawn)
}

// Guards against work on a returned domain before its links are open, and against a domain that stays
// out of service because one of its servers is down.
func TestReturnOrder(t *testing.T) {
	is := is.New(t)
	var states DrainStates
	states.Apply(0, 1, withdrawn("bne"))
	states.Drained(0, "bne", 1)
	is.Equal(states.Apply(1, 2, Withdrawals{}), []Action{{OpenLinks, "bne", 2}})
	is.Equal(admissions(&states, 1, "bne"), [4]Admission{Reject, Reject, Reject, Reject})
	is.Equal(states.LinksOpened("bne", 2), []Action{{ResumeTraffic, "bne", 2}})
	is.Equal(admissions(&states, 1, "bne"), [4]Admission{Admit, Admit, Admit, Admit})

	states.Apply(2, 3, withdrawn("bne"))
	states.Drained(2, "bne", 3)
	states.Apply(3, 4, Withdrawals{})
	is.Equal(len(states.Tick(3+warmUpLimit-1)), 0)
	is.Equal(states.Tick(3+warmUpLimit), []Action{{ResumeTraffic, "bne", 4}})
}

// Guards against a domain that returns during its withdrawal and is then drained by a late report about
// that withdrawal, or that receives work without links.
func TestReturnDuringWithdrawal(t *testing.T) {
	run := func(acceptOld bool) State {
		states := DrainStates{acceptOldProgress: acceptOld}
		states.Apply(0, 1, withdrawn("bne"))
		states.Apply(1, 2, Withdrawals{})
		states.Apply(2, 3, withdrawn("bne"))
		states.Drained(3, "bne", 1) // late report about the first withdrawal
		return states.State("bne")
	}
	is := is.New(t)
	is.Equal(run(false), Draining)
	is.Equal(run(true), Withdrawn)

	var states DrainStates
	states.Apply(0, 1, withdrawn("bne"))
	is.Equal(states.Apply(1, 2, Withdrawals{}), []Action{{ResumeTraffic, "bne", 2}}) // its links were never closed
	states.Apply(2, 3, withdrawn("bne"))
	states.Drained(3, "bne", 3)
	states.Apply(4, 4, Withdrawals{})
	states.Apply(5, 5, withdrawn("bne")) // withdrawn while warming up
	is.Equal(states.State("bne"), Draining)
	is.Equal(states.Apply(6, 6, Withdrawals{}), []Action{{OpenLinks, "bne", 6}}) // its links were not open yet
	is.Equal(len(states.LinksOpened("bne", 4)), 0)
}

// Guards against VMs that end in different states, or in that of an earlier version, because the
// versions arrive in different sequences.
func TestHighestVersionDecides(t *testing.T) {
	follows := func(states *DrainStates, versions []Withdrawals, arrival []int) bool {
		now := time.Duration(0)
		for _, i := range arrival {
			states.Apply(now, uint64(i+1), versions[i])
			now += time.Second
			states.Tick(now)
		}
		now += drainLimit + warmUpLimit
		states.Tick(now)
		last := versions[len(versions)-1]
		for _, name := range []string{"bne", "tsv"} {
			_, isWithdrawn := last.Withdrawn[name]
			if isWithdrawn != (states.State(name) == Withdrawn) {
				return false
			}
		}
		return true
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "versions")
		choices := []Withdrawals{{}, withdrawn("bne"), withdrawn("tsv"), withdrawn("bne", "tsv")}
		versions := rapid.SliceOfN(rapid.SampledFrom(choices), n, n).Draw(t, "contents")
		indexes := make([]int, n)
		for i := range indexes {
			indexes[i] = i
		}
		arrival := rapid.Permutation(indexes).Draw(t, "arrival")
		if !follows(&DrainStates{}, versions, arrival) {
			t.Fatal("the state does not follow the highest version")
		}
	})
	is.New(t).True(!follows(&DrainStates{acceptOldVersion: true}, []Withdrawals{withdrawn("bne"), {}}, []int{1, 0}))
}

// Guards against a withdrawal that stops the writes of a group, including the case that two operators
// withdraw different domains concurrently: the second command is then checked against the first.
func TestCheckWithdraw(t *testing.T) {
	is := is.New(t)
	groups := []Group{
		{"g1", []Server{{"a", "bne"}, {"b", "tsv"}, {"c", "cns"}}},
		{"g2", []Server{{"d", "tsv"}, {"e", "cns"}, {"f", "too"}}},
	}
	is.Equal(len(CheckDomainWithdrawal(groups, Withdrawals{}, Withdrawals{}, "bne")), 0)
	is.Equal(len(CheckDomainWithdrawal(groups, Withdrawals{}, Withdrawals{}, "tsv")), 0)
	losses := CheckDomainWithdrawal(groups, withdrawn("bne"), Withdrawals{}, "tsv")
	is.Equal(losses, []QuorumLoss{{"g1", 1, 2}})
	is.Equal(losses[0].String(), "group g1 would keep 1 servers in service but needs 2")
	is.Equal(CheckDomainWithdrawal(groups, Withdrawals{}, withdrawn("c"), "bne"), []QuorumLoss{{"g1", 1, 2}})
	is.Equal(CheckServerWithdrawal(groups, withdrawn("bne"), Withdrawals{}, "b"), []QuorumLoss{{"g1", 1, 2}})
	is.Equal(len(CheckServerWithdrawal(groups, withdrawn("bne"), Withdrawals{}, "d")), 0)
	// A group that lost its majority earlier does not block withdrawals that do not affect it.
	is.Equal(len(CheckDomainWithdrawal(groups, withdrawn("bne", "cns"), Withdrawals{}, "elsewhere")), 0)
}

// Guards against work on a withdrawn server in a domain that is in service, and on a server in service in
// a withdrawn domain.
func TestStricterDecisionHolds(t *testing.T) {
	is := is.New(t)
	var domains, targets DrainStates
	targets.Apply(0, 1, withdrawn("s1"))
	decide := func(server string, kind WorkKind) Admission {
		return DecideServer(time.Second, &domains, &targets, "bne", server, kind).Admission
	}
	is.Equal(decide("s1", NewTransaction), Hold)
	is.Equal(decide("s1", Primary), Reject)
	is.Equal(decide("s2", NewTransaction), Admit)
	domains.Apply(0, 1, withdrawn("bne"))
	domains.Drained(0, "bne", 1)
	is.Equal(decide("s1", NewTransaction), Reject)
	is.Equal(decide("s2", ReplicaRead), Reject)
}

// Guards against withdrawals that change when they are encoded and parsed, and against a copy that shares
// state with the value on which an update is based.
func TestWithdrawalsRoundTrip(t *testing.T) {
	is := is.New(t)
	w := withdrawn("bne", "tsv")
	value, err := w.Encode()
	is.NoErr(err)
	parsed, err := ParseWithdrawals(value)
	is.NoErr(err)
	is.Equal(parsed, w)
	is.Equal(w.Restore("bne"), withdrawn("tsv"))
	is.Equal(len(w.Withdrawn), 2)
	_, err = ParseWithdrawals([]byte("["))
	is.True(err != nil)
	empty, err := ParseWithdrawals(nil)
	is.NoErr(err)
	is.Equal(len(empty.Withdrawn), 0)
	is.Equal(len(empty.Restore("bne").Withdrawn), 0)
}
