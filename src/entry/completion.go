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
	defaultMaxTokens  = 16
	completionTimeout = 10 * time.Minute
	objectText        = "text_completion"
	objectChat        = "chat.completion"
)

var errTooManyRequests = errors.New("the workspace has too many open requests here")

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

// choice is one generated output of a completion.
type choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason string       `json:"finish_reason,omitempty"`
}

// tokenUsage is the number of tokens of one completion.
type tokenUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// completionResponse is a complete response, or one event of a streamed one.
type completionResponse struct {
	ID       string      `json:"id"`
	Object   string      `json:"object"`
	Model    string      `json:"model"`
	Choices  []choice    `json:"choices"`
	Versions []int64     `json:"weight_versions,omitempty"`
	Usage    *tokenUsage `json:"usage,omitempty"`
}

// responseFormat is the format of a route's responses: plain text or chat
// messages.
type responseFormat struct {
	object string
	chat   bool
}

func (f responseFormat) complete(text string) choice {
	if f.chat {
		return choice{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: "stop"}
	}
	return choice{Text: text, FinishReason: "stop"}
}

func (f responseFormat) delta(text string) choice {
	if f.chat {
		return choice{Delta: &chatMessage{Role: "assistant", Content: text}}
	}
	return choice{Text: text}
}

func (s *Server) completions(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error {
	var in completionRequest
	if err := readJSON(w, r, s.Holder.Current().Limit(document.LimitBodyBytes), &in); err != nil {
		writeError(ctx, w, "completions", err, call.RanNo)
		return err
	}
	return s.generate(ctx, w, caller, in, responseFormat{object: objectText})
}

func (s *Server) chat(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error {
	var in chatRequest
	if err := readJSON(w, r, s.Holder.Current().Limit(document.LimitBodyBytes), &in); err != nil {
		writeError(ctx, w, "chat", err, call.RanNo)
		return err
	}
	var prompt strings.Builder
	for _, message := range in.Messages {
		fmt.Fprintf(&prompt, "<%s>%s\n", message.Role, message.Content)
	}
	plain := completionRequest{Model: in.Model, Prompt: prompt.String(), MaxTokens: in.MaxTokens, Stream: in.Stream, Sampling: in.Sampling}
	return s.generate(ctx, w, caller, plain, responseFormat{object: objectChat, chat: true})
}

// checkCompletion validates a request and returns its max_tokens or the default.
func (s *Server) checkCompletion(in completionRequest) (int, error) {
	config := s.Holder.Current()
	if _, found := config.Model(in.Model); !found {
		return 0, &Error{Op: "entry.completion", Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("no model %q", in.Model)}
	}
	if in.Prompt == "" {
		return 0, invalidRequest("prompt is missing")
	}
	maxTokens := defaultMaxTokens
	if in.MaxTokens != nil {
		maxTokens = *in.MaxTokens
	}
	if limit := config.Limit(document.LimitTokens); maxTokens < 1 || int64(maxTokens) > limit {
		return 0, invalidRequest("max_tokens must be 1 to %d", limit)
	}
	return maxTokens, nil
}

func noMinVersion() int64 { return 0 }

func (s *Server) generate(ctx context.Context, w http.ResponseWriter, caller Caller, in completionRequest, format responseFormat) error {
	maxTokens, err := s.checkCompletion(in)
	if err != nil {
		writeError(ctx, w, format.object, err, call.RanNo)
		return err
	}
	deadline := s.Clock.Now().Add(completionTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	request := rollout.Request{
		ID: uuid.NewString(), Workspace: caller.workspace.Name, Weight: caller.workspace.Weight, Model: in.Model,
		Prompt: in.Prompt, MaxTokens: maxTokens, Interactive: caller.workspace.Class == document.Interactive,
		Deadline: deadline, MinVersion: noMinVersion, Sampling: in.Sampling, CallerKey: caller.secret,
	}
	response := completionResponse{ID: request.ID, Object: format.object, Model: in.Model}
	if in.Stream {
		return s.stream(ctx, w, request, response, format)
	}
	generation, err := s.Runner.Generate(ctx, request, nil, true)
	if err != nil {
		writeError(ctx, w, format.object, err, ranOf(err))
		return err
	}
	response.Choices = []choice{format.complete(generation.Text())}
	response.Versions = generation.Versions()
	response.Usage = &tokenUsage{CompletionTokens: generation.Tokens()}
	writeJSON(w, http.StatusOK, response)
	return nil
}

// ranOf reports whether a failed generation may have run on an endpoint.
func ranOf(err error) call.Ran {
	var failed *rollout.Error
	if errors.As(err, &failed) && !failed.Ran {
		return call.RanNo
	}
	return call.RanYes
}

// stream sends the output as server-sent events. An error after the first event
// is sent as an event, and the stream then ends without [DONE].
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, request rollout.Request, response completionResponse, format responseFormat) error {
	controller := http.NewResponseController(w)
	started := false
	send := func(value any) error {
		encoded, err := json.Marshal(value)
		if err != nil {
			return err
		}
		_ = controller.SetWriteDeadline(s.Clock.Now().Add(streamWriteTimeout))
		if _, err := fmt.Fprintf(w, "data: %s\n\n", encoded); err != nil {
			return &Error{Op: "entry.stream", Kind: sesamepitch.KindTimeout, Err: err}
		}
		return controller.Flush()
	}
	sink := func(chunk endpoint.Chunk) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Cache-Control", "no-store")
			w.WriteHeader(http.StatusOK)
		}
		event := response
		event.Choices = []choice{format.delta(chunk.Text)}
		event.Versions = []int64{chunk.Version}
		return send(event)
	}
	generation, err := s.Runner.Generate(ctx, request, sink, true)
	switch {
	case err != nil && started:
		_ = send(errorEnvelope{Error: newErrorBody(ctx, format.object, err, call.RanYes)})
		return err
	case err != nil:
		writeError(ctx, w, format.object, err, ranOf(err))
		return err
	}
	end := response
	end.Choices = []choice{{FinishReason: "stop"}}
	end.Versions = generation.Versions()
	end.Usage = &tokenUsage{CompletionTokens: generation.Tokens()}
	if err := send(end); err != nil {
		return err
	}
	_, err = fmt.Fprint(w, "data: [DONE]\n\n")
	return err
}
