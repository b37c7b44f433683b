package tomltext

import "bytes"

// maxNesting is the greatest number of arrays and tables inside each other and of parts of a dotted key. The
// decoder recurses for each of them; 100,000 overflowed the stack, which ends the process.
const maxNesting = 64

// nestedTooDeep returns the offset at which a text exceeds maxNesting. It follows strings and comments as TOML
// does, so that it sees the same brackets as the decoder up to the first error of the text.
func nestedTooDeep(text []byte) (offset int, tooDeep bool) {
	depth, dots := 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '#':
			i += lineLength(text[i:]) - 1
		case '"', '\'':
			i += stringLength(text[i:]) - 1
		case '[', '{':
			depth++
			dots = 0
		case ']', '}':
			depth = max(depth-1, 0)
		case '=', '\n':
			dots = 0
		case '.':
			dots++
		}
		if depth > maxNesting || dots >= maxNesting {
			return i, true
		}
	}
	return 0, false
}

// lineLength returns the number of bytes before the end of the line.
func lineLength(text []byte) int {
	if n := bytes.IndexByte(text, '\n'); n >= 0 {
		return n
	}
	return len(text)
}

// stringLength returns the number of bytes of the string at the start of a text with its quotes.
func stringLength(text []byte) int {
	quote := text[:1]
	escapes := text[0] == '"'
	if triple := bytes.Repeat(quote, 3); bytes.HasPrefix(text, triple) {
		end := closingQuote(text, 3, triple, escapes)
		for extra := 0; extra < 2 && bytes.HasPrefix(text[end:], quote); extra++ {
			end++ // quotes directly before the closing ones belong to the string
		}
		return end
	}
	line := text[:lineLength(text)]
	return closingQuote(line, 1, quote, escapes)
}

// closingQuote returns the offset behind the closing quote of a string whose content starts at the given offset.
func closingQuote(text []byte, start int, quote []byte, escapes bool) int {
	for i := start; i < len(text); i++ {
		if escapes && text[i] == '\\' {
			i++
			continue
		}
		if bytes.HasPrefix(text[i:], quote) {
			return i + len(quote)
		}
	}
	return len(text)
}
