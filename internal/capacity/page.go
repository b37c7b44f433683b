package capacity

import (
	_ "embed"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/template"
)

// pageTemplate is the text of docs/CAPACITY.md. All figures in it come from the model.
//
//go:embed page.md.tmpl
var pageTemplate string

// Page returns docs/CAPACITY.md.
func (m *Model) Page() (string, error) {
	t, err := template.New("page").Funcs(template.FuncMap{
		"value":      m.value,
		"margin":     m.margin,
		"high":       m.high,
		"slope":      m.slope,
		"table":      m.table,
		"slopes":     m.slopeTable,
		"shortfalls": m.shortfalls,
		"machine":    func() string { return m.Slopes.Machine },
		"date":       func() string { return m.Slopes.Date },
		"go":         func() string { return m.Slopes.Go },
	}).Parse(pageTemplate)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	if err := t.Execute(&b, nil); err != nil {
		return "", err
	}
	return b.String(), nil
}

// Check returns an error that names the first line in which a page differs from the model.
func (m *Model) Check(page string) error {
	want, err := m.Page()
	if err != nil {
		return err
	}
	got, expected := strings.Split(page, "\n"), strings.Split(want, "\n")
	for i := range max(len(got), len(expected)) {
		g, w := lineAt(got, i), lineAt(expected, i)
		if g != w {
			return fmt.Errorf("line %d of the page is %q, but the slopes give %q; renew it with \"siskinrouter capacity show --page\"", i+1, g, w)
		}
	}
	return nil
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return ""
}

func (m *Model) value(id string) (string, error) {
	f, err := m.Get(id)
	return format(f.Value, f.Unit), err
}

func (m *Model) margin(id string) (string, error) {
	f, err := m.Get(id)
	return f.Margin(), err
}

// high returns a figure and its margin with every slope at the high end of its spread.
func (m *Model) high(id string) (string, error) {
	slopes := *m.Slopes
	slopes.Slopes = slices.Clone(m.Slopes.Slopes)
	for i := range slopes.Slopes {
		slopes.Slopes[i].Value = slopes.Slopes[i].High
	}
	worst, err := NewModel(m.Plan, &slopes)
	if err != nil {
		return "", err
	}
	f, err := worst.Get(id)
	return fmt.Sprintf("%s (%s)", format(f.Value, f.Unit), f.Margin()), err
}

func (m *Model) slope(id string) (string, error) {
	s, ok := m.Slopes.Get(id)
	if !ok {
		return "", fmt.Errorf("there is no slope %q", id)
	}
	return format(s.Value, s.Unit), nil
}

// Table returns all figures as text.
func (m *Model) Table() string {
	var roles []string
	for _, f := range m.Figures {
		if !slices.Contains(roles, f.Role) {
			roles = append(roles, f.Role)
		}
	}
	var b strings.Builder
	for _, role := range roles {
		text, err := m.table(role)
		if err != nil {
			continue
		}
		fmt.Fprintf(&b, "%s\n\n%s\n", role, text)
	}
	return b.String()
}

// table returns the figures of a role as a Markdown table.
func (m *Model) table(role string) (string, error) {
	var b strings.Builder
	b.WriteString("| figure | value | worked out from | limit | margin |\n|---|---|---|---|---|\n")
	n := 0
	for _, f := range m.Figures {
		if f.Role != role {
			continue
		}
		n++
		what := f.What
		if f.Planned && role != roleCarriers {
			what += " (planned)"
		}
		limit := ""
		if f.Limit > 0 {
			limit = fmt.Sprintf("%s (%s)", format(f.Limit, f.Unit), f.LimitOf)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", what, format(f.Value, f.Unit), f.How, limit, f.Margin())
	}
	if n == 0 {
		return "", fmt.Errorf("there is no role %q", role)
	}
	return b.String(), nil
}

// shortfalls lists the figures that exceed their limits, those of today or those of planned mechanisms.
func (m *Model) shortfalls(planned bool) string {
	var b strings.Builder
	b.WriteString("| figure | value | limit | exceeded | what reaches it |\n|---|---|---|---|---|\n")
	for _, f := range m.Figures {
		if f.Exceeds() && f.Planned == planned {
			fmt.Fprintf(&b, "| %s: %s | %s | %s | %s times | %s |\n", f.Role, f.What, format(f.Value, f.Unit), format(f.Limit, f.Unit),
				ratio(f.Value/f.Limit), f.Remedy)
		}
	}
	return b.String()
}

// slopeTable returns the measured slopes.
func (m *Model) slopeTable() string {
	var b strings.Builder
	b.WriteString("| slope | median | spread | runs | what | made by |\n|---|---|---|---|---|---|\n")
	for _, k := range kinds {
		s, ok := m.Slopes.Get(k.id)
		if !ok {
			continue
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s to %s | %d | %s | `%s` |\n", s.ID, format(s.Value, s.Unit), format(s.Low, s.Unit),
			format(s.High, s.Unit), s.Runs, s.What, s.Command)
	}
	return b.String()
}

// format returns a value with its unit in three significant digits.
func format(v float64, unit string) string {
	switch unit {
	case "":
		return number(v)
	case "core":
		return number(100*v) + "% of a core"
	case "B", "B/s", "B/KB":
		return byteSize(v) + strings.TrimPrefix(unit, "B")
	case "%":
		return number(v) + "%"
	default:
		return number(v) + " " + unit
	}
}

func byteSize(v float64) string {
	for _, u := range []struct {
		size float64
		name string
	}{{1e9, "GB"}, {1e6, "MB"}, {1e3, "KB"}} {
		if math.Abs(v) >= u.size {
			return number(v/u.size) + " " + u.name
		}
	}
	return number(v) + " B"
}

// number rounds to three significant digits and groups the digits of large numbers.
func number(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := max(2-int(math.Floor(math.Log10(math.Abs(v)))), 0)
	if math.Abs(v) >= 1000 {
		return grouped(strconv.FormatFloat(v, 'f', 0, 64))
	}
	text := strconv.FormatFloat(v, 'f', digits, 64)
	if strings.Contains(text, ".") {
		text = strings.TrimRight(strings.TrimRight(text, "0"), ".")
	}
	return text
}

func grouped(digits string) string {
	for i := len(digits) - 3; i > 0; i -= 3 {
		digits = digits[:i] + "," + digits[i:]
	}
	return digits
}
