package settings

import (
	"fmt"
	"io"
	"strings"

	"google.golang.org/protobuf/proto"
)

// WritePage writes the settings of m as a Markdown table under the title and returns the error of a failed write.
func WritePage(w io.Writer, title string, m proto.Message) error {
	var b strings.Builder
	fmt.Fprintf(&b, "\n## %s\n\n", title)
	b.WriteString("| flag | environment variable | type | default | bounds | meaning |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range Describe(m) {
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s | %s | %s |\n", s.Name, s.Env, s.Type, s.defaultCell(), s.boundsCell(), s.Doc)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (s Setting) defaultCell() string {
	if s.Required {
		return "required"
	}
	if s.Default == "" {
		return ""
	}
	return "`" + s.Default + "`"
}

func (s Setting) boundsCell() string {
	if len(s.Choices) > 0 {
		return strings.Join(s.Choices, ", ")
	}
	if s.Min == 0 && s.Max == 0 {
		return ""
	}
	unit := ""
	if s.Type == "duration" {
		unit = " ms"
	}
	return fmt.Sprintf("%d to %d%s", s.Min, s.Max, unit)
}
