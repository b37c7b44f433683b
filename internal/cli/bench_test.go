package cli

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against flags that are ignored when they follow the scenario, and against faulty arguments that
// start a run.
func TestBenchArguments(t *testing.T) {
	is := is.New(t)
	run := func(args ...string) (code int, out, errOut string) {
		var o, e bytes.Buffer
		code = Run(context.Background(), append([]string{"bench"}, args...), &o, &e)
		return code, o.String(), e.String()
	}
	code, out, _ := run("run", "lease-computed", "--repeat", "3", "--seed", "7")
	is.Equal(code, exitOK)
	is.True(strings.Contains(out, "3 runs from seed 7"))

	code, _, errOut := run("run", "calm")
	is.Equal(code, exitFail)
	is.True(strings.Contains(errOut, "primary-killed")) // the refusal names the scenarios
	code, _, errOut = run("run", "--policy", "lucky", "steady")
	is.Equal(code, exitFail)
	is.True(strings.Contains(errOut, "static-split"))
	code, _, _ = run("run")
	is.Equal(code, exitUsage)
}

// Guards against a comparison of stored reports that cannot read what run has written.
func TestBenchCompareReports(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	var out, errOut bytes.Buffer
	args := []string{"bench", "run", "lease-computed", "--repeat", "3", "--report", dir}
	is.Equal(Run(context.Background(), args, &out, &errOut), exitOK)
	path := filepath.Join(dir, "lease-computed-queensland-design")
	out.Reset()
	is.Equal(Run(context.Background(), []string{"bench", "compare", path, path}, &out, &errOut), exitOK)
	is.True(strings.Contains(out.String(), "within the noise"))
}
