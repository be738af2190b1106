package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"time"
)

// Line is a log line.
type Line struct {
	// Text is the JSON object, as it was logged.
	Text string
	// At is the time of the line; zero if it has none.
	At       time.Time
	Instance string
	Message  string
	// Request is the ID of the request that the line is about; empty for none.
	Request string
	// Endpoint is the ID of the endpoint that the line is about; empty for none.
	Endpoint string
	fields   map[string]any
}

// text returns a field that is a string, or the empty string.
func (l Line) text(key string) string {
	s, _ := l.fields[key].(string)
	return s
}

// number returns a field that is a number, or zero.
func (l Line) number(key string) float64 {
	n, _ := l.fields[key].(float64)
	return n
}

// flag reports whether a field is true.
func (l Line) flag(key string) bool {
	b, _ := l.fields[key].(bool)
	return b
}

// millis returns a field that holds milliseconds.
func (l Line) millis(key string) time.Duration {
	return time.Duration(l.number(key) * float64(time.Millisecond))
}

// Read calls each with the lines of r that hold a JSON object, in their order, and returns the number of other lines.
func Read(r io.Reader, each func(Line)) (skipped int, err error) {
	in := bufio.NewReader(r)
	for {
		text, err := in.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) > 0 {
			if l, ok := parse(text); ok {
				each(l)
			} else {
				skipped++
			}
		}
		if errors.Is(err, io.EOF) {
			return skipped, nil
		}
		if err != nil {
			return skipped, err
		}
	}
}

// parse decodes a log line and reports whether it holds a JSON object.
func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	object := bytes.TrimSpace(text[start:])
	var fields map[string]any
	if json.Unmarshal(object, &fields) != nil {
		return Line{}, false
	}
	l := Line{Text: string(object), fields: fields}
	l.Instance, l.Message, l.Request, l.Endpoint = l.text("instance"), l.text("message"), l.text("request"), l.text("endpoint")
	// A line without a valid time keeps the zero time.
	l.At, _ = time.Parse(time.RFC3339Nano, l.text("time"))
	return l, true
}
