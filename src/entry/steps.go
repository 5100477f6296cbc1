package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	sesamepitch "sesamepitch/src"
	"sesamepitch/src/call"
	"sesamepitch/src/document"
	"sesamepitch/src/step"
)

// stepBodyFactor is how many times larger a step's body may be than others'.
const stepBodyFactor = 8

var errNotTrainer = errors.New("no such trainer for this workspace")

// StepRequest is a trainer's request for a step's samples.
type StepRequest struct {
	Groups        []step.Group    `json:"groups"`
	Have          []step.Identity `json:"have,omitempty"`
	PolicyVersion int64           `json:"policy_version"`
}

// StepLine is one line of the answer: a sample, an end or an error.
type StepLine struct {
	Sample *step.Sample `json:"sample,omitempty"`
	End    step.Outcome `json:"end,omitempty"`
	Error  *ErrorBody   `json:"error,omitempty"`
}

// AckRequest confirms that the trainer has samples.
type AckRequest struct {
	Samples []step.Identity `json:"samples"`
	Done    bool            `json:"done"`
}

// VersionRequest publishes a weight version of a model.
type VersionRequest struct {
	Version int64  `json:"version"`
	Object  string `json:"object"`
}

// trainer finds the path's trainer, if it belongs to the caller's workspace.
func (s *Server) trainer(r *http.Request, caller Caller) (document.Trainer, int64, error) {
	trainer, found := s.Holder.Current().Trainer(r.PathValue("trainer"))
	if !found || trainer.Workspace != caller.workspace.Name {
		return trainer, 0, &Error{Op: "entry.trainer", Kind: sesamepitch.KindNotFound, Err: errNotTrainer}
	}
	number, err := strconv.ParseInt(r.PathValue("step"), 10, 64)
	if err != nil || number < 0 {
		return trainer, 0, invalid("step must be a number")
	}
	return trainer, number, nil
}

// lines writes a step's lines to the trainer.
type lines struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	clock      sesamepitch.Clock
	begun      bool
	// patience is how long one line may wait for the trainer to read.
	patience time.Duration
}

func (l *lines) send(line StepLine) error {
	if !l.begun {
		l.begun = true
		l.writer.Header().Set("Content-Type", "application/x-ndjson")
		l.writer.WriteHeader(http.StatusOK)
	}
	encoded, err := json.Marshal(line)
	if err != nil {
		return err
	}
	_ = l.controller.SetWriteDeadline(l.clock.Now().Add(l.patience))
	if _, err := l.writer.Write(append(encoded, '\n')); err != nil {
		return &Error{Op: "entry.step", Kind: sesamepitch.KindTimeout, Err: err}
	}
	return l.controller.Flush()
}

// Deliver implements step.Delivery.
func (l *lines) Deliver(sample step.Sample) error {
	return l.send(StepLine{Sample: &sample})
}

func (s *Server) runStep(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error {
	const operation = "step"
	config := s.Holder.Current()
	trainer, number, err := s.trainer(r, caller)
	var in StepRequest
	if err == nil {
		err = readJSON(w, r, stepBodyFactor*config.Limit(document.LimitBodyBytes), &in)
	}
	open := step.Request{
		Spec:     step.Spec{Trainer: trainer.Name, Step: number, Groups: in.Groups},
		Received: in.Have, PolicyVersion: in.PolicyVersion, Secret: caller.secret,
	}
	if err == nil {
		err = open.Spec.Check(config.Limit(document.LimitTokens))
	}
	if err != nil {
		fail(ctx, w, operation, err, call.RanNo)
		return err
	}
	// A step may last longer than any other request's body may take to come.
	out := &lines{writer: w, controller: http.NewResponseController(w), clock: s.Clock, patience: readerPatience}
	_ = out.controller.SetReadDeadline(time.Time{})
	result, err := s.Steps.Drive(ctx, trainer, open, out)
	if err == nil {
		return out.send(StepLine{End: result})
	}
	if !out.begun {
		fail(ctx, w, operation, err, call.RanUnknown)
		return err
	}
	body := bodyOf(ctx, operation, err, call.RanYes)
	_ = out.send(StepLine{Error: &body})
	return err
}

func (s *Server) acknowledge(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error {
	const operation = "ack"
	trainer, number, err := s.trainer(r, caller)
	var in AckRequest
	if err == nil {
		err = readJSON(w, r, s.Holder.Current().Limit(document.LimitBodyBytes), &in)
	}
	if err != nil {
		fail(ctx, w, operation, err, call.RanNo)
		return err
	}
	if err := step.Acknowledge(ctx, s.Table, trainer.Name, number, in.Samples, in.Done); err != nil {
		fail(ctx, w, operation, err, call.RanUnknown)
		return err
	}
	writeJSON(w, http.StatusOK, struct{}{})
	return nil
}

func (s *Server) publishVersion(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error {
	const operation = "version"
	name := r.PathValue("model")
	var in VersionRequest
	err := s.mayPublish(name, caller)
	if err == nil {
		err = readJSON(w, r, s.Holder.Current().Limit(document.LimitBodyBytes), &in)
	}
	if err == nil && in.Version < 1 {
		err = invalid("version must be at least 1")
	}
	if err != nil {
		fail(ctx, w, operation, err, call.RanNo)
		return err
	}
	s.Publisher.Publish(ctx, s.Notices.NewVersion(name, in.Version, in.Object, caller.workspace.Name))
	s.Log.Info("weights published", "model", name, "version", in.Version, "workspace", caller.workspace.Name)
	writeJSON(w, http.StatusOK, struct{}{})
	return nil
}

// mayPublish tells whether the caller's workspace has a trainer of the model.
func (s *Server) mayPublish(model string, caller Caller) error {
	for _, trainer := range s.Holder.Current().Document().Trainers {
		if trainer.Model == model && trainer.Workspace == caller.workspace.Name {
			return nil
		}
	}
	return &Error{Op: "entry.version", Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("no trainer of model %q in this workspace", model)}
}
