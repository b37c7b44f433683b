package grant

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the state machine, so that every run makes the same steps.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260401", "rapid.checks": "1000", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// pick draws one of the VMs.
func pick(t *rapid.T, label string) int { return rapid.IntRange(0, 2).Draw(t, label) }

// machineStep advances the world by one random step.
func machineStep(t *rapid.T, w *world) {
	i := pick(t, "vm")
	a := w.accounts[i]
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		w.tick(time.Duration(rapid.Int64Range(1, int64(LoanLifetime)).Draw(t, "time")))
	case 1:
		w.tick(time.Duration(rapid.Int64Range(1, int64(LoanMargin)).Draw(t, "time")))
	case 2:
		w.drain(i)
	case 3, 4:
		j := (i + rapid.IntRange(1, 2).Draw(t, "lender")) % 3
		want := Share(rapid.Int64Range(0, int64(FullShare)).Draw(t, "want"))
		ask := a.RequestLoan(w.clock(i), w.accounts[j].self, want)
		w.net = append(w.net, network{from: a.self, to: w.accounts[j].self, ask: &ask})
	case 5, 6, 7:
		if len(w.net) == 0 {
			return
		}
		k := rapid.IntRange(0, len(w.net)-1).Draw(t, "message")
		w.deliver(k, Share(rapid.Int64Range(0, int64(FullShare)).Draw(t, "limit")))
		if rapid.IntRange(0, 3).Draw(t, "copy") > 0 {
			w.net = append(w.net[:k:k], w.net[k+1:]...)
		}
	case 8:
		a.SetOwned(w.clock(i), w.owned(a.self))
	case 9:
		if rapid.Bool().Draw(t, "restart") {
			w.restart(i)
			return
		}
		a.SetOwned(w.clock(i), nil)
		w.pass(a.self, (i+1)%3)
	}
}

// Guards against over-admission in long sequences with arbitrary amounts and times, which the
// exploration does not reach.
func TestMachine(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(standardRules)
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) { machineStep(t, w) },
			"": func(t *rapid.T) {
				if fault := w.check(); fault != "" {
					t.Fatal(fault)
				}
			},
		})
	})
}
