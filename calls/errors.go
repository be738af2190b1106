package calls

import (
	"fmt"

	"arbutusreel/ledger"
)

// NotFoundError says that no replica that answered knows a call with the key.
type NotFoundError struct {
	Key ledger.Key
}

// Error names the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no call of team %q with key %q is known", e.Key.Team, e.Key.Key)
}

// InProgressError says that the owner of a call may still be at work.
type InProgressError struct {
	Key ledger.Key
}

// Error names the key.
func (e *InProgressError) Error() string {
	return fmt.Sprintf("the call of team %q with key %q is in progress", e.Key.Team, e.Key.Key)
}

// NoMajorityError says that too few replicas agreed on the ending of a call.
type NoMajorityError struct {
	Key ledger.Key
}

// Error names the key.
func (e *NoMajorityError) Error() string {
	return fmt.Sprintf("too few replicas agreed on the call of team %q with key %q", e.Key.Team, e.Key.Key)
}
