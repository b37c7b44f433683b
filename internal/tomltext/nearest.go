package tomltext

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

// Nearest returns the candidate that word is most likely a misspelling of, or "" if none is close.
func Nearest(word string, candidates []string) string {
	best, bestDistance := "", max(2, len(word)/3)+1
	for _, c := range candidates {
		if d := editDistance(word, c); d < bestDistance && d < len(c) {
			best, bestDistance = c, d
		}
	}
	return best
}

// DidYouMean returns the remedy for a name that is not one of the known names.
func DidYouMean(name string, known []string) string {
	sorted := append([]string(nil), known...)
	sort.Strings(sorted)
	switch near := Nearest(name, sorted); {
	case near != "":
		return fmt.Sprintf("did you mean %q?", near)
	case len(sorted) == 0:
		return "define it first"
	case len(sorted) > maxListed:
		return fmt.Sprintf("define it or use one of the %d known ones, such as %s", len(sorted), quoted(sorted[:maxListed]))
	default:
		return "define it or use one of " + quoted(sorted)
	}
}

// maxListed is the number of known names that a message lists.
const maxListed = 8

// maxWordBytes bounds the cost of comparing two words.
const maxWordBytes = 64

// editDistance returns the number of inserted, removed and replaced bytes that turn a into b.
func editDistance(a, b string) int {
	if len(a) > maxWordBytes || len(b) > maxWordBytes {
		return max(len(a), len(b))
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replaced := diagonal
			if a[i] != b[j] {
				replaced++
			}
			diagonal = row[j+1]
			row[j+1] = min(replaced, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}

// quoted lists words for a message.
func quoted(words []string) string {
	q := make([]string, len(words))
	for i, w := range words {
		q[i] = strconv.Quote(w)
	}
	return strings.Join(q, ", ")
}
