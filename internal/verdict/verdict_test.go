package verdict

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Guards against retrying a request whose failure carries no verdict.
func TestUnknownErrorsMayHaveRun(t *testing.T) {
	is := is.New(t)
	is.Equal(Of(errors.New("broken pipe")), MayHaveRun)
}

// Guards against losing the verdict when an error is wrapped on its way to the caller.
func TestVerdictSurvivesWrapping(t *testing.T) {
	is := is.New(t)
	cause := errors.New("refused")
	err := fmt.Errorf("target a: %w", Errorf(NotRun, StateTooManyConnections, "connect: %w", cause))
	is.Equal(Of(err), NotRun)
	is.True(errors.Is(err, cause))
}
