// Package api serves the callers' HTTP API: the OpenAI-compatible model endpoints, the plain services and the address
// directory.
package api

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/callerbody"
	"github.com/apricotway/apricotway/protocol/call"
	"github.com/apricotway/apricotway/protocol/completion"
	"github.com/apricotway/apricotway/state/bodybudget"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// Header names of the callers' API.
const (
	headerKey       = "Idempotency-Key"
	headerKeyTime   = "Idempotency-Key-Time"
	headerTimeout   = "Apricotway-Timeout"
	headerRequestID = "Apricotway-Request-Id"
	headerPriority  = "Apricotway-Priority"
	headerExecution = "Apricotway-Execution"
	headerLastEvent = "Last-Event-ID"
)

// patternUnknown matches the paths that no other pattern does.
const patternUnknown = "/"

// unreadBodyTime is how long the answer to a request that is refused before its body was read may wait for the body.
const unreadBodyTime = 200 * time.Millisecond

// defaultBodies bounds in bytes the bodies of all requests if no budget is given.
const defaultBodies = 64 << 20

// retryAfterStopping is the Retry-After of requests that could not be read before the process stopped. Other processes take them.
const retryAfterStopping = time.Second

// Limits holds the limits for one request of a caller.
type Limits struct {
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// BodyTimeout is the time within which the whole body has to arrive.
	BodyTimeout time.Duration
	// PromptBytes is the maximum size of the prompt of a model request.
	PromptBytes int
	// KeyBytes is the maximum size of an idempotency key.
	KeyBytes int
	// DefaultTimeout applies to requests without Apricotway-Timeout; larger values than MaxTimeout are reduced to it.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
}

// DefaultLimits returns the limits that apply unless the settings of the process change them.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes:      8 << 20,
		BodyTimeout:    time.Minute,
		PromptBytes:    4 << 20,
		KeyBytes:       255,
		DefaultTimeout: 10 * time.Minute,
		MaxTimeout:     time.Hour,
	}
}

// Configuration is the part of the current configuration that the API reads.
type Configuration interface {
	Service(service apricotway.Service) (config.ServiceSpec, bool)
	Workspace(workspace apricotway.Workspace) (config.WorkspaceSpec, bool)
	WorkspaceOf(digest config.TokenDigest) (apricotway.Workspace, bool)
	Objects() []config.Status
}

// Server handles the callers' requests.
type Server struct {
	configuration Configuration
	directory     apricotway.Directory
	completions   *completion.Requests
	calls         *call.Caller
	limits        Limits
	bodies        *bodybudget.Budget
	logger        logr.Logger
	ready         func() error
	metrics       *metrics
	mux           *http.ServeMux
}

// Option configures a Server.
type Option func(*Server)

// WithLimits replaces DefaultLimits.
func WithLimits(limits Limits) Option {
	return func(s *Server) { s.limits = limits }
}

// WithBodies sets the budget for the memory of the bodies of all requests.
func WithBodies(bodies *bodybudget.Budget) Option {
	return func(s *Server) { s.bodies = bodies }
}

// WithLogger sets the logger; the default discards everything.
func WithLogger(logger logr.Logger) Option {
	return func(s *Server) { s.logger = logger }
}

// WithReady sets a check that runs before each request; its error is the refusal of the request.
func WithReady(ready func() error) Option {
	return func(s *Server) { s.ready = ready }
}

// WithMetrics registers the metrics of the API with the registry.
func WithMetrics(registry prometheus.Registerer) Option {
	return func(s *Server) { s.metrics.register(registry) }
}

// New returns a server with all endpoints registered.
func New(
	configuration Configuration,
	directory apricotway.Directory,
	completions *completion.Requests,
	calls *call.Caller,
	options ...Option,
) *Server {
	s := &Server{
		configuration: configuration,
		directory:     directory,
		completions:   completions,
		calls:         calls,
		limits:        DefaultLimits(),
		bodies:        bodybudget.New(defaultBodies),
		logger:        logr.Discard(),
		ready:         func() error { return nil },
		metrics:       newMetrics(),
		mux:           http.NewServeMux(),
	}
	for _, option := range options {
		option(s)
	}

	s.mux.HandleFunc("POST /v1/chat/completions", s.handle("chatCompletions", s.resumable(s.chatCompletions)))
	s.mux.HandleFunc("POST /v1/completions", s.handle("completions", s.resumable(s.textCompletions)))
	s.mux.HandleFunc("GET /v1/requests/{id}/events", s.handle("requestEvents", s.requestEvents))
	s.mux.HandleFunc("GET /v1/models", s.handle("models", s.models))
	s.mux.HandleFunc("GET /v1/addresses", s.addresses)
	s.mux.HandleFunc("/v1/services/{service}/{path...}", s.handle("services", s.serviceCall))
	// Requests with another path are refused before a handler is called.
	s.mux.HandleFunc(patternUnknown, s.handle("unknown", nil))

	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// caller holds the authorised workspace, the ID and the body of one request.
type caller struct {
	workspace apricotway.Workspace
	request   apricotway.RequestID
	// body is the whole request body; http.Request.Body has already been read.
	body []byte
	// held is the memory that body takes; nil for none.
	held *bodybudget.Body
}

// handle returns the HTTP handler of an endpoint. It calls handler only for authorised requests.
func (s *Server) handle(
	endpoint string, handler func(http.ResponseWriter, *http.Request, caller) error,
) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := apricotway.RequestID(uuid.NewString())

		s.respond(w, endpoint, id, func(w http.ResponseWriter) error { return s.authorised(w, r, id, handler) })
	}
}

// respond runs the handler of a request, records its outcome and writes the refusal if it returns an error.
func (s *Server) respond(
	w http.ResponseWriter, endpoint string, id apricotway.RequestID, handler func(http.ResponseWriter) error,
) {
	begin := time.Now()

	w.Header().Set(headerRequestID, string(id))
	s.logger.V(1).Info("request received", "event", 403, "request", id, "endpoint", endpoint)

	err := handler(w)

	switch {
	case err == nil:
		s.logger.V(1).Info("request finished", "event", 404, "request", id, "endpoint", endpoint)
		s.metrics.observe(endpoint, codeNone, time.Since(begin))

		return
	case errors.Is(err, errCallerGone):
		s.logger.V(1).Info("caller disconnected", "event", 406, "request", id, "error", err.Error())
		s.metrics.observe(endpoint, codeCallerGone, time.Since(begin))

		return
	}

	refusal := apricotway.AsRefusal(err)
	s.metrics.observe(endpoint, refusal.Code, time.Since(begin))
	s.logger.Info("request refused", "event", 401, "request", id, "code", refusal.Code,
		"execution", refusal.Execution, "error", refusal.Message)

	// The refusal is written even if the request's context has ended: it also ends when the body did not arrive in time, and
	// writing to a caller that has disconnected does no harm.
	writeRefusal(w, refusal, id)
}

func (s *Server) authorised(
	w http.ResponseWriter, r *http.Request, id apricotway.RequestID,
	handler func(http.ResponseWriter, *http.Request, caller) error,
) error {
	admitted, err := s.receive(w, r)
	if err != nil {
		boundUnreadBody(w, r)
		return err
	}

	admitted.request = id

	if admitted.held != nil {
		defer admitted.held.Release()
	}

	return handler(w, r, admitted)
}

// receive checks the request's token and path, and reads its body.
func (s *Server) receive(w http.ResponseWriter, r *http.Request) (caller, error) {
	if err := s.ready(); err != nil {
		return caller{}, err
	}

	workspace, err := s.authorise(r)
	if err != nil {
		return caller{}, err
	}

	if r.Pattern == patternUnknown {
		return caller{}, invalid(apricotway.CodePathNotFound, fmt.Sprintf("there is nothing at %s %s", r.Method, r.URL.Path))
	}

	body, held, err := s.receiveBody(w, r)

	return caller{workspace: workspace, body: body, held: held}, err
}

// boundUnreadBody bounds the time for which the HTTP server waits for a body that has not been read: it reads the rest before it writes a
// refusal, and closes the connection if that fails.
func boundUnreadBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// An error means that the writer supports no deadlines, which happens only in tests.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTime))
	}
}

// receiveBody reads the body within the size and time limits. The read deadline applies to the body only, because a deadline for
// the whole connection would also end long streamed answers.
func (s *Server) receiveBody(w http.ResponseWriter, r *http.Request) ([]byte, *bodybudget.Body, error) {
	if r.ContentLength == 0 {
		return nil, nil, nil
	}

	if r.ContentLength > s.limits.BodyBytes {
		return nil, nil, tooLarge(s.limits.BodyBytes)
	}

	controller := http.NewResponseController(w)
	// An error means that the writer supports no deadlines, which happens only in tests.
	_ = controller.SetReadDeadline(time.Now().Add(s.limits.BodyTimeout))

	held := callerbody.Open(s.bodies, w, time.Now(), s.limits.BodyBytes)

	body, err := callerbody.Read(r.Context(), held, r.Body, r.ContentLength, s.limits.BodyBytes, time.Now)
	if err != nil {
		held.Release()
		return nil, nil, s.unreadBody(w, r, err)
	}

	_ = controller.SetReadDeadline(time.Time{})

	return body, held, nil
}

// unreadBody returns the refusal of a request whose body could not be read.
func (s *Server) unreadBody(w http.ResponseWriter, r *http.Request, err error) error {
	callerbody.LogRefusal(s.logger, err, s.bodies, r, "")

	switch {
	case stopping(r):
		return &apricotway.Refusal{
			Code: apricotway.CodeLeaving, Execution: apricotway.ExecutionNotStarted, RetryAfter: retryAfterStopping,
			Message: "the process is stopping; use another address",
		}
	case errors.Is(err, callerbody.ErrTooLarge):
		return tooLarge(s.limits.BodyBytes)
	case errors.Is(err, callerbody.ErrNoRoom):
		return &apricotway.Refusal{
			Code: apricotway.CodeBodyNoRoom, Execution: apricotway.ExecutionNotStarted, RetryAfter: callerbody.RetryAfter(),
			Message: "other bodies leave no memory for this one",
		}
	case errors.Is(err, callerbody.ErrSlow):
		w.Header().Set("Connection", "close")

		return invalid(apricotway.CodeBodySlow, "the body arrived too slowly while others needed its memory")
	default:
		return invalid(apricotway.CodeInvalidRequest, "the body cannot be read: "+err.Error())
	}
}

// authorise returns the workspace that the request's bearer token belongs to.
func (s *Server) authorise(r *http.Request) (apricotway.Workspace, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return "", invalid(apricotway.CodeUnauthorized, "the request carries no bearer token")
	}

	workspace, ok := s.configuration.WorkspaceOf(sha256.Sum256([]byte(token)))
	if !ok {
		return "", invalid(apricotway.CodeUnauthorized, "the bearer token belongs to no workspace")
	}

	return workspace, nil
}

// deadline returns the time by which the whole answer has to be complete.
func (s *Server) deadline(r *http.Request) (time.Time, error) {
	timeout := s.limits.DefaultTimeout

	if text := r.Header.Get(headerTimeout); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed <= 0 {
			return time.Time{}, invalid(apricotway.CodeInvalidRequest, headerTimeout+" must be a duration such as 30s")
		}

		timeout = min(parsed, s.limits.MaxTimeout)
	}

	return time.Now().Add(timeout), nil
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request, _ caller) error {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}

	list := []model{}

	for _, object := range s.configuration.Objects() {
		if object.Kind != config.KindService || object.Deleted {
			continue
		}

		if spec, ok := s.configuration.Service(apricotway.Service(object.Object)); ok && spec.Type == config.ServiceModel {
			list = append(list, model{ID: object.Object, Object: "model", OwnedBy: "apricotway"})
		}
	}

	httpjson.Write(w, http.StatusOK, map[string]any{"object": "list", "data": list})

	return nil
}

// addresses handles requests without a token: a caller needs an address before it can present a token, and the answer
// holds only addresses.
func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	addresses, validity := s.directory.Addresses(
		apricotway.Service(query.Get("service")), apricotway.Workspace(query.Get("workspace")))

	w.Header().Set("Cache-Control", fmt.Sprintf("max-age=%d", int(validity.Seconds())))
	httpjson.Write(w, http.StatusOK, struct {
		Addresses       []apricotway.Address `json:"addresses"`
		ValidForSeconds float64              `json:"validForSeconds"`
	}{addresses, validity.Seconds()})
}

func (s *Server) serviceCall(w http.ResponseWriter, r *http.Request, caller caller) error {
	service := apricotway.Service(r.PathValue("service"))
	if spec, ok := s.configuration.Service(service); !ok || spec.Type != config.ServicePlain {
		return invalid(apricotway.CodeServiceNotFound, fmt.Sprintf("there is no plain service %q", service))
	}

	deadline, err := s.deadline(r)
	if err != nil {
		return err
	}

	key, keyTime, err := s.idempotencyKey(r)
	if err != nil {
		return err
	}

	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}

	// The caller's token must not reach the backend server.
	r.Header.Del("Authorization")

	answer, err := s.calls.Run(r.Context(), call.Request{
		ID:        caller.request,
		Workspace: caller.workspace,
		Service:   service,
		Key:       key,
		KeyTime:   keyTime,
		Call: apricotway.ServiceCall{
			Method: r.Method, Path: path, Header: r.Header, Body: caller.body, Once: key != "",
		},
		Deadline: deadline,
	})
	if err != nil {
		return orCallerGone(r, err)
	}

	for name, values := range answer.Header {
		w.Header()[name] = values
	}

	w.WriteHeader(answer.Status)
	// An error means that the caller has disconnected, so it cannot be reported.
	_, _ = w.Write(answer.Body)

	return nil
}

func (s *Server) idempotencyKey(r *http.Request) (string, time.Time, error) {
	values, present := r.Header[headerKey]
	if !present {
		return "", time.Time{}, nil
	}

	if len(values) != 1 || values[0] == "" || len(values[0]) > s.limits.KeyBytes {
		message := fmt.Sprintf("%s must be one value of 1 to %d bytes", headerKey, s.limits.KeyBytes)
		return "", time.Time{}, invalid(apricotway.CodeInvalidRequest, message)
	}

	text := r.Header.Get(headerKeyTime)
	if text == "" {
		return values[0], time.Time{}, nil
	}

	first, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return "", time.Time{}, invalid(apricotway.CodeInvalidRequest, headerKeyTime+" must be a time in RFC 3339 format")
	}

	return values[0], first, nil
}

// tooLarge refuses a body that is larger than the limit in bytes.
func tooLarge(limit int64) *apricotway.Refusal {
	return invalid(apricotway.CodeRequestTooLarge, fmt.Sprintf("the body is larger than %d bytes", limit))
}

// invalid returns a refusal that reports that execution has not started.
func invalid(code apricotway.Code, message string) *apricotway.Refusal {
	return &apricotway.Refusal{Code: code, Execution: apricotway.ExecutionNotStarted, Message: message}
}

var statuses = map[apricotway.Code]int{
	apricotway.CodeInvalidRequest:     http.StatusBadRequest,
	apricotway.CodeUnauthorized:       http.StatusUnauthorized,
	apricotway.CodePathNotFound:       http.StatusNotFound,
	apricotway.CodeServiceNotFound:    http.StatusNotFound,
	apricotway.CodeRequestNotFound:    http.StatusNotFound,
	apricotway.CodeRequestTooLarge:    http.StatusRequestEntityTooLarge,
	apricotway.CodeBodyNoRoom:         http.StatusServiceUnavailable,
	apricotway.CodeBodySlow:           http.StatusRequestTimeout,
	apricotway.CodeNoBackendServer:    http.StatusServiceUnavailable,
	apricotway.CodeOverloaded:         http.StatusTooManyRequests,
	apricotway.CodeDeadlineUnmeetable: http.StatusTooManyRequests,
	apricotway.CodeNotReady:           http.StatusServiceUnavailable,
	apricotway.CodeLeaving:            http.StatusServiceUnavailable,
	apricotway.CodeQuarantined:        http.StatusUnprocessableEntity,
	apricotway.CodeKeyConflict:        http.StatusUnprocessableEntity,
	apricotway.CodeKeyExpired:         http.StatusUnprocessableEntity,
	apricotway.CodeKeyInProgress:      http.StatusConflict,
	apricotway.CodeLedgerUnavailable:  http.StatusServiceUnavailable,
	apricotway.CodeOutcomeUnknown:     http.StatusBadGateway,
	apricotway.CodeBackendFailed:      http.StatusBadGateway,
	apricotway.CodeDeadlineExceeded:   http.StatusGatewayTimeout,
	apricotway.CodeInternal:           http.StatusInternalServerError,
}

type refusalBody struct {
	Error refusalDocument `json:"error"`
}

// refusalDocument has message, type and code in the fields where OpenAI clients expect them.
type refusalDocument struct {
	Message           string               `json:"message"`
	Type              string               `json:"type"`
	Code              apricotway.Code      `json:"code"`
	Execution         apricotway.Execution `json:"execution"`
	RetryAfterSeconds float64              `json:"retryAfterSeconds,omitempty"`
	RequestID         apricotway.RequestID `json:"requestId"`
}

func newRefusalBody(refusal *apricotway.Refusal, id apricotway.RequestID) refusalBody {
	return refusalBody{Error: refusalDocument{
		Message:           refusal.Message,
		Type:              "apricotway_error",
		Code:              refusal.Code,
		Execution:         refusal.Execution,
		RetryAfterSeconds: refusal.RetryAfter.Seconds(),
		RequestID:         id,
	}}
}

// RefusalBody returns the body of the refusal of a request whose header has not been read.
func RefusalBody(code, message string) string {
	refusal := invalid(apricotway.Code(code), message)
	body, _ := json.Marshal(newRefusalBody(refusal, "")) // Strings can always be encoded.

	return string(body) + "\n"
}

func writeRefusal(w http.ResponseWriter, refusal *apricotway.Refusal, id apricotway.RequestID) {
	status, ok := statuses[refusal.Code]
	if !ok {
		status = http.StatusInternalServerError
	}

	w.Header().Set(headerExecution, string(refusal.Execution))

	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}

	httpjson.Write(w, status, newRefusalBody(refusal, id))
}

// decode decodes a JSON body. Its refusal contains the decoder's error message.
func decode(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return invalid(apricotway.CodeInvalidRequest, "the body is not a valid request: "+err.Error())
	}

	return nil
}
