package endpoint

import (
	"bytes"
	"io"
)

// newBody hides the type of the reader, so that net/http cannot make a copy of the body to send it again.
func newBody(b []byte) io.Reader {
	return io.MultiReader(bytes.NewReader(b))
}
