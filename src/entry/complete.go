package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/call"
	"sesamepitch/src/document"
	"sesamepitch/src/endpoint"
	"sesamepitch/src/rollout"

	"github.com/google/uuid"
)

const (
	defaultMaxTokens = 16
	requestTime      = 10 * time.Minute
	objectText       = "text_completion"
	objectChat       = "chat.completion"
)

var errTooMany = errors.New("the workspace has too many open requests here")

// completionRequest is a caller's request for a completion.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens *int   `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	endpoint.Sampling
}

// chatMessage is one message of a chat.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatRequest is a caller's request for a chat completion.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens *int          `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	endpoint.Sampling
}

// choice is one answer of a completion.
type choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

// tokenUsage is the tokens of one completion.
type tokenUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// completionAnswer is a completion, or one event of its stream.
type completionAnswer struct {
	ID       string      `json:"id"`
	Object   string      `json:"object"`
	Model    string      `json:"model"`
	Choices  []choice    `json:"choices"`
	Versions []int64     `json:"weight_versions,omitempty"`
	Usage    *tokenUsage `json:"usage,omitempty"`
}

// shape is how a route presents text: as plain text or as chat messages.
type shape struct {
	object string
	chat   bool
}

func (s shape) whole(text string) choice {
	if s.chat {
		return choice{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: "stop"}
	}
	return choice{Text: text, FinishReason: "stop"}
}

func (s shape) part(text string) choice {
	if s.chat {
		return choice{Delta: &chatMessage{Role: "assistant", Content: text}}
	}
	return choice{Text: text}
}

func (s *Server) completions(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error {
	var in completionRequest
	if err := readJSON(w, r, s.Holder.Current().Limit(document.LimitBodyBytes), &in); err != nil {
		fail(ctx, w, "completions", err, call.RanNo)
		return err
	}
	return s.generate(ctx, w, caller, in, shape{object: objectText})
}

func (s *Server) chat(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error {
	var in chatRequest
	if err := readJSON(w, r, s.Holder.Current().Limit(document.LimitBodyBytes), &in); err != nil {
		fail(ctx, w, "chat", err, call.RanNo)
		return err
	}
	var prompt strings.Builder
	for _, message := range in.Messages {
		fmt.Fprintf(&prompt, "<%s>%s\n", message.Role, message.Content)
	}
	plain := completionRequest{Model: in.Model, Prompt: prompt.String(), MaxTokens: in.MaxTokens, Stream: in.Stream, Sampling: in.Sampling}
	return s.generate(ctx, w, caller, plain, shape{object: objectChat, chat: true})
}

// checkCompletion returns max_tokens, or what is wrong with the request.
func (s *Server) checkCompletion(in completionRequest) (int, error) {
	config := s.Holder.Current()
	if _, found := config.Model(in.Model); !found {
		return 0, &Error{Op: "entry.completion", Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("no model %q", in.Model)}
	}
	if in.Prompt == "" {
		return 0, invalid("prompt is missing")
	}
	maxTokens := defaultMaxTokens
	if in.MaxTokens != nil {
		maxTokens = *in.MaxTokens
	}
	if limit := config.Limit(document.LimitTokens); maxTokens < 1 || int64(maxTokens) > limit {
		return 0, invalid("max_tokens must be 1 to %d", limit)
	}
	return maxTokens, nil
}

func noFloor() int64 { return 0 }

func (s *Server) generate(ctx context.Context, w http.ResponseWriter, caller Caller, in completionRequest, as shape) error {
	maxTokens, err := s.checkCompletion(in)
	if err != nil {
		fail(ctx, w, as.object, err, call.RanNo)
		return err
	}
	deadline := s.Clock.Now().Add(requestTime)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request := rollout.Request{
		ID: uuid.NewString(), Workspace: caller.workspace.Name, Weight: caller.workspace.Weight, Model: in.Model,
		Prompt: in.Prompt, MaxTokens: maxTokens, Interactive: caller.workspace.Class == document.Interactive,
		Deadline: deadline, MinVersion: noFloor, Sampling: in.Sampling, CallerKey: caller.secret,
	}
	answer := completionAnswer{ID: request.ID, Object: as.object, Model: in.Model}
	if in.Stream {
		return s.stream(ctx, w, request, answer, as)
	}
	generation, err := s.Runner.Generate(ctx, request, nil, true)
	if err != nil {
		fail(ctx, w, as.object, err, ranOf(err))
		return err
	}
	answer.Choices = []choice{as.whole(generation.Text())}
	answer.Versions = generation.Versions()
	answer.Usage = &tokenUsage{CompletionTokens: generation.Tokens()}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// ranOf tells whether a failed generation may have run.
func ranOf(err error) call.Ran {
	var failed *rollout.Error
	if errors.As(err, &failed) && !failed.Ran {
		return call.RanNo
	}
	return call.RanYes
}

// stream passes the parts on as server-sent events. After the first part a
// failure is an event of its own, and the end mark is missing.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, request rollout.Request, answer completionAnswer, as shape) error {
	controller := http.NewResponseController(w)
	begun := false
	send := func(value any) error {
		encoded, err := json.Marshal(value)
		if err != nil {
			return err
		}
		_ = controller.SetWriteDeadline(s.Clock.Now().Add(readerPatience))
		if _, err := fmt.Fprintf(w, "data: %s\n\n", encoded); err != nil {
			return &Error{Op: "entry.stream", Kind: sesamepitch.KindTimeout, Err: err}
		}
		return controller.Flush()
	}
	sink := func(chunk endpoint.Chunk) error {
		if !begun {
			begun = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
			w.WriteHeader(http.StatusOK)
		}
		part := answer
		part.Choices = []choice{as.part(chunk.Text)}
		part.Versions = []int64{chunk.Version}
		return send(part)
	}
	generation, err := s.Runner.Generate(ctx, request, sink, true)
	switch {
	case err != nil && begun:
		_ = send(errorEnvelope{Error: bodyOf(ctx, as.object, err, call.RanYes)})
		return err
	case err != nil:
		fail(ctx, w, as.object, err, ranOf(err))
		return err
	}
	end := answer
	end.Choices = []choice{{FinishReason: "stop"}}
	end.Versions = generation.Versions()
	end.Usage = &tokenUsage{CompletionTokens: generation.Tokens()}
	if err := send(end); err != nil {
		return err
	}
	_, err = fmt.Fprint(w, "data: [DONE]\n\n")
	return err
}
