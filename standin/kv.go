package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"arbutusreel/clock"
	"arbutusreel/completion"
)

// kvBytesPerToken is the size of the KV cache of one token.
const kvBytesPerToken = 128 << 10

// maxKVRequestBytes is the limit of the body of a KV cache transfer request.
const maxKVRequestBytes = 16 << 20

// kvRequest is a request to export or import the KV cache of a prompt.
type kvRequest struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
}

// kvReply is the size of a transfer.
type kvReply struct {
	Tokens int `json:"tokens"`
	Bytes  int `json:"bytes"`
}

// exportKV waits for the transfer time of the cached blocks of a prompt.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	e.transfer(w, r, func(prompt string) int { return e.cache.countCached(prompt) })
}

// importKV waits for the transfer time of the blocks of a prompt and caches them.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	e.transfer(w, r, func(prompt string) int {
		e.cache.lookupAndStore(time.Now(), prompt)
		return len(completion.PrefixHashes(prompt)) * tokensPerBlock
	})
}

func (e *Engine) transfer(w http.ResponseWriter, r *http.Request, countTokens func(prompt string) int) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxKVRequestBytes))
	if err != nil {
		return
	}
	var m kvRequest
	if json.Unmarshal(body, &m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	tokens := countTokens(m.Prompt)
	bytes := tokens * kvBytesPerToken
	if e.cfg.KVBytesPerSecond > 0 && !clock.Sleep(r.Context(),
		time.Duration(float64(bytes)/e.cfg.KVBytesPerSecond*float64(time.Second))) {
		return
	}
	writeJSON(w, kvReply{Tokens: tokens, Bytes: bytes})
}
