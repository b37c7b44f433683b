package sleep

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a background task that continues to wait after its context is done, and against delays that
// end at once.
func TestFor(t *testing.T) {
	is := is.New(t)
	started := time.Now()
	is.NoErr(For(context.Background(), 20*time.Millisecond))
	is.True(time.Since(started) >= 20*time.Millisecond)
	is.NoErr(For(context.Background(), 0))
	cause := errors.New("drained")
	ctx, cancel := context.WithCancelCause(context.Background())
	cancel(cause)
	is.True(errors.Is(For(ctx, time.Hour), cause))
	is.True(errors.Is(For(ctx, 0), cause))
}
