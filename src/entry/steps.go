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

// stepBodyFactor is the factor by which a step's body may exceed the limit for
// other bodies.
const stepBodyFactor = 8

var errNotTrainer = errors.New("no such trainer for this workspace")

// StepRequest is a trainer's request for a step's samples.
type StepRequest struct {
	Groups        []step.Group    `json:"groups"`
	Have          []step.Identity `json:"have,omitempty"`
	PolicyVersion int64           `json:"policy_version"`
}

// StepLine is one line of a step's response: a sample, the end or an error.
type StepLine struct {
	Sample *step.Sample `json:"sample,omitempty"`
	End    step.Outcome `json:"end,omitempty"`
	Error  *ErrorBody   `json:"error,omitempty"`
}

// AckRequest confirms that the trainer has received samples. Done means that it
// needs no more samples of the step.
type AckRequest struct {
	Samples []step.Identity `json:"samples"`
	Done    bool            `json:"done"`
}

// VersionRequest is a request to publish a weight version of a model.
type VersionRequest struct {
	Version int64  `json:"version"`
	Object  string `json:"object"`
}

// trainer returns the trainer and the step number in the request's path. The
// trainer must belong to the caller's workspace.
func (s *Server) trainer(r *http.Request, caller Caller) (document.Trainer, int64, error) {
	trainer, found := s.Holder.Current().Trainer(r.PathValue("trainer"))
	if !found || trainer.Workspace != caller.workspace.Name {
		return trainer, 0, &Error{Op: "entry.trainer", Kind: sesamepitch.KindNotFound, Err: errNotTrainer}
	}
	number, err := strconv.ParseInt(r.PathValue("step"), 10, 64)
	if err != nil || number < 0 {
		return trainer, 0, invalidRequest("step must be a number")
	}
	return trainer, number, nil
}

// stepWriter streams a step's lines to the trainer.
type stepWriter struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	clock      sesamepitch.Clock
	started    bool
	// writeTimeout is the timeout for writing one line.
	writeTimeout time.Duration
}

func (w *stepWriter) send(line StepLine) error {
	if !w.started {
		w.started = true
		w.writer.Header().Set("Content-Type", "application/x-ndjson")
		w.writer.WriteHeader(http.StatusOK)
	}
	encoded, err := json.Marshal(line)
	if err != nil {
		return err
	}
	_ = w.controller.SetWriteDeadline(w.clock.Now().Add(w.writeTimeout))
	if _, err := w.writer.Write(append(encoded, '\n')); err != nil {
		return &Error{Op: "entry.step", Kind: sesamepitch.KindTimeout, Err: err}
	}
	return w.controller.Flush()
}

// Deliver implements step.Delivery.
func (w *stepWriter) Deliver(sample step.Sample) error {
	return w.send(StepLine{Sample: &sample})
}

func (s *Server) runStep(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error {
	const operation = "step"
	config := s.Holder.Current()
	trainer, number, err := s.trainer(r, caller)
	var in StepRequest
	if err == nil {
		err = readJSON(w, r, stepBodyFactor*config.Limit(document.LimitBodyBytes), &in)
	}
	request := step.Request{
		Spec:     step.Spec{Trainer: trainer.Name, Step: number, Groups: in.Groups},
		Received: in.Have, PolicyVersion: in.PolicyVersion, Secret: caller.secret,
	}
	if err == nil {
		err = request.Spec.Check(config.Limit(document.LimitTokens))
	}
	if err != nil {
		writeError(ctx, w, operation, err, call.RanNo)
		return err
	}
	// A step may run for longer than bodyReadTimeout.
	writer := &stepWriter{writer: w, controller: http.NewResponseController(w), clock: s.Clock, writeTimeout: streamWriteTimeout}
	_ = writer.controller.SetReadDeadline(time.Time{})
	result, err := s.Steps.Drive(ctx, trainer, request, writer)
	if err == nil {
		return writer.send(StepLine{End: result})
	}
	if !writer.started {
		writeError(ctx, w, operation, err, call.RanUnknown)
		return err
	}
	body := newErrorBody(ctx, operation, err, call.RanYes)
	_ = writer.send(StepLine{Error: &body})
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
		writeError(ctx, w, operation, err, call.RanNo)
		return err
	}
	if err := step.Acknowledge(ctx, s.Table, trainer.Name, number, in.Samples, in.Done); err != nil {
		writeError(ctx, w, operation, err, call.RanUnknown)
		return err
	}
	writeJSON(w, http.StatusOK, struct{}{})
	return nil
}

func (s *Server) publishVersion(ctx context.Context, w http.ResponseWriter, r *http.Request, caller Caller) error {
	const operation = "version"
	name := r.PathValue("model")
	var in VersionRequest
	err := s.checkPublisher(name, caller)
	if err == nil {
		err = readJSON(w, r, s.Holder.Current().Limit(document.LimitBodyBytes), &in)
	}
	if err == nil && in.Version < 1 {
		err = invalidRequest("version must be at least 1")
	}
	if err != nil {
		writeError(ctx, w, operation, err, call.RanNo)
		return err
	}
	s.Publisher.Publish(ctx, s.Notices.NewVersion(name, in.Version, in.Object, caller.workspace.Name))
	s.Log.Info("weight version published", "model", name, "version", in.Version, "workspace", caller.workspace.Name)
	writeJSON(w, http.StatusOK, struct{}{})
	return nil
}

// checkPublisher fails unless the caller's workspace has a trainer of the model.
func (s *Server) checkPublisher(model string, caller Caller) error {
	for _, trainer := range s.Holder.Current().Document().Trainers {
		if trainer.Model == model && trainer.Workspace == caller.workspace.Name {
			return nil
		}
	}
	return &Error{Op: "entry.version", Kind: sesamepitch.KindNotFound, Err: fmt.Errorf("no trainer of model %q in this workspace", model)}
}
