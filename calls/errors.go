package calls

import (
	"fmt"

	"arbutusreel/ledger"
)

// NotFoundError means that none of the replicas that answered has a record of a call with the key.
type NotFoundError struct {
	Key ledger.Key
}

// Error returns a message with the team and the key.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no call of team %q with key %q is known", e.Key.Team, e.Key.Key)
}

// InProgressError means that the owner of a call may still be running it.
type InProgressError struct {
	Key ledger.Key
}

// Error returns a message with the team and the key.
func (e *InProgressError) Error() string {
	return fmt.Sprintf("the call of team %q with key %q is in progress", e.Key.Team, e.Key.Key)
}

// NoMajorityError means that no majority of the replicas agreed on the ending of a call.
type NoMajorityError struct {
	Key ledger.Key
}

// Error returns a message with the team and the key.
func (e *NoMajorityError) Error() string {
	return fmt.Sprintf("too few replicas agreed on the call of team %q with key %q", e.Key.Team, e.Key.Key)
}
