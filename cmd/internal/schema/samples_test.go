// Package schema checks that builds which run side by side read each other's messages and records. The samples in testdata were written by
// this file in a tree of the production commit; "make schema-samples" writes them again.
package schema

import (
	"bytes"
	"context"
	"encoding/gob"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/settings"
	"github.com/apricotway/apricotway/coordination/catalog"
	"github.com/apricotway/apricotway/coordination/duty"
	"github.com/apricotway/apricotway/coordination/membership"
	"github.com/apricotway/apricotway/coordination/origins"
	"github.com/apricotway/apricotway/coordination/rollup"
	"github.com/apricotway/apricotway/coordination/suspect"
	"github.com/apricotway/apricotway/memorylog"
	"github.com/apricotway/apricotway/state/account"
	"github.com/apricotway/apricotway/state/config"
	"github.com/apricotway/apricotway/state/dispatch"
	"github.com/apricotway/apricotway/state/fleet"
	"github.com/apricotway/apricotway/state/intake"
	"github.com/apricotway/apricotway/state/lease"
	"github.com/apricotway/apricotway/state/ledger"
	"github.com/apricotway/apricotway/state/member"
	"github.com/apricotway/apricotway/state/origin"
	"github.com/apricotway/apricotway/state/quarantine"
	"github.com/apricotway/apricotway/state/quota"
	"github.com/apricotway/apricotway/state/tally"
	"github.com/apricotway/apricotway/state/timeline"
	"github.com/apricotway/apricotway/transport/peer"
	"github.com/apricotway/apricotway/transport/probe"
)

var writeSamples = flag.String("schema.write", "", "directory to write the samples of this tree to")

// sampleTimeout bounds the waits for components that write samples.
const sampleTimeout = 10 * time.Second

var (
	probeKey = []byte("sixteen byte key")
	at       = time.Date(2026, 12, 6, 1, 2, 3, 4_000_000, time.UTC)
)

func address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.1.2.3"), port)
}

var backend = apricotway.Backend{
	ID: "i-1", Born: at, Sequence: 3, Service: "model", Version: "v7", Address: address(9), Zone: "zone", Slots: 8, Leaving: true,
	LeavesIn: 5 * time.Second, Reclaimable: true, ColdFor: 6 * time.Second,
}

var rank = 2

var deployment = apricotway.Deployment{
	Version: 12,
	Routes: []apricotway.Route{{
		Name: "chat", Host: "h.example", PathPrefix: "/chat/", Targets: []apricotway.RouteTarget{{Service: "model", Weight: 3}},
		Kind: apricotway.RouteStream, Timeout: 8 * time.Second, Objective: 500 * time.Millisecond, LongestPause: 400 * time.Millisecond,
		MaxAttempts: 2, Rank: 4, Public: true, Resumable: true,
	}},
	Services: []apricotway.ServiceRule{{
		Name: "model", HealthPath: "/healthz", MaxConnections: 360, Slots: 64, CacheTokens: 1000,
		Capacity: &apricotway.CapacityRule{
			Min: 1, Max: 9, Boot: 7 * time.Second, ReclaimablePrice: 0.25, ZonePrices: map[apricotway.Zone]float64{"zone": 1.5},
		},
	}},
	Workspaces: []apricotway.WorkspaceRule{{
		Name: "w", Keys: []string{"secret"}, Rank: &rank,
		Limit: apricotway.TokenLimit{Rate: 10, Burst: 20, InTokens: true, PlainTokens: 30},
	}},
	Limits: apricotway.CallerLimits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3 * time.Second, IdleTimeout: 4 * time.Second},
}

var entry = member.Entry{
	Node: "n-1", Region: "region", Zone: "zone", State: apricotway.MemberLeaving, Incarnation: 5, Ready: true, Callers: address(1),
	Peers: address(2), Probes: address(3), Operator: address(4), Capacity: 1500, Isolated: true,
}

var broadcast = apricotway.BroadcastEntry{
	Topic: apricotway.TopicDuty, Key: "holder", Version: 7, Payload: []byte(`"n-1"`), Lifetime: time.Hour,
}

var news = catalog.News{
	Position: catalog.Position{Source: "n-1", Sequence: 4}, Fresh: true, Whole: true,
	Changes: []apricotway.BackendChange{{ID: "i-1", Backend: &backend, Problem: "problem"}}, Version: 12, Age: time.Second,
	ListAge: 2 * time.Second,
}

var finding = quarantine.Finding{Fingerprint: 21, Common: []quarantine.Fingerprint{21, 22}, Crashes: 3, Refused: true}

var limits = []intake.Statement{{
	Server: "i-1", Limit: apricotway.RequestLimit{Statement: apricotway.LimitStated, PerSecond: 2.5}, Age: 3 * time.Second,
	Observation: intake.Observation{Node: "n-1", At: at},
}}

var brittle = []dispatch.BrittleService{{
	Service: "model", Rejections: 3, Age: time.Second, Duration: 2 * time.Second, RejectionAge: 4 * time.Second,
}}

var work = dispatch.Work{Running: 2, Prefill: [dispatch.Sizes]float64{1, 2, 3, 4}, Prompts: [dispatch.Sizes]int{5, 6, 7, 8}}

var counts = map[apricotway.NodeID]tally.Counts{"n-1": {100: {"v": 2, "w": 3}, 101: {"w": 4}}, "n-2": {101: {"v": 5}}}

// messages are the messages between processes whose types are exported. All their fields are set, to values that differ.
var messages = map[string]any{
	"report": rollup.Report{
		Node: "n-1", Counts: tally.Counts{100: {"w": 3}},
		Accounts: map[apricotway.Workspace]quota.Account{"w": {Asked: 1, Credit: 2, Share: 3, Unanswered: 4 * time.Second}},
		Work:     map[apricotway.BackendServerID]dispatch.Work{"i-1": work},
		Demand:   map[apricotway.Service]dispatch.Demand{"model": {Calls: 1, PrefillTokens: 2, AnswerTokens: 3, Refused: 4}},
		Elapsed:  250 * time.Millisecond, Known: catalog.Position{Source: "n-2", Sequence: 6},
		Crashes: suspect.Report{
			Suspects: []quarantine.Suspect{{Server: "i-1", Content: []quarantine.Fingerprint{23, 24}}},
			Answered: []quarantine.Fingerprint{25}, Refused: []quarantine.Fingerprint{26}, Findings: []quarantine.Finding{finding},
		},
		LastWindow: 99, Limits: limits, Brittle: brittle,
	},
	"reportAnswer": rollup.Answer{
		Holding: true, Credit: map[apricotway.Workspace]float64{"w": 7}, Others: map[apricotway.BackendServerID]dispatch.Work{"i-1": work},
		News: news, Verdict: suspect.Verdict{Findings: []quarantine.Finding{finding}, Trials: []quarantine.Fingerprint{27}},
		LastWindow: 98, Era: 2, Limits: limits, Brittle: brittle,
	},
	"take":       rollup.CreditRequest{Node: "n-1", Workspace: "w", Cost: 3},
	"takeAnswer": rollup.CreditDecision{Holding: true, Wait: 2 * time.Second},
	"news":       catalog.NewsRequest{Known: catalog.Position{Source: "n-2", Sequence: 6}, Version: 11},
	"newsAnswer": catalog.NewsReply{News: news, Deployment: []byte(`{"Version":12}`)},
	"exchange": member.State{
		Digest: 31, Entries: []member.Entry{entry}, Broadcasts: []apricotway.BroadcastEntry{broadcast}, Deployment: "deployment",
	},
}

// packets are the membership messages.
var packets = map[string]member.Message{
	"probe": {
		Kind: member.KindProbe, Sequence: 8, From: "n-1", Target: "n-2", TargetAddress: address(5), Entries: []member.Entry{entry},
		Broadcasts: []apricotway.BroadcastEntry{broadcast}, Unknown: true, Digest: 32,
	},
	"indirect": {Kind: member.KindIndirect, Sequence: 9, From: "n-1", Target: "n-2", TargetAddress: address(5)},
	"ack":      {Kind: member.KindAck, Sequence: 10, From: "n-1", Target: "n-1", Unknown: true, Digest: 33},
}

// recorder takes the part of the other processes and of the operators' store, and keeps what it gets.
type recorder struct {
	*memorylog.Log

	mu sync.Mutex
	// calls holds the calls to other processes, state the parts of the saved state and records the log of the duties.
	calls   map[apricotway.Method][][]byte
	methods []apricotway.Method
	states  map[apricotway.StatePart][]byte
	records [][]byte
	// called gets the address of each call.
	called chan netip.AddrPort
	self   apricotway.Member
	others []apricotway.Member
}

func newRecorder() *recorder {
	return &recorder{
		Log: memorylog.New(), calls: map[apricotway.Method][][]byte{}, states: map[apricotway.StatePart][]byte{},
		called: make(chan netip.AddrPort, 100), self: entry.Member(),
	}
}

func (r *recorder) Call(_ context.Context, to netip.AddrPort, method apricotway.Method, payload []byte) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.calls[method] = append(r.calls[method], payload)
	r.called <- to

	return nil, apricotway.ErrNotSent
}

func (r *recorder) Register(method apricotway.Method, _ apricotway.PeerHandler) {
	r.methods = append(r.methods, method)
}

func (r *recorder) Self() apricotway.Member      { return r.self }
func (r *recorder) Members() []apricotway.Member { return slices.Clone(r.others) }

func (r *recorder) Publish(apricotway.BroadcastEntry) error { return nil }

func (r *recorder) Subscribe(apricotway.Topic, func(key string, version uint64, payload []byte)) {}

func (r *recorder) Latest(apricotway.Topic) []apricotway.BroadcastEntry { return nil }

func (r *recorder) Send(netip.AddrPort, member.Message) error { return nil }

func (r *recorder) SaveState(_ context.Context, part apricotway.StatePart, state []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()

	r.states[part] = state

	return nil
}

func (r *recorder) State(_ context.Context, part apricotway.StatePart) ([]byte, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.states[part], nil
}

func (r *recorder) AppendAt(_ context.Context, at apricotway.Offset, record []byte) (apricotway.StoreEra, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	if int(at) != len(r.records)+1 {
		return 1, apricotway.ErrConflict
	}

	r.records = append(r.records, record)

	return 1, nil
}

func (r *recorder) ReadFrom(_ context.Context, from apricotway.Offset) (apricotway.DutyRecords, error) {
	r.mu.Lock()
	defer r.mu.Unlock()

	from = max(from, 1)

	return apricotway.DutyRecords{Records: r.records[from-1:], First: from, End: apricotway.Offset(len(r.records) + 1), Era: 1}, nil
}

func (r *recorder) RefreshList(time.Duration) {}

func (r *recorder) AwaitList(context.Context, time.Duration) error { return nil }

// run runs the goroutines that New adds to a supervisor until the function that it returns is called.
func run(t *testing.T, add func(*suture.Supervisor)) (stop func()) {
	t.Helper()

	supervisor := suture.NewSimple("sample")
	add(supervisor)

	ctx, cancel := context.WithCancel(t.Context())
	done := supervisor.ServeBackground(ctx)

	return func() {
		cancel()
		<-done //nolint:errcheck // The supervisor's error is that of the cancelled context.
	}
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()

	for end := time.Now().Add(sampleTimeout); !holds(); {
		if time.Now().After(end) {
			t.Fatalf("no %s within %s", what, sampleTimeout)
		}

		<-time.After(10 * time.Millisecond)
	}
}

func encodeGob(t *testing.T, value any) []byte {
	t.Helper()

	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		t.Fatal(err)
	}

	return buffer.Bytes()
}

func encodeJSON(t *testing.T, value any) []byte {
	t.Helper()

	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}

	return content
}

// samplesOf returns what this tree writes, by name.
func samplesOf(t *testing.T) map[string][]byte {
	t.Helper()

	samples := map[string][]byte{}

	for name, message := range messages {
		samples[name+".gob"] = encodeGob(t, message)
	}

	codec, err := probe.NewCodec(probeKey)
	if err != nil {
		t.Fatal(err)
	}

	for name, message := range packets {
		if samples[name+".packet"], err = codec.Encode(message); err != nil {
			t.Fatal(err)
		}
	}

	encoded, err := tally.Encode(counts)
	if err != nil {
		t.Fatal(err)
	}

	samples["counts.cbor"] = encoded
	samples["crashes.json"] = encodeJSON(t, []quarantine.Finding{finding})
	samples["deployment.json"] = encodeJSON(t, deployment)

	addSettingsSample(t, samples)
	addDutySamples(t, samples)
	addOriginSamples(t, samples)
	addJoinSample(t, samples)
	addFrameSamples(t, samples)
	addLogSamples(t, samples)

	return samples
}

// addSettingsSample reads the example settings of the production build.
func addSettingsSample(t *testing.T, samples map[string][]byte) {
	path := filepath.Join("testdata", "entry.jsonc")
	if *writeSamples != "" {
		path = filepath.Join("..", "..", "..", "docs", "entry.example.jsonc")
	}

	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}

	read, err := settings.ParseEntry(path, content)
	if err != nil {
		t.Fatal(err)
	}

	samples["settings.json"] = encodeJSON(t, read)
}

// addDutySamples lets the holder of the duties write its records.
func addDutySamples(t *testing.T, samples map[string][]byte) {
	r := newRecorder()
	r.self.State = apricotway.MemberAlive

	var d *duty.Duty

	stop := run(t, func(s *suture.Supervisor) { d = duty.New(s, r, r, r) })
	defer stop()

	await(t, "claim", func() bool { _, held := d.Held(); return held })

	if err := d.RecordUsage(t.Context(), apricotway.UsageReport{
		Window: 100, Calls: map[apricotway.Workspace]int64{"w": 3},
	}); err != nil {
		t.Fatal(err)
	}

	if err := d.RecordSkip(t.Context(), 102); err != nil {
		t.Fatal(err)
	}

	for i, name := range []string{"claim", "usage", "skip"} {
		samples["duty-"+name+".json"] = r.records[i]
	}
}

// addOriginSamples lets a process write the origins of streams beside a second version, once to the store and once to another process.
func addOriginSamples(t *testing.T, samples map[string][]byte) {
	r := newRecorder()
	r.others = []apricotway.Member{{Node: "n-2", State: apricotway.MemberAlive, Zone: "other", Peers: address(6)}}

	register := origin.NewRegister()
	first, second := backend, backend
	second.ID, second.Version = "i-2", "v8"
	now := time.Now()

	var o *origins.Origins

	stop := run(t, func(s *suture.Supervisor) { o = origins.New(s, register, r, r, origins.WithCopies(r, r, r)) })
	defer stop()

	register.Update(now, first)
	register.Update(now, second)
	// A server that has lately started with another version makes the origin uncertain.
	o.Began(now, "attempt", first)

	saved := func() []byte { state, _ := r.State(t.Context(), apricotway.StateVersions); return state }

	await(t, "saved versions", func() bool { return bytes.Contains(saved(), []byte("v8")) })

	var record apricotway.Record

	await(t, "beginnings", func() bool {
		for log := range 4 {
			batch, err := r.Read(t.Context(), apricotway.Stream(fmt.Sprint("origins-", log)), 1, 1, 0)
			if err == nil && len(batch.Records) > 0 {
				record = batch.Records[0].Record
			}
		}

		return record.ID != ""
	})

	samples["versions.json"] = saved()
	samples["beginnings.json"] = encodeJSON(t, record)

	// The stream is copied and confirmed as written in one message or in two.
	await(t, "copies", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()

		samples["copyOrigins.json"] = encodeJSON(t, r.calls["copyOrigins"])

		for _, content := range r.calls["copyOrigins"] {
			var message struct{ Stored []uint64 }
			if err := gob.NewDecoder(bytes.NewReader(content)).Decode(&message); err != nil {
				t.Fatal(err)
			}

			if len(message.Stored) > 0 {
				return true
			}
		}

		return false
	})
}

// addJoinSample lets a process append its join record.
func addJoinSample(t *testing.T, samples map[string][]byte) {
	r := newRecorder()

	// The incarnation rises when the process finds that it is not isolated.
	self := entry.Member()
	self.Isolated = false

	stop := run(t, func(s *suture.Supervisor) { membership.New(s, self, r, r, r, r) })
	defer stop()

	await(t, "join record", func() bool {
		batch, err := r.Read(t.Context(), apricotway.StreamControl, 1, 1, 0)
		if err != nil || len(batch.Records) == 0 {
			return false
		}

		samples["join.json"] = encodeJSON(t, batch.Records[0].Record)

		return true
	})
}

// tee copies what it reads.
type tee struct {
	net.Conn

	reader io.Reader
}

func (c tee) Read(buffer []byte) (int, error) { return c.reader.Read(buffer) }

// teeListener keeps what the connections to a listener carry.
type teeListener struct {
	net.Listener

	mu             sync.Mutex
	asked, answers bytes.Buffer
}

type lockedWriter struct {
	mu     *sync.Mutex
	buffer *bytes.Buffer
}

func (w lockedWriter) Write(content []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.buffer.Write(content)
}

type teeConn struct {
	tee

	written io.Writer
}

func (c teeConn) Write(content []byte) (int, error) {
	_, _ = c.written.Write(content)

	return c.Conn.Write(content)
}

func (l *teeListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return teeConn{
		tee{connection, io.TeeReader(connection, lockedWriter{&l.mu, &l.asked})}, lockedWriter{&l.mu, &l.answers},
	}, nil
}

// addFrameSamples records three calls of one connection: one that is answered, one that is refused and one of an unknown method.
func addFrameSamples(t *testing.T, samples map[string][]byte) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}

	frames := &teeListener{Listener: listener}

	var server *peer.Server

	stop := run(t, func(s *suture.Supervisor) {
		server = peer.NewServer(s, frames, timeline.NewClock(time.Now))
		server.Register("answered", func(context.Context, []byte) ([]byte, error) { return []byte("payload"), nil })
		server.Register("refused", func(context.Context, []byte) ([]byte, error) {
			return nil, &apricotway.Refusal{
				Code: apricotway.CodeOverloaded, Execution: apricotway.ExecutionNotStarted, Message: "message", RetryAfter: time.Second,
			}
		})
	})
	defer stop()

	client := peer.NewClient(timeline.NewClock(time.Now))
	to := netip.MustParseAddrPort(listener.Addr().String())

	for _, method := range []apricotway.Method{"answered", "refused", "unheardOf"} {
		_, _ = client.Call(t.Context(), to, method, []byte("asked")) // The frames tell how the calls ended.
	}

	client.Close()

	frames.mu.Lock()
	defer frames.mu.Unlock()

	samples["calls.frames"], samples["answers.frames"] = bytes.Clone(frames.asked.Bytes()), bytes.Clone(frames.answers.Bytes())
}

// addLogSamples adds the records of the streams of apricotway serve.
func addLogSamples(t *testing.T, samples map[string][]byte) {
	key := ledger.Key{Workspace: "w", Key: "key"}

	add := func(name string, record apricotway.Record, err error) {
		t.Helper()

		if err != nil {
			t.Fatal(err)
		}

		samples[name+".json"] = encodeJSON(t, record)
	}

	for name, payload := range map[string]any{
		ledger.KindClaim:  ledger.Claim{Replaces: 4, Owner: "n-1"},
		ledger.KindIntent: ledger.Intent{Key: key, Digest: "digest", At: at},
		ledger.KindOutcome: ledger.Outcome{
			Intent: "id", Key: key, At: at, Result: ledger.ResultCompleted, Status: http.StatusCreated,
			Header: map[string][]string{"Name": {"value"}}, Body: []byte("body"), Omitted: true,
		},
	} {
		record, err := ledger.NewRecord(name, 5, payload)
		add("ledger-"+name, record, err)
	}

	record, err := lease.NewRecord(4, "n-1")
	add("lease", record, err)

	market := fleet.Market{Zone: "zone", MachineClass: "class", Reclaimable: true}
	record, err = fleet.NewRecord(fleet.KindIntent, 5, fleet.Intent{
		Sequence: 3, Action: fleet.ActionCreate, Service: "model", Market: market, Host: "i-1",
	})
	add("fleet-intent", record, err)

	record, err = fleet.NewRecord(fleet.KindOutcome, 5, fleet.Outcome{Sequence: 3, Result: fleet.ResultCreated, Host: "i-1"})
	add("fleet-outcome", record, err)

	samples["config-change.json"] = encodeJSON(t, config.Change{
		Object: "object", Replaces: 6, Deleted: true, Spec: json.RawMessage(`{"owner":"o"}`),
	})
	samples["usage-batch.json"] = encodeJSON(t, account.Batch{
		Node: "n-1", Sequence: 2, Previous: "hash", From: at, To: at.Add(time.Minute), Last: true,
		Entries: []account.Entry{{
			Key: account.Key{Workspace: "w", Service: "model", Zone: "zone", MachineClass: "class"},
			Usage: account.Usage{
				Requests: 1, PromptTokens: 2, GeneratedTokens: 3, RecomputedTokens: 4, HedgedTokens: 5, EngineMicroseconds: 6,
			},
		}},
		Signer: "signer", Signature: []byte("signature"),
	})
}

// TestWriteSamples writes the samples of this tree. It is run in a tree of the production commit.
func TestWriteSamples(t *testing.T) {
	if *writeSamples == "" {
		t.Skip("no directory given")
	}

	for name, content := range samplesOf(t) {
		if err := os.WriteFile(filepath.Join(*writeSamples, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}
