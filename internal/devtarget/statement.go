package devtarget

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"siskinrouter/internal/promotion"
)

// kind names a statement; it is also the key of the statement counters.
type kind string

const (
	kindEmpty    kind = "EMPTY"
	kindBegin    kind = "BEGIN"
	kindCommit   kind = "COMMIT"
	kindRollback kind = "ROLLBACK"
	kindPut      kind = "PUT"
	kindAdd      kind = "ADD"
	kindGet      kind = "GET"
	kindRows     kind = "ROWS"
	kindSleep    kind = "SLEEP"
	kindSelect1  kind = "SELECT 1"
	kindSet      kind = "SET" // SET, RESET, DISCARD and DEALLOCATE; only default_transaction_read_only has an effect
	kindRequest  kind = "group_request"
	kindOutcome  kind = "group_outcome"
	kindStatus   kind = "group_status"
	kindWait     kind = "group_wait"
	kindFence    kind = "group_fence"
	kindPromote  kind = "group_promote"
	kindFollow   kind = "group_follow"
)

// statement is a parsed statement. An argument of the form $n is a parameter unless it was
// quoted.
type statement struct {
	kind      kind
	args      []argument
	readOnly  bool   // BEGIN READ ONLY
	readWrite bool   // BEGIN READ WRITE
	setting   string // name and value of SET default_transaction_read_only, in lower case without spaces
}

type argument struct {
	text  string
	param int // 1-based number of the parameter; 0 for a literal
}

// shape describes the arguments and result columns of a kind of statement.
type shape struct {
	args    int
	columns []string
}

var grantColumns = append([]string{"granted"}, promotion.StatusColumns...)

var shapes = map[kind]shape{
	kindPut:     {args: 2},
	kindAdd:     {args: 2, columns: []string{"value"}},
	kindGet:     {args: 1, columns: []string{"value"}},
	kindRows:    {args: 1, columns: []string{"row", "text"}},
	kindSleep:   {args: 1},
	kindSelect1: {columns: []string{"?column?"}},
	kindRequest: {args: 1, columns: []string{"state", "tag", "term", "position"}},
	kindOutcome: {args: 2},
	kindStatus:  {columns: promotion.StatusColumns},
	kindWait:    {args: 3, columns: promotion.StatusColumns},
	kindFence:   {args: 2, columns: grantColumns},
	kindPromote: {args: 2, columns: grantColumns},
	kindFollow:  {args: 2, columns: grantColumns},
}

// control reports whether the statement belongs to the group protocol and needs no slot.
func (k kind) control() bool {
	switch k {
	case kindStatus, kindWait, kindFence, kindPromote, kindFollow:
		return true
	}
	return false
}

// params returns the number of the highest parameter used.
func (s statement) params() int {
	n := 0
	for _, a := range s.args {
		n = max(n, a.param)
	}
	return n
}

// bind replaces parameters by values.
func (s statement) bind(values []string) (statement, error) {
	if s.params() > len(values) {
		return statement{}, fmt.Errorf("statement needs %d parameters, but %d were bound", s.params(), len(values))
	}
	bound := s
	bound.args = make([]argument, len(s.args))
	for i, a := range s.args {
		if a.param > 0 {
			a = argument{text: values[a.param-1]}
		}
		bound.args[i] = a
	}
	return bound, nil
}

var errUnterminated = errors.New("quoted string is not terminated")

// splitStatements splits the text of a simple query at semicolons outside quotes. Empty
// statements are dropped.
func splitStatements(text string) []string {
	var parts []string
	start, quoted := 0, false
	for i := range len(text) {
		switch {
		case text[i] == '\'':
			quoted = !quoted
		case text[i] == ';' && !quoted:
			parts = append(parts, text[start:i])
			start = i + 1
		}
	}
	parts = append(parts, text[start:])
	var nonEmpty []string
	for _, p := range parts {
		if p = strings.TrimSpace(p); p != "" {
			nonEmpty = append(nonEmpty, p)
		}
	}
	return nonEmpty
}

// parse parses one statement without its semicolon.
func parse(text string) (statement, error) {
	text = strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), ";"))
	if text == "" {
		return statement{kind: kindEmpty}, nil
	}
	word, rest, _ := strings.Cut(text, " ")
	rest = strings.TrimSpace(rest)
	switch strings.ToUpper(word) {
	case "BEGIN", "START":
		mode := strings.ToUpper(rest)
		return statement{
			kind: kindBegin, readOnly: strings.Contains(mode, "READ ONLY"), readWrite: strings.Contains(mode, "READ WRITE"),
		}, nil
	case "COMMIT", "END":
		return statement{kind: kindCommit}, nil
	case "ROLLBACK", "ABORT":
		return statement{kind: kindRollback}, nil
	case "SET", "RESET", "DISCARD", "DEALLOCATE":
		return statement{kind: kindSet, setting: strings.ToLower(strings.ReplaceAll(rest, " ", ""))}, nil
	case "SHOW":
		if rest == string(kindStatus) {
			return statement{kind: kindStatus}, nil
		}
	case "SELECT":
		return parseSelect(rest)
	case "PUT", "ADD", "GET", "ROWS", "SLEEP":
		return withArguments(kind(strings.ToUpper(word)), rest, ' ')
	}
	return statement{}, fmt.Errorf("statement %q is not supported", text)
}

func parseSelect(rest string) (statement, error) {
	if rest == "1" {
		return statement{kind: kindSelect1}, nil
	}
	name, list, found := strings.Cut(rest, "(")
	name = strings.TrimSpace(name)
	list, closed := strings.CutSuffix(strings.TrimSpace(list), ")")
	if _, known := shapes[kind(name)]; !known || !strings.HasPrefix(name, "group_") || !found || !closed {
		return statement{}, fmt.Errorf("statement %q is not supported", "SELECT "+rest)
	}
	return withArguments(kind(name), list, ',')
}

func withArguments(k kind, text string, separator byte) (statement, error) {
	args, err := arguments(text, separator)
	if err != nil {
		return statement{}, fmt.Errorf("%s: %w", k, err)
	}
	if want := shapes[k].args; len(args) != want {
		return statement{}, fmt.Errorf("%s takes %d arguments, not %d", k, want, len(args))
	}
	return statement{kind: k, args: args}, nil
}

// arguments splits text at separator and at blanks. A value in single quotes may contain both;
// two single quotes inside stand for one.
func arguments(text string, separator byte) ([]argument, error) {
	var all []argument
	for i := 0; i < len(text); {
		switch c := text[i]; c {
		case ' ', '\t', '\n', separator:
			i++
		case '\'':
			value, length, err := quoted(text[i:])
			if err != nil {
				return nil, err
			}
			all = append(all, argument{text: value})
			i += length
		default:
			end := i
			for end < len(text) && !strings.ContainsRune(" \t\n", rune(text[end])) && text[end] != separator {
				end++
			}
			all = append(all, unquoted(text[i:end]))
			i = end
		}
	}
	return all, nil
}

func unquoted(word string) argument {
	if n, err := strconv.Atoi(strings.TrimPrefix(word, "$")); err == nil && strings.HasPrefix(word, "$") && n > 0 {
		return argument{param: n}
	}
	return argument{text: word}
}

// quoted returns the value of the quoted string at the start of text and its length in text.
func quoted(text string) (value string, length int, err error) {
	var b strings.Builder
	for i := 1; i < len(text); i++ {
		if text[i] != '\'' {
			b.WriteByte(text[i])
			continue
		}
		if i+1 < len(text) && text[i+1] == '\'' {
			b.WriteByte('\'')
			i++
			continue
		}
		return b.String(), i + 1, nil
	}
	return "", 0, errUnterminated
}
