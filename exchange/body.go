package exchange

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
)

// maxTrailerBytes bounds the trailer of a chunked body.
const maxTrailerBytes = 4 << 10

// newBody returns a reader of the body that follows the head of a response. It returns io.EOF only at the end that the head
// announces.
func (r *responseReader) newBody(response *http.Response) io.ReadCloser {
	switch {
	case response.Body == http.NoBody:
		return http.NoBody
	case len(response.TransferEncoding) > 0:
		return io.NopCloser(&chunkedBody{chunks: httputil.NewChunkedReader(r.reader), responses: r})
	case response.ContentLength >= 0:
		return io.NopCloser(&sizedBody{limited: io.LimitedReader{R: r.reader, N: response.ContentLength}})
	default:
		return io.NopCloser(&unsizedBody{responses: r})
	}
}

// sizedBody is a body whose head states its length.
type sizedBody struct{ limited io.LimitedReader }

// Read returns io.ErrUnexpectedEOF if the connection ends before the body does.
func (b *sizedBody) Read(p []byte) (int, error) {
	n, err := b.limited.Read(p)
	if b.limited.N == 0 && err == nil {
		return n, io.EOF
	}
	if b.limited.N > 0 && errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks and the trailer after them, which is checked and dropped.
type chunkedBody struct {
	chunks    io.Reader
	responses *responseReader
	end       error
}

// Read returns io.EOF after the trailer, and *MalformedHeadError or *HeadTooLargeError for one that is not sound.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.responses.readTrailer()
	}
	b.end = err
	return n, err
}

// readTrailer returns io.EOF at the end of a sound trailer.
func (r *responseReader) readTrailer() error {
	left, limit := r.left, r.limit
	defer func() { r.left, r.limit = left, limit }()
	r.left, r.limit, r.line = maxTrailerBytes, maxTrailerBytes, 0
	var text bytes.Buffer
	if err := r.readFields(&text, false); err != nil {
		return err
	}
	if bytes.Count(text.Bytes(), []byte("\n")) > bytes.Count(text.Bytes(), []byte("\r\n")) {
		return &MalformedHeadError{Line: r.line, Reason: "a line of the trailer ends without a carriage return"}
	}
	return io.EOF
}

// unsizedBody is a body that the end of its connection ends.
type unsizedBody struct{ responses *responseReader }

// Read returns *ResetError if the connection did not end in order.
func (b *unsizedBody) Read(p []byte) (int, error) {
	n, err := b.responses.reader.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if cause := b.responses.upload.takenReset(b.responses.conn); cause != nil {
		return n, &ResetError{Cause: cause}
	}
	return n, io.EOF
}
