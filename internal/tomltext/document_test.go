package tomltext

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against texts that overflow the stack of the decoder, which would end every daemon of the fleet.
func TestDeepNestingIsAFault(t *testing.T) {
	const deep = 400_000
	for name, text := range map[string]string{
		"arrays":                  "a = " + strings.Repeat("[", deep),
		"inline tables":           "a = " + strings.Repeat("{a=", deep/2),
		"dotted key":              strings.Repeat("a.", deep) + "a = 1",
		"header":                  "[" + strings.Repeat("a.", deep) + "a]",
		"closed in comments":      "a = " + strings.Repeat("[ # ]\n", deep/4),
		"closed in strings":       "a = " + strings.Repeat("[ ']', ", deep/4),
		"closed in long strings":  "a = " + strings.Repeat(`[ """]"]\"""""", `, deep/10),
		"closed in other strings": "a = " + strings.Repeat(`[ "\"]", `, deep/5),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d, ok := Read([]byte(text))
			is.True(!ok)
			is.Equal(len(d.Faults()), 1)
			is.True(strings.Contains(d.Faults()[0].Problem, "nested")) // and the text was not decoded
		})
	}
}

// Guards against brackets in strings and comments that are taken for nesting.
func TestBracketsInTextAreNoNesting(t *testing.T) {
	is := is.New(t)
	brackets := strings.Repeat("[", 100)
	text := "a = \"\\\"" + brackets + "\"\nb = '\\" + brackets + "'\n# " + brackets +
		"\nc = \"\"\"x\"y\n" + brackets + "\"\"\"\"\nd = '''" + brackets + "''''\ne = \"\"\nf = 1\n"
	d, ok := Read([]byte(text))
	is.True(ok)
	is.Equal(d.Faults(), nil)
	is.Equal(d.Root().String("d"), brackets+"'")
}

// Guards against lines that are wrong for values that do not start on the line of their key.
func TestLinesOfNestedValues(t *testing.T) {
	is := is.New(t)
	d, ok := Read([]byte("a = [\n  # comment\n  { b = 1 },\n\n  { c = 1 },\n]\n\n[[x.y]]\nz.w = 2\n"))
	is.True(ok)
	items := d.Root().Tables("a")
	is.Equal(items[0].KeyLine("b"), 3)
	is.Equal(items[1].KeyLine("c"), 5)
	is.Equal(items[1].KeyLine("absent"), 5)
	y := d.Root().Table("x").Tables("y")[0]
	is.Equal(y.Line(), 8)
	is.Equal(y.Table("z").KeyLine("w"), 9)
}

// Guards against suggestions that have nothing to do with the word.
func TestNearest(t *testing.T) {
	is := is.New(t)
	keys := []string{"name", "rate", "burst", "weight", "groups"}
	is.Equal(Nearest("wieght", keys), "weight")
	is.Equal(Nearest("group", keys), "groups")
	is.Equal(Nearest("rates", keys), "rate")
	is.Equal(Nearest("colour", keys), "")
	is.Equal(Nearest(strings.Repeat("x", 1000), keys), "")
}
