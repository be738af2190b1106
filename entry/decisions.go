package entry

import (
	"net/http"

	"arbutusreel/decision"
	"arbutusreel/operator"
	"arbutusreel/problem"
	"arbutusreel/wiregen"
)

// operator passes on a request that bears the operators' token.
func (n *Entry) operator(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if err := operator.Authorize(r, n.cfg.OperatorTokenDigest); err != nil {
			problem.Write(w, problem.From(err), "")
			return
		}
		handle(w, r)
	}
}

// decisions answers the kept lines of a request or a placement.
func (n *Entry) decisions(w http.ResponseWriter, r *http.Request) {
	subject := decision.Subject{Kind: decision.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	reply := &wiregen.DecisionsReply{}
	if n.cfg.Decisions != nil {
		reply.Lines = n.cfg.Decisions.Lines(subject)
	}
	writeReply(w, reply)
}
