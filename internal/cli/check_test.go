package cli

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against exit codes on which scripts of operators rely.
func TestCheckExitCodes(t *testing.T) {
	for _, c := range []struct {
		args []string
		want int
	}{
		{[]string{"check", "../../examples/queensland.toml"}, exitOK},
		{[]string{"check", "--settings", "../../examples/queensland-vm.toml"}, exitOK},
		{[]string{"check", "../../examples/queensland-vm.toml"}, exitFail},
		{[]string{"check", "--settings", "../../examples/queensland.toml"}, exitFail},
		{[]string{"check", "no-such-file.toml"}, exitFail},
		{[]string{"check"}, exitUsage},
	} {
		is := is.New(t)
		var out, errOut bytes.Buffer
		is.Equal(Run(context.Background(), c.args, &out, &errOut), c.want)
	}
}
