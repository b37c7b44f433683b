package demo

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a demo that fails on a working fleet.
func TestEveryStepIsObserved(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	err := Run(context.Background(), &out)
	t.Log(out.String())
	is.NoErr(err)
}
