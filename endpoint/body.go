package endpoint

import (
	"bytes"
	"io"
)

// newOpaqueBody returns a reader of b whose type net/http does not know, so that it cannot copy the body and send it
// again.
func newOpaqueBody(b []byte) io.Reader {
	return io.MultiReader(bytes.NewReader(b))
}
