package placement

import (
	"iter"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/session"
)

func at(term, offset uint64) session.Position { return session.Position{Term: term, Offset: offset} }

func testRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Guards against reads that are staler than the route allows: the position that a replica must have applied
// covers every write that was acknowledged before the maximum staleness.
func TestMinPositionCoversAcknowledgedWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		type ack struct {
			at       time.Duration
			position session.Position
		}
		var acks []ack
		now := time.Duration(0)
		position := at(1, 0)
		for range rapid.IntRange(1, 300).Draw(t, "statements") {
			sent := now
			now += ms(rapid.IntRange(1, 40).Draw(t, "took"))
			if rapid.Bool().Draw(t, "write") {
				position.Offset++
			}
			h.Observe(sent, position)
			acks = append(acks, ack{now, position})
		}
		now += ms(rapid.IntRange(0, 3000).Draw(t, "pause"))
		maxStaleness := ms(rapid.IntRange(100, 3000).Draw(t, "max staleness"))
		minimum, _, ok := h.MinPosition(now, maxStaleness)
		if !ok {
			return
		}
		for _, a := range acks {
			if a.at <= now-maxStaleness && !minimum.Covers(a.position) {
				t.Fatalf("minimum position %s lacks %s, acknowledged %s ago", minimum, a.position, now-a.at)
			}
		}
	})
}

// Guards against using samples of an earlier primary after a failover.
func TestMinPositionIgnoresEarlierTerms(t *testing.T) {
	is := is.New(t)
	var h History
	h.Observe(ms(1000), at(1, 90))
	h.Observe(ms(1500), at(2, 80))
	h.Observe(ms(1600), at(1, 95)) // a delayed response of the old primary
	p, _, ok := h.MinPosition(ms(1700), time.Second)
	is.True(ok)
	is.Equal(p, at(2, 80))
}

func group() []Server {
	return []Server{
		{ID: "p", Slots: 3, Usable: true, Primary: true, Applied: at(1, 100), Service: ms(20)},
		{ID: "r1", Slots: 3, Usable: true, Applied: at(1, 100), Service: ms(20)},
		{ID: "r2", Slots: 3, Usable: true, Applied: at(1, 40), Service: ms(20), LaggedAt: ms(4990)},
	}
}

func history() *History {
	var h History
	h.Observe(ms(4000), at(1, 90))
	h.Observe(ms(4900), at(1, 100))
	return &h
}

// Guards against running writes and reads of the latest state on a replica.
func TestLatestGoesToPrimary(t *testing.T) {
	is := is.New(t)
	now := ms(5000)
	servers := group()
	servers[0].Load = 50
	for _, n := range []Requirements{
		{Consistency: directory.Latest},
		{Consistency: directory.BoundedStaleness, MaxStaleness: time.Second, Writes: true},
		{Consistency: directory.ReadYourWrites, MaxStaleness: ms(50)}, // no position is that recent
	} {
		c, ok := Choose(now, servers, history(), n, "", testRandom())
		is.True(ok)
		is.Equal(c.Server, "p")
	}
}

// Guards against load that stays on the primary while replicas are free, and against choosing replicas that
// lack the session's own write.
func TestReadsSpread(t *testing.T) {
	is := is.New(t)
	now := ms(5000)
	servers := group()
	servers[0].Load = 4
	req := Requirements{Consistency: directory.ReadYourWrites, MaxStaleness: 2500 * time.Millisecond, MinPosition: at(1, 100)}
	c, ok := Choose(now, servers, history(), req, "", testRandom())
	is.True(ok)
	is.Equal(c, Choice{Server: "r1", After: at(1, 100)})
	req.MinPosition = at(1, 101)
	c, _ = Choose(now, servers, history(), req, "", testRandom())
	is.Equal(c.Server, "p")
	// The offset of an earlier term may exceed those of the current one.
	req.MinPosition = at(0, 900)
	c, _ = Choose(now, servers, history(), req, "", testRandom())
	is.Equal(c, Choice{Server: "r1", After: at(1, 100)})
}

// Guards against work that queues at a slow server while others are free: when one of the servers is five times
// as slow, load must shift away from it.
func TestSlowServerGetsLess(t *testing.T) {
	is := is.New(t)
	servers := group()
	servers[2] = Server{ID: "r2", Slots: 3, Usable: true, Applied: at(1, 100), Service: ms(100)}
	sent := map[string]int{}
	for range 60 {
		c, ok := Choose(ms(5000), servers, history(), Requirements{Consistency: directory.BoundedStaleness, MaxStaleness: time.Second}, "", testRandom())
		is.True(ok)
		for i := range servers {
			if servers[i].ID == c.Server {
				servers[i].Load++
				sent[c.Server]++
			}
		}
	}
	is.True(sent["r2"]*4 <= sent["r1"])
}

// Guards against reads that cross failure domains although a server of the domain has free slots, and against reads that
// wait there while another server has some. Plays 40 reads that arrive at once, at a near replica and a primary.
func TestReadsStayNear(t *testing.T) {
	is := is.New(t)
	servers := group()
	servers[1].Near = true
	req := Requirements{Consistency: directory.BoundedStaleness, MaxStaleness: time.Second, LatencyObjective: ms(400)}
	random := testRandom()
	var order []string
	for range 40 {
		c, ok := Choose(ms(5000), servers, history(), req, "", random)
		is.True(ok)
		for i := range servers {
			if servers[i].ID == c.Server {
				servers[i].Load++
			}
		}
		order = append(order, c.Server)
		if n := len(order); n >= 8 { // all slots but the primary's reserve of one are in use
			ahead := servers[1].Load - servers[0].Load - 1
			is.True(ahead >= -1 && ahead <= 2)
		}
	}
	// Three slots, and one more read that is not worth leaving the domain.
	is.Equal(order[:4], slices.Repeat([]string{"r1"}, 4))
	is.Equal(order[4:6], slices.Repeat([]string{"p"}, 2))
	req.MaxLatency = ms(100)
	_, ok := Choose(ms(5000), servers, history(), req, "", random)
	is.True(!ok)
}

// Guards against bytes between failure domains that gain nothing: while the near server has free slots, reads stay there
// although another server is idle and somewhat faster. A near server that would miss a quarter of the objective is left.
func TestIdleNearServerIsPreferred(t *testing.T) {
	is := is.New(t)
	req := Requirements{Consistency: directory.BoundedStaleness, MaxStaleness: time.Second, LatencyObjective: ms(400)}
	for near := range 2 { // the primary, a replica
		servers := group()
		servers[near].Near, servers[near].Load, servers[near].Service = true, 1, ms(30)
		random := testRandom()
		for range 20 {
			c, _ := Choose(ms(5000), servers, history(), req, "", random)
			is.Equal(c.Server, servers[near].ID)
		}
		servers[near].Service = ms(130)
		c, _ := Choose(ms(5000), servers, history(), req, "", random)
		is.True(c.Server != servers[near].ID)
	}
}

// Guards against reads that take the last free slots of the primary, which writes need, while a replica has free ones;
// and against a reserve that keeps reads from the primary if no replica can serve them.
func TestPrimaryKeepsSlotsForWrites(t *testing.T) {
	is := is.New(t)
	req := Requirements{Consistency: directory.BoundedStaleness, MaxStaleness: time.Second, LatencyObjective: ms(400)}
	random := testRandom()
	servers := group()[:2]
	for i := range servers {
		servers[i].Slots, servers[i].Near = 6, servers[i].Primary
	}
	for n, want := range []string{"p", "p", "p", "p", "r1", "r1", "r1"} {
		servers[0].Load = n
		if n == 4 {
			servers[0].Load++ // one read more stays, which is not worth leaving the domain
		}
		c, _ := Choose(ms(5000), servers, history(), req, "", random)
		t.Log(n)
		is.Equal(c.Server, want)
		latest, _ := Choose(ms(5000), servers, history(), Requirements{Consistency: directory.Latest}, "", random)
		is.Equal(latest.Server, "p")
	}
	servers[1].Suspect = true
	c, _ := Choose(ms(5000), servers, history(), req, "", random)
	is.Equal(c.Server, "p")
}

// Guards against reads that go to a server which other VMs have filled, against old or missing reports that move reads,
// and against statements that are counted both as reported and as busy slots, or as busy slots and as own.
func TestReportsOfOtherVMs(t *testing.T) {
	is := is.New(t)
	reports := func(list ...LoadReport) iter.Seq[LoadReport] { return slices.Values(list) }
	now := ms(5000)
	is.Equal(OtherLoad(now, reports(), LoadReport{}), 0.0)
	is.Equal(OtherLoad(now, reports(LoadReport{now, 4}, LoadReport{now - ms(500), 4}), LoadReport{}), 6.0)
	is.Equal(OtherLoad(now, reports(LoadReport{now - ms(1000), 4}, LoadReport{ms(10), 9}), LoadReport{now - ms(1001), 5}), 0.0)
	is.Equal(OtherLoad(now, reports(LoadReport{now, 4}), LoadReport{now, 3}), 4.0) // the same statements
	is.Equal(OtherLoad(now, reports(LoadReport{now, 1}), LoadReport{now, 3}), 3.0) // of a VM that reports nothing
	is.Equal(OthersInStatus(6, 3), 2)                                              // the query itself takes a slot
	is.Equal(OthersInStatus(2, 4), 0)                                              // statements that ended meanwhile

	req := Requirements{Consistency: directory.BoundedStaleness, MaxStaleness: time.Second, LatencyObjective: ms(400)}
	chosen := func(others float64) Choice {
		servers := group()[:2]
		servers[1].Near, servers[1].Load, servers[1].Others = true, 1, others
		c, _ := Choose(now, servers, history(), req, "", testRandom())
		return c
	}
	is.Equal(chosen(0), Choice{Server: "r1", After: at(1, 100)})
	is.Equal(chosen(1), Choice{Server: "r1", After: at(1, 100)}) // there is a free slot
	is.Equal(chosen(4), Choice{Server: "p", ByReport: true})
}

// Guards against VMs with the same information that all choose the same server, and against servers with few free slots
// that get as much as idle ones.
func TestEqualServersAreDrawn(t *testing.T) {
	is := is.New(t)
	servers := group()[:2]
	servers = append(servers, servers[1])
	servers[0].Load, servers[1].ID, servers[1].Load, servers[2].ID = 6, "busy", 2, "idle"
	random, sent := testRandom(), map[string]int{}
	for range 400 {
		c, _ := Choose(ms(5000), servers, history(), Requirements{Consistency: directory.BoundedStaleness, MaxStaleness: time.Second}, "", random)
		sent[c.Server]++
	}
	is.Equal(sent["p"], 0)
	is.True(sent["busy"] > 60 && sent["idle"] > 2*sent["busy"]) // free slots and one half: 1.5 and 3.5
}

// Guards against reads that wait at a busy replica although other servers have free slots, and against a reader that
// leaves more than these can take before it hears of them again, or that leaves reads by an old report.
func TestReaderLeavesReadsForFreeSlots(t *testing.T) {
	is := is.New(t)
	busy := Server{Slots: 6, Load: 4, Others: 2, Service: ms(30)}
	count := func(l *LeftReads, now time.Duration, s Server) (n int) {
		for range 50 {
			if l.Leave(now, s) {
				n++
			}
		}
		return n
	}
	var l LeftReads
	is.Equal(count(&l, ms(5000), busy), 0) // no report
	l.Observe(LoadReport{ms(5000), 5})
	is.Equal(count(&l, ms(5000), Server{Slots: 6, Load: 5, Service: ms(30)}), 0) // the replica has a free slot
	is.Equal(count(&l, ms(5000), busy), 5)
	is.Equal(count(&l, ms(5001), busy), 0)
	is.Equal(count(&l, ms(5031), busy), 4) // those of 30 ms before have ended, and the report is older
	l.Observe(LoadReport{ms(5200), 5})
	is.Equal(count(&l, ms(5700), busy), 2)
	is.Equal(count(&l, ms(6200), busy), 0)
}

// Guards against readers that leave reads because of slots that no read can use.
func TestFreeSlots(t *testing.T) {
	is := is.New(t)
	servers := group()
	servers[0].Load, servers[1].Others = 1, 1.5
	is.Equal(FreeSlots(ms(5000), servers, history()), 1+1) // one slot of the primary is for writes; r2 lags
	servers[1].Suspect = true
	servers[0].Usable = false
	is.Equal(FreeSlots(ms(5000), servers, history()), 0)
}

// Guards against sending work to servers that are draining or withdrawn.
func TestUnusableServerGetsNothing(t *testing.T) {
	is := is.New(t)
	servers := group()
	servers[0].Usable = false
	_, ok := Choose(ms(5000), servers, history(), Requirements{Consistency: directory.Latest}, "", testRandom())
	is.True(!ok)
}

func candidates() []Candidate {
	return []Candidate{
		{ID: "p", Usable: true, Heard: true, Reachable: true, Primary: true, Term: 3, Received: at(3, 50)},
		{ID: "r1", Usable: true, Heard: true, Reachable: true, Term: 3, Received: at(3, 49)},
		{ID: "r2", Usable: true, Heard: true, Reachable: true, Term: 3, Received: at(3, 50)},
	}
}

// Guards against a failover without a cause, and against promoting a server that lacks writes.
func TestNextOnSilentPrimary(t *testing.T) {
	is := is.New(t)
	g := Group{Primary: "p", Servers: candidates()}
	is.Equal(NextAction(time.Minute, g), Action{})
	g.Servers[0].SilentFor = primaryTimeout / 2
	is.Equal(NextAction(time.Minute, g), Action{})
	g.Servers[0].SilentFor = primaryTimeout
	action := NextAction(time.Minute, g)
	is.Equal(action.Promote, "r2")
	is.True(!action.Planned) // an unreachable server cannot step down in a planned change
	g.ChangedAt = time.Minute - failoverCooldown/2
	is.Equal(NextAction(time.Minute, g), Action{})
}

// Guards against a primary that stays in a withdrawn failure domain, and against a successor there.
func TestNextOnLeavingPrimary(t *testing.T) {
	is := is.New(t)
	g := Group{Primary: "p", Servers: candidates()}
	g.Servers[0].Usable = false
	g.Servers[2].Usable = false
	action := NextAction(time.Minute, g)
	is.Equal(action.Promote, "r1")
	is.True(action.Planned)
	g.Servers[1].Reachable = false
	is.Equal(NextAction(time.Minute, g), Action{}) // no server can take over
}

// Guards against a new owner that follows the old primary although a previous owner has already started a
// promotion.
func TestDiscoveryFollowsRecord(t *testing.T) {
	is := is.New(t)
	g := Group{Recorded: "r1", Since: time.Minute, Servers: candidates()}
	is.Equal(NextAction(time.Minute+ms(100), g), Action{})
	action := NextAction(time.Minute+discoveryTime+ms(1), g)
	is.Equal(action.Promote, "r1")
	g.Recorded = ""
	is.Equal(NextAction(time.Minute+ms(100), g).Follow, "p")
	g.Servers[1].Term = 4 // knows a later term
	is.Equal(NextAction(time.Minute+ms(100), g), Action{})
}

// Guards against an outage that lasts a second longer than needed when a failure domain is lost with the owner and the
// primary, and against a successor that replaces a primary although it is itself cut off, or too early.
func TestTakeoverReplacesLostPrimarySooner(t *testing.T) {
	is := is.New(t)
	lost := func() Group {
		g := Group{Recorded: "p", Since: time.Minute, TakenOver: true, Servers: candidates()}
		g.Servers[0].Reachable, g.Servers[0].Heard, g.Servers[0].Primary = false, false, false
		return g
	}
	soon, later := time.Minute+takeoverTime, time.Minute+discoveryTime
	is.Equal(NextAction(soon-ms(1), lost()), Action{})
	is.Equal(NextAction(soon, lost()).Promote, "r2")
	is.True(!NextAction(soon, lost()).Planned)
	for name, change := range map[string]func(*Group){
		"handed over":          func(g *Group) { g.TakenOver = false },
		"a replica is silent":  func(g *Group) { g.Servers[1].Reachable = false },
		"the primary responds": func(g *Group) { g.Servers[0].Reachable = true },
		"another server leads": func(g *Group) { g.Recorded = "r1" },
	} {
		g := lost()
		change(&g)
		t.Log(name)
		is.Equal(NextAction(soon, g), Action{})
	}
	g := lost()
	g.TakenOver = false
	is.Equal(NextAction(later, g).Promote, "r2")
}

// Guards against a new owner that follows the former primary while the recorded promotion may still take effect, because
// the recorded server does not answer or is no longer listed. Another server is promoted anew.
func TestRecordedPromotionInDoubt(t *testing.T) {
	is := is.New(t)
	for name, change := range map[string]func(*Group){
		"does not answer": func(g *Group) { g.Servers[1].Reachable, g.Servers[1].Heard = false, false },
		"not listed":      func(g *Group) { g.Servers = append(g.Servers[:1], g.Servers[2]) },
	} {
		t.Log(name)
		g := Group{Recorded: "r1", Since: time.Minute, Servers: candidates()}
		change(&g)
		for waited := time.Duration(0); waited < promotionSettleTime; waited += ms(50) {
			is.Equal(NextAction(time.Minute+waited, g), Action{})
		}
		action := NextAction(time.Minute+promotionSettleTime, g)
		is.Equal(action.Follow, "")
		is.True(action.Promote != "" && action.Promote != "r1")
		is.Equal(action.From, "p")
	}
}

// Guards against a promotion that is repeated all the time while the platform refuses it, each time with a call, and
// against a server that takes the role before the unknown promotion of another one has settled.
func TestPromotionsAreSpaced(t *testing.T) {
	is := is.New(t)
	g := Group{Recorded: "r1", Since: time.Second, ChangedAt: time.Minute, Servers: candidates(),
		Unsettled: "r1", UnsettledAt: time.Minute}
	is.Equal(NextAction(time.Minute+promotionRetryInterval-ms(1), g), Action{})
	again := NextAction(time.Minute+promotionRetryInterval, g)
	is.Equal(again.Promote, "r1")
	is.True(again.Planned) // p answers and has to step down
	is.Equal(again.From, "p")
	g.Servers[0].Reachable, g.Servers[1].Reachable = false, false
	g.Servers[1].SilentFor = primaryTimeout
	is.Equal(NextAction(time.Minute+promotionSettleTime-ms(1), g), Action{})
	is.Equal(NextAction(time.Minute+promotionSettleTime, g).Promote, "r2")

	// r1 leads meanwhile and fails, but one of several requests to promote it may still be on its way.
	g.Primary, g.ChangedAt = "r1", time.Minute-failoverCooldown
	is.Equal(NextAction(time.Minute+promotionSettleTime-ms(1), g), Action{})
	is.Equal(NextAction(time.Minute+promotionSettleTime, g).Promote, "r2")
}

// Guards against a group without a primary for ever: a former owner had sent the primary the order to step down, which
// arrived after its successor had begun to use that server.
func TestPrimaryThatSteppedDownIsPromoted(t *testing.T) {
	is := is.New(t)
	g := Group{Primary: "p", Since: time.Second, Servers: candidates()}
	g.Servers[0].Primary = false
	g.Servers[0].DemotedFor = demotedTimeout - 1
	is.Equal(NextAction(time.Minute, g), Action{})
	g.Servers[0].DemotedFor = demotedTimeout
	is.Equal(NextAction(time.Minute, g).Promote, "p")
	g.Servers[1].Primary, g.Servers[1].Term = true, 4
	is.Equal(NextAction(time.Minute, g).Follow, "r1")
}

// Guards against a successor without acknowledged commits where the service promises to keep them, and against an outage
// where it does not or where a server is known to have them.
func TestSuccessorHasAcknowledgedCommits(t *testing.T) {
	is := is.New(t)
	hold := Action{Held: true, Reason: NoSafeSuccessor}
	for name, c := range map[string]struct {
		change func(g *Group)
		want   string // server to be promoted; none if the change is held
	}{
		"the better log is in a withdrawn domain":  {func(g *Group) {}, ""},
		"no synchronous replica":                   {func(g *Group) { g.SyncReplicas = 0 }, "r2"},
		"nothing acknowledged after the worse log": {func(g *Group) { g.Acknowledged = at(3, 30) }, "r2"},
		"the better log can be used":               {func(g *Group) { g.Servers[1].Usable = true }, "r1"},
		"logs compared by a new owner":             {func(g *Group) { g.Servers[1].Usable, g.AcknowledgedKnown = true, false }, "r1"},
		"a log is not known":                       {func(g *Group) { g.Servers[1].Settled, g.AcknowledgedKnown = false, false }, ""},
		"a log left the listing":                   {func(g *Group) { g.Servers[1].Usable, g.AcknowledgedKnown, g.Departed = true, false, 1 }, ""},
		"a log left, two synchronous replicas": {func(g *Group) {
			g.Servers[1].Usable, g.AcknowledgedKnown, g.Departed, g.SyncReplicas = true, false, 1, 2
		}, "r1"},
		"a later term without the entries before":   {func(g *Group) { g.Servers[2].Received, g.Servers[2].Term = at(4, 30), 4 }, ""},
		"the primary has no newer position than it": {func(g *Group) { g.Servers[2].Received = at(3, 50) }, "r2"},
	} {
		t.Log(name)
		g := Group{Primary: "p", Servers: candidates(), Durability: Durability{SyncReplicas: 1, Acknowledged: at(3, 50), AcknowledgedKnown: true}}
		g.Servers[0].Reachable, g.Servers[0].SilentFor = false, heldTimeout
		g.Servers[1].Usable, g.Servers[1].Settled, g.Servers[1].Received = false, true, at(3, 50)
		g.Servers[2].Settled, g.Servers[2].Received = true, at(3, 30)
		c.change(&g)
		action := NextAction(time.Minute, g)
		if c.want == "" {
			is.Equal(action, hold)
		} else {
			is.Equal(action.Promote, c.want)
		}
		g.Primary = "gone" // no longer listed
		is.Equal(NextAction(time.Minute, g).Held, c.want == "")
		g.Primary, g.Recorded, g.Since = "", "p", time.Second // a new owner that has not reached the primary
		is.Equal(NextAction(time.Minute, g).Promote, c.want)
	}
}

// Guards against writes at a former primary that goes on although a promotion that was given up has taken effect, and against a
// new owner that promotes another server while the recorded promotion, which no server has reported yet, may still do so.
func TestLatePromotionIsFollowed(t *testing.T) {
	is := is.New(t)
	g := Group{Primary: "p", Servers: candidates()}
	g.Servers[1].Primary, g.Servers[1].Term = true, 4
	is.Equal(NextAction(time.Minute, g).Follow, "r1")
	g = Group{Recorded: "r1", RecordedTerm: 4, Since: time.Minute, TakenOver: true, Servers: candidates()}
	g.Servers[0].Reachable, g.Servers[0].Heard, g.Servers[0].Primary = false, false, false
	g.Servers[1].Reachable, g.Servers[1].Heard = false, false
	is.Equal(NextAction(time.Minute+promotionSettleTime-ms(1), g), Action{})
	is.Equal(NextAction(time.Minute+promotionSettleTime, g).Promote, "r2")
	g.RecordedTerm = 3 // it has led
	is.Equal(NextAction(time.Minute+discoveryTime, g).Promote, "r2")
}
