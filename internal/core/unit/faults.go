package unit

import (
	"fmt"
	"strings"
)

type (
	// Fault is one invalid field and the reason.
	Fault struct {
		Field  string `json:"field"`
		Reason string `json:"reason"`
	}

	// Faults collects all invalid fields of one document. A nil Faults is valid.
	Faults []Fault
)

// Add records an invalid field.
func (f *Faults) Add(field, format string, args ...any) {
	*f = append(*f, Fault{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// AddNested records the faults of a nested document and prefixes their fields with field.
func (f *Faults) AddNested(field string, sub Faults) {
	for _, s := range sub {
		*f = append(*f, Fault{Field: field + "." + s.Field, Reason: s.Reason})
	}
}

// Err returns f as an error, or nil when there are no faults.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}

	return f
}

// Error lists the faults as "field: reason", separated by semicolons.
func (f Faults) Error() string {
	parts := make([]string, 0, len(f))
	for _, s := range f {
		parts = append(parts, s.Field+": "+s.Reason)
	}

	return strings.Join(parts, "; ")
}
