package decision

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/rs/zerolog"
)

// lineOverhead is the memory in bytes that a line takes in addition to its text.
const lineOverhead = 96

// Subject is what a line explains: a request or a placement.
type Subject struct {
	Kind Kind
	// Name is the correlation id of a request or the endpoint of a placement.
	Name string
}

// Kind is the kind of a subject; its value is the log key of the name.
type Kind string

// Kinds of subjects.
const (
	Request   Kind = "correlationId"
	Placement Kind = "placement"
)

// line is a kept line with its subjects.
type line struct {
	text     string
	subjects []Subject
}

// Store keeps log lines in memory; it is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int
	// first is the number of the oldest kept line.
	first int
	lines []line
	// index holds the numbers of the kept lines of each subject, in ascending order.
	index map[Subject][]int
}

var _ zerolog.LevelWriter = (*Store)(nil)

// New returns an empty store of at most maxBytes bytes, overhead included.
func New(maxBytes int) *Store {
	return &Store{maxBytes: maxBytes, index: map[Subject][]int{}}
}

// Write keeps the line if it explains a decision and fits into the store; it never fails.
func (s *Store) Write(b []byte) (int, error) {
	subjects := subjectsOf(b)
	if len(subjects) == 0 {
		return len(b), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(line{text: strings.TrimSuffix(string(b), "\n"), subjects: subjects})
	return len(b), nil
}

// WriteLevel is Write for a line of any level.
func (s *Store) WriteLevel(_ zerolog.Level, b []byte) (int, error) { return s.Write(b) }

// Lines returns the kept lines of the subject, oldest first.
func (s *Store) Lines(subject Subject) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lines []string
	for _, n := range s.index[subject] {
		lines = append(lines, s.lines[n-s.first].text)
	}
	return lines
}

// Bytes returns the bytes in use, overhead included.
func (s *Store) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

func (s *Store) add(l line) {
	if size(l) > s.maxBytes {
		return
	}
	n := s.first + len(s.lines)
	s.lines = append(s.lines, l)
	s.bytes += size(l)
	for _, subject := range l.subjects {
		s.index[subject] = append(s.index[subject], n)
	}
	for s.bytes > s.maxBytes {
		s.evictOldest()
	}
}

func (s *Store) evictOldest() {
	oldest := s.lines[0]
	for _, subject := range oldest.subjects {
		s.index[subject] = s.index[subject][1:]
		if len(s.index[subject]) == 0 {
			delete(s.index, subject)
		}
	}
	s.bytes -= size(oldest)
	s.lines[0] = line{}
	s.lines = s.lines[1:]
	s.first++
}

func size(l line) int { return len(l.text) + lineOverhead }

// subjectsOf returns the subjects that a log line names.
func subjectsOf(b []byte) []Subject {
	var subjects []Subject
	for _, kind := range []Kind{Request, Placement} {
		if name, ok := stringField(b, string(kind)); ok && name != "" {
			subjects = append(subjects, Subject{Kind: kind, Name: name})
		}
	}
	return slices.Clip(subjects)
}

// stringField returns the value of a string field of a JSON object without decoding the other fields.
//
// Quotes within values are escaped, so the searched text can only match a key.
func stringField(b []byte, key string) (string, bool) {
	_, rest, found := bytes.Cut(b, []byte(`"`+key+`":"`))
	if !found {
		return "", false
	}
	end, escaped := quoteEnd(rest)
	if end < 0 {
		return "", false
	}
	if !escaped {
		return string(rest[:end]), true
	}
	var text string
	if json.Unmarshal([]byte(`"`+string(rest[:end])+`"`), &text) != nil {
		return "", false
	}
	return text, true
}

// quoteEnd returns the index of the quote that ends a JSON string, or -1, and whether the string contains escapes.
func quoteEnd(b []byte) (end int, escaped bool) {
	for i := 0; i < len(b); i++ {
		switch b[i] {
		case '\\':
			escaped = true
			i++
		case '"':
			return i, escaped
		}
	}
	return -1, escaped
}
