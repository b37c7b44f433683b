// Package bench generates load on a whole deployment, injects faults and measures the service that
// callers get. Targets, platform and network are the substitutes; the daemons are the real ones.
package bench

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"siskinrouter/internal/daemon"
	"siskinrouter/internal/devfleet"
)

// Config selects what to run.
type Config struct {
	Scenario   string
	Deployment string // queensland or tasmania
	Policy     string // one of Policies
	Duration   time.Duration
	Repeat     int
	Seed       uint64
	Progress   io.Writer // nil for none
	Log        io.Writer // log of the daemons; nil for none
}

// Deployments are the names accepted as Config.Deployment.
var Deployments = []string{"queensland", "tasmania"}

// Policies are the names accepted as Config.Policy.
var Policies = []string{"design", "primary-only", "fifo", "static-split"}

// serviceTime is the time that a statement occupies a slot of a target. The substitutes would answer
// in microseconds otherwise, and no request would ever wait for another one.
const serviceTime = 2 * time.Millisecond

// deployment returns the deployment of a configuration with its policy.
func (c Config) deployment() (devfleet.Deployment, error) {
	var d devfleet.Deployment
	switch c.Deployment {
	case "queensland":
		d = devfleet.Queensland()
	case "tasmania":
		d = devfleet.Tasmania()
	default:
		return d, fmt.Errorf("deployment %q does not exist; choose one of %s", c.Deployment, strings.Join(Deployments, ", "))
	}
	d.ServiceTime = serviceTime
	var err error
	d.Experiment, err = experiment(c.Policy, d.VMs)
	return d, err
}

func experiment(policy string, vms int) (daemon.Experiment, error) {
	switch policy {
	case "", "design":
		return daemon.Experiment{}, nil
	case "primary-only":
		return daemon.Experiment{PrimaryOnlyReads: true}, nil
	case "fifo":
		return daemon.Experiment{FIFO: true}, nil
	case "static-split":
		return daemon.Experiment{StaticSplit: vms}, nil
	}
	return daemon.Experiment{}, fmt.Errorf("policy %q does not exist; choose one of %s", policy, strings.Join(Policies, ", "))
}

// check reports the first invalid field of c.
func (c Config) check() error {
	if !slices.Contains(Scenarios(), c.Scenario) {
		return fmt.Errorf("scenario %q does not exist; choose one of %s", c.Scenario, strings.Join(Scenarios(), ", "))
	}
	if c.Duration < minDuration {
		return fmt.Errorf("duration %v is below the minimum of %v", c.Duration, minDuration)
	}
	if c.Repeat < 1 {
		return fmt.Errorf("repeat %d is below 1", c.Repeat)
	}
	return nil
}

// minDuration leaves time for the steady phase before and after a fault.
const minDuration = 3 * time.Second
