package unit

import (
	"fmt"
	"strings"
)

type (
	// FieldError is one invalid field and the reason.
	FieldError struct {
		Field  string `json:"field"`
		Reason string `json:"reason"`
	}

	// FieldErrors collects all invalid fields of one document. A nil FieldErrors is valid.
	FieldErrors []FieldError
)

// Add records an invalid field.
func (f *FieldErrors) Add(field, format string, args ...any) {
	*f = append(*f, FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// AddNested records the errors of a nested document and prefixes their fields with field.
func (f *FieldErrors) AddNested(field string, sub FieldErrors) {
	for _, s := range sub {
		*f = append(*f, FieldError{Field: field + "." + s.Field, Reason: s.Reason})
	}
}

// Err returns f as an error, or nil when there are no errors.
func (f FieldErrors) Err() error {
	if len(f) == 0 {
		return nil
	}

	return f
}

// Error lists the errors as "field: reason", separated by semicolons.
func (f FieldErrors) Error() string {
	parts := make([]string, 0, len(f))
	for _, s := range f {
		parts = append(parts, s.Field+": "+s.Reason)
	}

	return strings.Join(parts, "; ")
}
