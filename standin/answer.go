package standin

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// meanAnswerTokens is the mean length of an answer before it is limited to the caller's maximum.
const meanAnswerTokens = 40

// AnswerTokens returns the number of tokens of the answer to a prompt, at least one and at most maxTokens if that is
// positive.
func AnswerTokens(model, prompt string, maxTokens int) int {
	h := xxhash.Sum64String(model + "\x00" + prompt)
	n := 1 + int(h%(2*meanAnswerTokens-1))
	return max(1, min(n, maxTokens))
}

// Token returns the token at a position of the answer to a prompt.
func Token(model, prompt string, position int) string {
	h := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", model, prompt, position))
	return fmt.Sprintf("%04x ", h&0xffff)
}

// Answer returns the complete answer to a prompt.
func Answer(model, prompt string, maxTokens int) string {
	var b strings.Builder
	for i := range AnswerTokens(model, prompt, maxTokens) {
		b.WriteString(Token(model, prompt, i))
	}
	return b.String()
}
