package grant

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the state machine test, so that every run takes the same steps.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20260401", "rapid.checks": "1000", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// drawVM draws the index of a VM.
func drawVM(t *rapid.T, label string) int { return rapid.IntRange(0, 2).Draw(t, label) }

// stateMachineStep takes one random step.
func stateMachineStep(t *rapid.T, st *modelState) {
	i := drawVM(t, "vm")
	a := st.accounts[i]
	switch rapid.IntRange(0, 9).Draw(t, "step") {
	case 0:
		st.advanceTime(time.Duration(rapid.Int64Range(1, int64(LoanLifetime)).Draw(t, "time")))
	case 1:
		st.advanceTime(time.Duration(rapid.Int64Range(1, int64(LoanMargin)).Draw(t, "time")))
	case 2:
		st.admitAll(i)
	case 3, 4:
		j := (i + rapid.IntRange(1, 2).Draw(t, "lender")) % 3
		requested := Share(rapid.Int64Range(0, int64(FullShare)).Draw(t, "want"))
		request := a.RequestLoan(st.clock(i), st.accounts[j].self, requested)
		st.messages = append(st.messages, message{from: a.self, to: st.accounts[j].self, loanRequest: &request})
	case 5, 6, 7:
		if len(st.messages) == 0 {
			return
		}
		k := rapid.IntRange(0, len(st.messages)-1).Draw(t, "message")
		st.deliver(k, Share(rapid.Int64Range(0, int64(FullShare)).Draw(t, "limit")))
		if rapid.IntRange(0, 3).Draw(t, "copy") > 0 {
			st.messages = append(st.messages[:k:k], st.messages[k+1:]...)
		}
	case 8:
		a.SetOwned(st.clock(i), st.owned(a.self))
	case 9:
		if rapid.Bool().Draw(t, "restart") {
			st.restart(i)
			return
		}
		a.SetOwned(st.clock(i), nil)
		st.transferSlots(a.self, (i+1)%3)
	}
}

// Guards against over-admission in long sequences with arbitrary amounts and times, which the
// exploration does not reach.
func TestMachine(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		st := newModelState(defaultRules)
		t.Repeat(map[string]func(*rapid.T){
			"step": func(t *rapid.T) { stateMachineStep(t, st) },
			"": func(t *rapid.T) {
				if violation := st.violation(); violation != "" {
					t.Fatal(violation)
				}
			},
		})
	})
}
