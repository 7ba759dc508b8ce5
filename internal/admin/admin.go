// Package admin serves the administration API of a daemon: queries over its tables, and
// commands, which it submits to the log.
package admin

import (
	"context"
	"crypto/subtle"
	"net/http"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreygate/comfreygate/api"
	"github.com/comfreygate/comfreygate/internal/agent"
	"github.com/comfreygate/comfreygate/internal/config"
	"github.com/comfreygate/comfreygate/internal/lang"
	"github.com/comfreygate/comfreygate/internal/suspect"
)

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 16 << 20

// NewHandler returns the API's handler. An empty token disables authentication, which is
// safe on a loopback address only.
func NewHandler(a *agent.Agent, token string) (http.Handler, error) {
	h := &handler{agent: a}
	srv, err := api.NewServer(h, security{token: token})
	if err != nil {
		return nil, errors.Wrap(err, "administration API")
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", http.MaxBytesHandler(srv, maxRequestBytes))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(a.Metrics(), w)
	})
	return authenticated(mux, token), nil
}

// authenticated rejects requests without the token before their body is read.
func authenticated(next http.Handler, token string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if token == "" && r.Header.Get("Authorization") == "" {
			r.Header.Set("Authorization", "Bearer none")
		}
		if !authorized(r.Header.Get("Authorization"), token) {
			w.Header().Set("WWW-Authenticate", "Bearer")
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(`{"error":"a bearer token is needed","step":"authenticate"}`))
			return
		}
		next.ServeHTTP(w, r)
	})
}

func authorized(header, token string) bool {
	return token == "" || subtle.ConstantTimeCompare([]byte(header), []byte("Bearer "+token)) == 1
}

// security is the authentication that the generated server requires. authenticated has
// already checked the token; this second check protects the server if it is mounted
// without authenticated.
type security struct{ token string }

// HandleBearer implements api.SecurityHandler.
func (s security) HandleBearer(ctx context.Context, _ api.OperationName, t api.Bearer) (context.Context, error) {
	if !authorized("Bearer "+t.Token, s.token) {
		return ctx, errors.New("bearer token does not match")
	}
	return ctx, nil
}

type handler struct{ agent *agent.Agent }

// NewError implements api.Handler.
func (h *handler) NewError(_ context.Context, err error) *api.ErrorStatusCode {
	out := &api.ErrorStatusCode{StatusCode: ogenerrors.ErrorCode(err), Response: api.Error{Error: err.Error()}}
	var bad *badRequestError
	if errors.As(err, &bad) {
		out.StatusCode = http.StatusBadRequest
		out.Response.Step = api.NewOptString(bad.step)
		if bad.column > 0 {
			out.Response.Column = api.NewOptInt(bad.column)
		}
	}
	return out
}

// badRequestError is the error of a request that cannot be parsed or carried out as
// written. Such a request has changed nothing.
type badRequestError struct {
	step   string
	column int
	err    error
}

// Error implements error.
func (b *badRequestError) Error() string { return b.err.Error() }

// RunCommand implements api.Handler.
func (h *handler) RunCommand(ctx context.Context, req *api.CommandRequest) (*api.Answer, error) {
	st, err := lang.Parse(req.Text)
	var parseErr *lang.Error
	if errors.As(err, &parseErr) {
		return nil, &badRequestError{step: "parse", column: parseErr.Column, err: errors.Errorf("line %d, column %d: %s", parseErr.Line, parseErr.Column, parseErr.Reason)}
	}
	switch {
	case st.Query != nil:
		return h.query(st.Query)
	case st.Reseed:
		return h.reseed(ctx)
	case st.ClearSuspect != "":
		return h.clearSuspect(st.ClearSuspect)
	case st.Rollout != nil:
		return h.orderRollout(st.Rollout), nil
	case st.AbortRollout != "":
		return h.abortRollout(st.AbortRollout), nil
	}
	cmd := config.Command{
		ID: req.CommandID.Or(""), Author: req.Author.Or(""), IfVersion: st.IfVersion, Changes: st.Changes,
	}
	return h.submit(ctx, cmd, st.Force, st.DryRun)
}

// PublishChangeSet implements api.Handler.
func (h *handler) PublishChangeSet(ctx context.Context, req *api.ChangeSetRequest) (*api.Answer, error) {
	changes, err := lang.ParseYAML([]byte(req.Yaml))
	if err != nil {
		return nil, &badRequestError{step: "parse", err: err}
	}
	cmd := config.Command{ID: req.CommandID.Or(""), Author: req.Author.Or(""), Changes: changes}
	if v, ok := req.IfVersion.Get(); ok {
		version := uint64(v)
		cmd.IfVersion = &version
	}
	return h.submit(ctx, cmd, req.Force.Or(false), req.DryRun.Or(false))
}

// submit submits a change set, or only checks it on a dry run. Without force or an explicit
// precondition, the precondition is the version that this daemon has, which is the one
// that the operator was last shown.
func (h *handler) submit(ctx context.Context, cmd config.Command, force, dryRun bool) (*api.Answer, error) {
	current := h.agent.CurrentConfig()
	if cmd.IfVersion == nil && !force {
		cmd.IfVersion = &current.Version
	}
	if dryRun {
		return dryRunAnswer(current, cmd), nil
	}
	o := h.agent.Submit(ctx, cmd)
	return outcomeAnswer(h.agent.CurrentConfig().Version, o), nil
}

const dryRunID = "dry-run"

func dryRunAnswer(current *config.State, cmd config.Command) *api.Answer {
	cmd.ID = dryRunID
	out := api.Outcome{CommandID: cmd.ID, Status: api.OutcomeStatusValid}
	if err := config.DryRun(current, cmd); err != nil {
		out.Status = api.OutcomeStatusRejected
		out.Reason = api.NewOptString(err.Error())
	}
	return &api.Answer{Kind: api.AnswerKindOutcome, Version: int64(current.Version), Outcome: api.NewOptOutcome(out)}
}

func outcomeAnswer(version uint64, o config.Outcome) *api.Answer {
	out := api.Outcome{CommandID: o.ID, Status: api.OutcomeStatus(o.Status)}
	if o.Version > 0 {
		out.Version = api.NewOptInt64(int64(o.Version))
	}
	if o.Reason != "" {
		out.Reason = api.NewOptString(o.Reason)
	}
	if o.BeatenBy > 0 {
		out.BeatenBy = api.NewOptInt64(int64(o.BeatenBy))
	}
	return &api.Answer{Kind: api.AnswerKindOutcome, Version: int64(version), Outcome: api.NewOptOutcome(out)}
}

func (h *handler) reseed(ctx context.Context) (*api.Answer, error) {
	version, reason := h.agent.Reseed(ctx)
	out := api.Outcome{CommandID: "reseed", Status: api.OutcomeStatusAccepted, Version: api.NewOptInt64(int64(version))}
	if reason != "" {
		out.Status = api.OutcomeStatusRejected
		out.Reason = api.NewOptString(reason)
	}
	return &api.Answer{Kind: api.AnswerKindOutcome, Version: int64(version), Outcome: api.NewOptOutcome(out)}, nil
}

// clearSuspect clears a suspect, so that the request may run again on all daemons.
func (h *handler) clearSuspect(text string) (*api.Answer, error) {
	d, err := suspect.ParseDigest(text)
	if err != nil {
		return nil, &badRequestError{step: "clear suspect", err: errors.Errorf("%q is not a digest of a suspect: 'show suspects' lists them", text)}
	}
	out := api.Outcome{CommandID: "clear-suspect", Status: api.OutcomeStatusAccepted}
	if h.agent.ClearSuspect(d) {
		out.Message = api.NewOptString("suspect " + d.String() + " cleared; it may run again")
	} else {
		out.Status = api.OutcomeStatusRejected
		out.Reason = api.NewOptString("no upstream has ended under it as far as this daemon knows")
	}
	return &api.Answer{Kind: api.AnswerKindOutcome, Version: int64(h.agent.CurrentConfig().Version), Outcome: api.NewOptOutcome(out)}, nil
}
