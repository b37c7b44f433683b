package bench

import (
	"fmt"
	"time"

	"siskinrouter/internal/devplatform"
	"siskinrouter/internal/devtarget"
)

// scenario is what happens to a deployment while it serves load.
type scenario struct {
	name string
	help string
	// factors returns the demand of each workspace relative to its rate.
	factors func(workspaces int) []float64
	// prepare changes the deployment before the load starts; it may be nil.
	prepare func(*run)
	// script injects the faults; it ends before the load does. It may be nil.
	script func(*run) error
}

// normalDemand is the demand relative to the rate in all scenarios but greedy. It leaves room for
// the fluctuation of Poisson arrivals, so that nearly all requests are inside the rate.
const normalDemand = 0.6

// Demand in the scenario greedy, relative to the rate.
const (
	greedyFactor = 5.0
	otherDemand  = 0.8
)

// Times of the scenarios with changes of the primary.
const (
	faultLead   = 2 * time.Second         // before the first fault
	faultPeriod = 3500 * time.Millisecond // between two faults, which hit the groups in turn
	faultHold   = 2 * time.Second         // until the failed server returns
	faultTail   = 3 * time.Second         // between the last fault and the end of the load
)

const replicaLag = 100 * time.Millisecond

func normal(n int) []float64 {
	f := make([]float64, n)
	for i := range f {
		f[i] = normalDemand
	}
	return f
}

func greedy(n int) []float64 {
	f := make([]float64, n)
	for i := range f {
		f[i] = otherDemand
	}
	f[0] = greedyFactor
	return f
}

var scenarios = []scenario{
	{name: "steady", help: "mixed load of all workspaces at 60% of their rates", factors: normal},
	{name: "greedy", help: "one large tenant at 5 times its rate, the others at 80%", factors: greedy},
	{name: "primary-killed", help: "the primaries of the groups are killed in turn", factors: normal, script: killPrimaries},
	{name: "primary-isolated", help: "the primary of each group is cut off from the other failure domains, one after the other", factors: normal, script: isolatePrimaries},
	{name: "replica-lag", help: "reads on replicas see data that is 100 ms old", factors: normal, prepare: lagReplicas},
	{name: "platform-down", help: "the platform is down in the middle third", factors: normal, script: platformDown},
	{name: "key-withdrawn", help: "the key of a workspace is withdrawn, later it gets a new one", factors: normal, script: withdrawKey},
	{name: "domain-move", help: "a failure domain is withdrawn and returned", factors: normal, script: moveDomain},
	{name: "rolling-restart", help: "all VMs restart one after the other", factors: normal, script: restartVMs},
}

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	var names []string
	for _, s := range scenarios {
		names = append(names, s.name)
	}
	return append(names, latencyScenario, leaseScenario)
}

// Help returns one line for each scenario.
func Help() []string {
	var lines []string
	for _, s := range scenarios {
		lines = append(lines, fmt.Sprintf("%-17s %s", s.name, s.help))
	}
	return append(lines,
		fmt.Sprintf("%-17s %s", latencyScenario, "a read through one VM against a direct one, without distance"),
		fmt.Sprintf("%-17s %s", leaseScenario, "computed, not measured: the failover gap of the alternative design with a platform lease"))
}

func findScenario(name string) (scenario, error) {
	for _, s := range scenarios {
		if s.name == name {
			return s, nil
		}
	}
	return scenario{}, fmt.Errorf("scenario %q does not exist", name)
}

// fault is one failure of a primary. effective is when it was complete.
type fault struct {
	group         int
	at, effective time.Duration
}

// failPrimary makes the present primary of a group fail.
func (r *run) failPrimary(group int, inject func(*devtarget.Server)) (*devtarget.Server, error) {
	primary := r.fleet.Groups[group].Primary()
	if primary == nil {
		return nil, fmt.Errorf("group %d has no primary at %v", group+1, r.load.now())
	}
	f := fault{group: group, at: r.load.now()}
	inject(primary)
	f.effective = r.load.now()
	r.faults = append(r.faults, f)
	r.event("primary %s fails", primary.Name())
	return primary, nil
}

// killPrimaries kills the primaries of the groups in turn until too little time is left. Each returns
// before the next one fails.
func killPrimaries(r *run) error {
	at := faultLead
	for n := 0; at+faultTail <= r.duration; n++ {
		r.sleepUntil(at)
		s, err := r.failPrimary(n%len(r.fleet.Groups), (*devtarget.Server).Kill)
		if err != nil {
			return err
		}
		r.sleepUntil(at + faultHold)
		r.event("%s returns", s.Name())
		if err := s.Restart(); err != nil {
			return err
		}
		at += faultPeriod
	}
	return nil
}

// isolatePrimaries cuts the primary of each group off from the other servers and from the VMs of other
// failure domains until the load ends. The VMs of its own failure domain still reach it, and it still
// believes that it leads. An isolation that ends soon would hide requests that wait for its end.
func isolatePrimaries(r *run) error {
	at := faultLead
	var isolated []*devtarget.Server
	for group := range r.fleet.Groups {
		if at+faultTail > r.duration {
			break
		}
		r.sleepUntil(at)
		s, err := r.failPrimary(group, func(s *devtarget.Server) { r.isolate(s, true) })
		if err != nil {
			return err
		}
		isolated = append(isolated, s)
		at += faultPeriod
	}
	r.sleepUntil(r.duration)
	r.event("the isolated servers return")
	for _, s := range isolated {
		r.isolate(s, false)
	}
	return nil
}

func (r *run) isolate(s *devtarget.Server, on bool) {
	s.IsolatePeers(on)
	for _, vm := range r.fleet.VMs() {
		if vm.Domain != s.Domain() {
			s.IsolateClient(vm.Name, on)
		}
	}
}

func lagReplicas(r *run) { r.deployment.Lag = replicaLag }

func platformDown(r *run) error {
	r.sleepUntil(r.duration / 3)
	r.fleet.Platform.SetFaults(devplatform.Faults{Down: true})
	r.event("the platform is down")
	r.sleepUntil(2 * r.duration / 3)
	r.fleet.Platform.SetFaults(devplatform.Faults{})
	r.event("the platform is up")
	return nil
}

// withdrawKey withdraws the key of the last workspace, which gets a new key later.
func withdrawKey(r *run) error {
	index := len(r.load.spaces) - 1
	w := r.load.spaces[index]
	r.sleepUntil(r.duration / 3)
	withdrawn := r.load.now() // before the change, which takes effect while the command still runs
	if _, err := r.fleet.Operator.WithdrawKey(r.load.ctx, r.fleet.KeyIDs[w.name]); err != nil {
		return err
	}
	r.event("the key of %s is withdrawn", w.name)
	r.sleepUntil(2 * r.duration / 3)
	_, secret, _, err := r.fleet.Operator.AddKey(r.load.ctx, w.name)
	if err != nil {
		return err
	}
	r.withdrawal = &withdrawal{workspace: index, from: withdrawn, to: r.load.now()}
	w.setSecret(secret)
	r.event("%s has a new key", w.name)
	return nil
}

// withdrawal is the time without a valid key of one workspace.
type withdrawal struct {
	workspace int
	from, to  time.Duration
}

func moveDomain(r *run) error {
	domain := r.deployment.Domains[0]
	r.sleepUntil(r.duration / 3)
	r.watchDomain(domain, r.load.now())
	if _, err := r.fleet.Operator.WithdrawDomain(r.load.ctx, domain, "bench", false); err != nil {
		return err
	}
	r.event("failure domain %s is withdrawn", domain)
	r.sleepUntil(2 * r.duration / 3)
	r.stopWatch(r.load.now()) // before the return, which takes effect while the command still runs
	if _, err := r.fleet.Operator.ReturnDomain(r.load.ctx, domain); err != nil {
		return err
	}
	r.event("failure domain %s is returned", domain)
	return nil
}

// restartVMs drains and starts every VM once. A VM that takes too long does not keep the next one waiting
// beyond the end of the load.
func restartVMs(r *run) error {
	r.sleepUntil(faultLead)
	for i, vm := range r.fleet.VMs() {
		if r.load.now() > r.duration {
			return fmt.Errorf("the load ended before VM %s was restarted; use a longer duration", vm.Name)
		}
		r.event("%s drains", vm.Name)
		if err := vm.Drain(); err != nil {
			return err
		}
		next, err := r.fleet.StartVM(i)
		if err != nil {
			return err
		}
		if err := r.fleet.ReadyVM(r.load.ctx, next); err != nil {
			return err
		}
		r.event("%s serves again", next.Name)
	}
	r.restarted = true
	return nil
}

// sleepUntil waits for a time since the start of the load.
func (r *run) sleepUntil(at time.Duration) { pause(r.load.ctx, at-r.load.now()) }
