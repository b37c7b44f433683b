package check

import (
	"bytes"
	"io"
	"os"
	"testing"

	"github.com/matryer/is"
)

// Guards against faults that are printed in a form that editors do not recognise, or out of order.
func TestOutput(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.Equal(Settings(&out, "vm.toml", []byte("[target]\nuser = 3\npassword = \"x\"\npasword = 1\n")), 6)
	is.Equal(out.String(), `vm.toml:1: there is no section [vm]; add [vm] with its keys as in docs/settings.md
vm.toml:1: there is no section [callers]; add [callers] with its keys as in docs/settings.md
vm.toml:1: there is no section [fleet]; add [fleet] with its keys as in docs/settings.md
vm.toml:1: there is no section [platform]; add [platform] with its keys as in docs/settings.md
vm.toml:2: "user" is an integer, not a string; write user = "text"
vm.toml:4: unknown key "pasword" in [target]; did you mean "password"?
`)
	out.Reset()
	is.Equal(FleetConfig(&out, "c.toml", []byte("domain = [\n")), 1)
	is.Equal(out.String(), "c.toml:1: the text is not valid TOML: array is incomplete; correct this line; the other lines are checked after that\n")
}

// Guards against examples that check refuses.
func TestExamplesHaveNoFaults(t *testing.T) {
	for file, checkText := range map[string]func(io.Writer, string, []byte) int{
		"queensland.toml":    FleetConfig,
		"tasmania.toml":      FleetConfig,
		"queensland-vm.toml": Settings,
		"tasmania-vm.toml":   Settings,
	} {
		text, err := os.ReadFile("../../examples/" + file)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if checkText(&out, file, text) > 0 {
			t.Error(out.String())
		}
	}
}
