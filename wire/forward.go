package wire

import (
	"time"

	"arbutusreel/dispatch"
	"arbutusreel/origin"
	"arbutusreel/problem"
	"arbutusreel/stream"
	"arbutusreel/wiregen"
)

// EncodeForward returns the message for a request; its deadline is sent as the remaining time.
func EncodeForward(r dispatch.Request) *wiregen.ForwardRequest {
	m := &wiregen.ForwardRequest{
		CorrelationId:   r.CorrelationID,
		Team:            r.Team,
		RequestClass:    r.Class,
		Labels:          r.Labels,
		Service:         r.Service,
		Model:           r.Model,
		Method:          r.Method,
		Path:            r.Path,
		ContentType:     r.ContentType,
		Body:            r.Body,
		Streaming:       r.Streaming,
		RemainingMillis: time.Until(r.Deadline).Milliseconds(),
		PromptTokens:    int64(r.PromptTokens),
		MaxTokens:       int64(r.MaxTokens),
		IdempotencyKey:  r.IdempotencyKey,
		Epoch:           r.Epoch,
		PrefixHashes:    r.Prefixes,
		ResumePosition:  int64(r.Resume.Next),
		ResumeText:      r.Resume.Text,
		Claimed:         r.Claimed,
	}
	if r.Resume.Began.Known() {
		m.ResumeSoftwareVersion = &r.Resume.Began.Software
	}
	if !r.SendBy.IsZero() {
		m.SendWithinMillis = max(time.Until(r.SendBy).Milliseconds(), 1)
	}
	for _, h := range r.Via {
		m.ViaInstances = append(m.ViaInstances, h.Instance)
		m.ViaRegions = append(m.ViaRegions, h.Region)
	}
	return m
}

// DecodeForward returns the request of a message received at the time now.
func DecodeForward(now time.Time, m *wiregen.ForwardRequest) dispatch.Request {
	r := dispatch.Request{
		CorrelationID:  m.GetCorrelationId(),
		Team:           m.GetTeam(),
		Class:          m.GetRequestClass(),
		Labels:         m.GetLabels(),
		Service:        m.GetService(),
		Model:          m.GetModel(),
		Method:         m.GetMethod(),
		Path:           m.GetPath(),
		ContentType:    m.GetContentType(),
		Body:           m.GetBody(),
		Streaming:      m.GetStreaming(),
		PromptTokens:   int(m.GetPromptTokens()),
		MaxTokens:      int(m.GetMaxTokens()),
		Deadline:       now.Add(time.Duration(m.GetRemainingMillis()) * time.Millisecond),
		IdempotencyKey: m.GetIdempotencyKey(),
		Epoch:          m.GetEpoch(),
		Prefixes:       m.GetPrefixHashes(),
		Resume:         dispatch.Attempt{Next: int(m.GetResumePosition()), Text: m.GetResumeText()},
		Claimed:        m.GetClaimed(),
	}
	if m.ResumeSoftwareVersion != nil {
		r.Resume.Began = origin.Origin{Service: r.Service, Software: m.GetResumeSoftwareVersion()}
	}
	if m.GetSendWithinMillis() > 0 {
		r.SendBy = now.Add(time.Duration(m.GetSendWithinMillis()) * time.Millisecond)
	}
	for i, instance := range m.GetViaInstances() {
		hop := dispatch.Hop{Instance: instance}
		if i < len(m.GetViaRegions()) {
			hop.Region = m.GetViaRegions()[i]
		}
		r.Via = append(r.Via, hop)
	}
	return r
}

// PieceFrame returns the frame for a piece, without its origin.
func PieceFrame(p stream.Piece) *wiregen.ForwardFrame {
	return pieceFrame(encodePiece(p))
}

// FirstPieceFrame returns the frame for the first piece of a forwarded answer, with its software version if that is
// known.
func FirstPieceFrame(p stream.Piece) *wiregen.ForwardFrame {
	piece := encodePiece(p)
	if p.Origin.Known() {
		piece.SoftwareVersion = &p.Origin.Software
	}
	return pieceFrame(piece)
}

func encodePiece(p stream.Piece) *wiregen.ForwardPiece {
	return &wiregen.ForwardPiece{Position: int64(p.Position), Data: []byte(p.Text)}
}

func pieceFrame(piece *wiregen.ForwardPiece) *wiregen.ForwardFrame {
	return &wiregen.ForwardFrame{Frame: &wiregen.ForwardFrame_Piece{Piece: piece}}
}

// DecodePiece returns a piece of the answer of a request's service, which has the origin before unless it names one.
func DecodePiece(m *wiregen.ForwardPiece, requestID, service string, before origin.Origin) stream.Piece {
	p := stream.Piece{RequestID: requestID, Position: int(m.GetPosition()), Text: string(m.GetData()), Origin: before}
	if m.SoftwareVersion != nil {
		p.Origin = origin.Origin{Service: service, Software: m.GetSoftwareVersion()}
	}
	return p
}

// EndFrame returns the frame that ends a complete answer.
func EndFrame(e stream.End) *wiregen.ForwardFrame {
	end := &wiregen.ForwardEnd{
		Pieces:       int64(e.Pieces),
		FinishReason: e.FinishReason,
		PromptTokens: int64(e.PromptTokens),
		CachedTokens: int64(e.CachedTokens),
	}
	return &wiregen.ForwardFrame{Frame: &wiregen.ForwardFrame_End{End: end}}
}

// DecodeEnd returns the end of a complete answer.
func DecodeEnd(m *wiregen.ForwardEnd) stream.End {
	return stream.End{
		FinishReason: m.GetFinishReason(),
		Pieces:       int(m.GetPieces()),
		PromptTokens: int(m.GetPromptTokens()),
		CachedTokens: int(m.GetCachedTokens()),
	}
}

// ProblemFrame returns the frame that ends a failed answer.
func ProblemFrame(p *problem.Problem) *wiregen.ForwardFrame {
	m := &wiregen.ForwardProblem{
		Code:             string(p.Code),
		Status:           int64(p.Status),
		Detail:           p.Detail,
		Outcome:          string(p.Outcome),
		RetryAfterMillis: p.RetryAfter.Milliseconds(),
	}
	return &wiregen.ForwardFrame{Frame: &wiregen.ForwardFrame_Problem{Problem: m}}
}

// DecodeProblem returns the problem of a failed answer.
func DecodeProblem(m *wiregen.ForwardProblem) *problem.Problem {
	return &problem.Problem{
		Code:       problem.Code(m.GetCode()),
		Status:     int(m.GetStatus()),
		Detail:     m.GetDetail(),
		Outcome:    problem.Outcome(m.GetOutcome()),
		RetryAfter: time.Duration(m.GetRetryAfterMillis()) * time.Millisecond,
	}
}

// ReplyFrames returns the frames of the complete answer of a plain service.
func ReplyFrames(r dispatch.Reply) []*wiregen.ForwardFrame {
	head := &wiregen.ForwardHead{Status: int64(r.Status), ContentType: r.ContentType, Endpoint: r.Endpoint}
	return []*wiregen.ForwardFrame{
		{Frame: &wiregen.ForwardFrame_Head{Head: head}},
		{Frame: &wiregen.ForwardFrame_Piece{Piece: &wiregen.ForwardPiece{Data: r.Body}}},
		{Frame: &wiregen.ForwardFrame_End{End: &wiregen.ForwardEnd{Pieces: 1}}},
	}
}
