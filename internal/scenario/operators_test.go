package scenario

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"siskinrouter/internal/devplatform"
	"siskinrouter/internal/operator"
)

// Guards against two operators who each keep every majority and together take one away, because one
// withdraws a failure domain while the other takes a target in another failure domain out of service.
func TestOperatorsTogetherKeepMajorities(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newSplit(t, deployment())
	s.fleet.Platform.SetFaults(devplatform.Faults{DelayMS: 100}) // both read before either writes
	servers := s.fleet.Groups[0].Servers()
	results := make(chan error, 2)
	go func() {
		_, err := s.fleet.Operator.WithdrawDomain(context.Background(), servers[1].Domain(), "test", false)
		results <- err
	}()
	go func() {
		_, err := s.fleet.Operator.LeaveTarget(context.Background(), servers[2].Name(), "test", false)
		results <- err
	}()
	refused := 0
	for range 2 {
		err := <-results
		t.Logf("result: %v", err)
		var shortage *operator.ShortageError
		if errors.As(err, &shortage) {
			refused++
		}
	}
	s.fleet.Platform.SetFaults(devplatform.Faults{})
	is.True(refused > 0) // at least one of the two must be refused
	conn := s.session(t, s.home, "")
	is.NoErr(poll(func() error { _, err := runSQL(conn, "PUT swap 1"); return err }))
}
