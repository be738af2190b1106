package fleet

import "fmt"

// EndpointError reports that a field of an endpoint's record is missing or invalid.
type EndpointError struct {
	Field string
	Value string
}

// maxShownValue is the number of bytes of an invalid value in the text of an error.
const maxShownValue = 64

// Error returns the field and the beginning of its value.
func (e *EndpointError) Error() string {
	return fmt.Sprintf("endpoint field %s: %q is missing or invalid", e.Field, e.Value[:min(len(e.Value), maxShownValue)])
}
