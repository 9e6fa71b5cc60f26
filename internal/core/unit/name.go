package unit

import "strings"

// maxNameLength bounds names so that keys, logs and metrics stay small.
const maxNameLength = 64

// ValidName reports whether s is 1 to 64 characters of a-z, A-Z, 0-9, '-', '_'
// or '.'.
func ValidName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}

	return strings.IndexFunc(s, invalidNameRune) < 0
}

func invalidNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return false
	case r == '-', r == '_', r == '.':
		return false
	}

	return true
}
