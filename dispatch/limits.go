package dispatch

import "time"

// retryAfterNoCapacity is when a caller may come back if no endpoint is known.
const retryAfterNoCapacity = time.Second
