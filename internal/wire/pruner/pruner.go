// Package pruner takes out of a JSON text what is nested too deeply, so that the rest of
// it can be decoded. encoding/json refuses a whole text that is nested to 10,001 levels.
package pruner

import "slices"

const (
	// entryDepth is the nesting of the entries of a list that is a field of the outermost
	// object: {"list":[entry]}.
	entryDepth = 2
	// maxDepth bounds the nesting of what is left.
	maxDepth = 1000
)

// Prune replaces each entry of a list that is nested to more than 1,000 levels with null.
// The lists are those in the fields of the outermost object. A text without such entries
// is returned as it is; one that is no JSON remains none.
func Prune(text []byte) []byte {
	var pruned []byte
	depth, deepest, entryStart, kept := 0, 0, 0, 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i)
		case '[', '{':
			if depth == entryDepth {
				entryStart, deepest = i, 0
			}
			depth++
			deepest = max(deepest, depth)
		case ']', '}':
			depth--
			if depth == entryDepth && deepest > maxDepth {
				pruned = append(append(pruned, text[kept:entryStart]...), "null"...)
				kept = i + 1
			}
		}
	}
	if kept == 0 {
		return text
	}
	return slices.Concat(pruned, text[kept:])
}

// stringEnd returns the index of the quote that ends the string that begins at start, or
// the length of the text if there is none.
func stringEnd(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}
