package scenario

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	fleetstandin "github.com/apricotway/apricotway/cmd/internal/standin"
	"github.com/apricotway/apricotway/platform/standin"
)

// The host of a process that meets a crowd of callers, and the bounds on the process. The memory is that of the smallest host.
const (
	crowdMemoryMegabytes = 144
	crowdDescriptors     = 1500
	// crowdBody is the limit on bodies in bytes. It is lowered, so that a small crowd shows what a large one does.
	crowdBody = 2 << 20
	// ordinaryBody is the size of the body of an ordinary request in bytes.
	ordinaryBody = 12 << 10
	// crowdTime is how long a crowd stays after all its callers have sent their first requests.
	crowdTime = 5 * time.Second
	// crowdPause is how long a caller waits until it connects again.
	crowdPause = 500 * time.Millisecond
)

// crowd is a group of callers that all do the same.
type crowd struct {
	name        string
	connections int
	// path and header are those of the requests; the header ends with a line break.
	path, header string
	// body writes what follows the first line and the header of a request, and the line break after them.
	body func(w io.Writer, header string) error
	// slow makes callers read an answer slowly.
	slow bool
	// directory is set if the callers connect to the directory, encrypted if they use TLS.
	directory, encrypted bool
}

// errLeft is the error of a caller that leaves without waiting for its answer.
var errLeft = errors.New("caller left")

var slowReaders = flag.Int("crowd.readers", 100, "callers that read streams slowly")

var filler = strings.Repeat("x", 1<<20)

// writeFiller writes a number of bytes in pieces, each between a prefix and a suffix.
func writeFiller(w io.Writer, size, piece int, prefix, suffix string) error {
	// Many small pieces go into one write, which the process still takes apart.
	unit := prefix + filler[:min(piece, size)] + suffix
	repeat := max(1, (64<<10)/len(unit))
	block := strings.Repeat(unit, repeat)

	for ; size >= repeat*piece; size -= repeat * piece {
		if _, err := io.WriteString(w, block); err != nil {
			return err
		}
	}

	_, err := io.WriteString(w, strings.Repeat(unit, size/piece))

	return err
}

// crowds returns the crowds that both programs meet. Requests go to a plain service at the path; streams to that of the model.
func crowds(path, header, streamPath, streamHeader, streamBody string) []crowd {
	announced := func(length int) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", length) }
	chunked := "Transfer-Encoding: chunked\r\n\r\n"

	part := func(framing string, size, piece int, prefix, suffix string, pause time.Duration) func(io.Writer, string) error {
		return func(w io.Writer, header string) error {
			if _, err := io.WriteString(w, header+framing); err != nil {
				return err
			}

			if pause == 0 {
				return writeFiller(w, size, piece, prefix, suffix)
			}

			for rest := size; rest >= piece; rest -= piece {
				if err := writeFiller(w, piece, piece, prefix, suffix); err != nil {
					return err
				}

				<-time.After(pause)
			}

			return nil
		}
	}

	return []crowd{
		{
			name: "bodies one byte short", connections: 160, path: path, header: header,
			body: func(w io.Writer, header string) error {
				if err := part(announced(crowdBody), crowdBody-1, 1<<16, "", "", 0)(w, header); err != nil {
					return err
				}

				_, err := io.WriteString(w, filler[:1<<16-1])

				return err
			},
		},
		{
			name: "bodies in pieces", connections: 160, path: path, header: header,
			body: part(announced(crowdBody), crowdBody-1<<17, 1<<17, "", "", 50*time.Millisecond),
		},
		{
			name: "whole bodies", connections: 160, path: path, header: header + "Connection: close\r\n",
			body: part(announced(crowdBody), crowdBody, 1<<16, "", "", 0),
		},
		{name: "large chunks", connections: 160, path: path, header: header, body: part(chunked, crowdBody, 1<<20, "100000\r\n", "\r\n", 0)},
		{name: "chunks of one byte", connections: 160, path: path, header: header, body: part(chunked, 1<<17, 1, "1\r\n", "\r\n", 0)},
		{
			name: "too large, announced", connections: 160, path: path, header: header,
			body: part(announced(256<<20), 8<<20, 1<<20, "", "", 0),
		},
		{name: "too large, sent", connections: 160, path: path, header: header, body: part(chunked, 8<<20, 1<<16, "10000\r\n", "\r\n", 0)},
		{
			name: "slow headers", connections: 600, path: path, header: header,
			body: func(w io.Writer, header string) error {
				if _, err := io.WriteString(w, header+"X: "+filler[:60<<10]); err != nil {
					return err
				}

				for range 20 {
					<-time.After(crowdPause)

					if _, err := io.WriteString(w, "x"); err != nil {
						return err
					}
				}

				return nil
			},
		},
		{
			name: "slow readers", connections: *slowReaders, path: streamPath, header: streamHeader, slow: true,
			body: func(w io.Writer, header string) error {
				_, err := io.WriteString(w, header+announced(len(streamBody))+streamBody)
				return err
			},
		},
		{
			name: "idle connections", connections: 1000, path: path, header: header,
			body: func(io.Writer, string) error { return nil },
		},
	}
}

// named returns the crowd with a name.
func named(all []crowd, name string) crowd {
	return all[slices.IndexFunc(all, func(c crowd) bool { return c.name == name })]
}

// directoryCrowds returns the crowds that the directory of an entry host meets.
func directoryCrowds(all []crowd) []crowd {
	bodies, headers, idle := named(all, "too large, sent"), named(all, "slow headers"), named(all, "idle connections")
	headers.connections, idle.connections = 1000, 2000
	selected := []crowd{bodies, headers, idle}

	for i := range selected {
		c := &selected[i]
		c.name, c.path, c.directory = "directory, "+c.name, standin.DirectoryTarget, true
	}

	return selected
}

// promptCrowds returns crowds that send prompts of the largest size to a model service.
func promptCrowds(header string) []crowd {
	send := func(content string, after error) func(io.Writer, string) error {
		return func(w io.Writer, header string) error {
			if _, err := io.WriteString(w, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(content), content)); err != nil {
				return err
			}

			if after != nil {
				<-time.After(crowdPause)
			}

			return after
		}
	}

	request := func(fields, end string) string {
		return `{"model": "fast", "max_tokens": 4000, "stream": true, ` + fields + end + `}`
	}
	prompt := request(`"prompt": "`, `"`)
	prompt = request(`"prompt": "`, strings.Repeat("x", crowdBody-len(prompt))+`"`)
	messages := request(`"messages": [{}`, `]`)
	messages = request(`"messages": [{}`, strings.Repeat(",{}", (crowdBody-len(messages))/len(",{}"))+`]`)

	return []crowd{
		{name: "whole prompts", connections: 160, path: "/v1/completions", header: header, body: send(prompt, nil)},
		{name: "prompts of callers that leave", connections: 160, path: "/v1/completions", header: header, body: send(prompt, errLeft)},
		{name: "many empty messages", connections: 160, path: "/v1/chat/completions", header: header, body: send(messages, nil)},
	}
}

// join connects all callers until the context ends, and waits until each of them has sent its request once, or could not.
func (c crowd) join(ctx context.Context, t *testing.T, address string) *sync.WaitGroup {
	t.Helper()

	var all, first sync.WaitGroup

	for i := range c.connections {
		first.Add(1)

		all.Go(func() {
			for sent := first.Done; ctx.Err() == nil; sent = func() {} {
				c.call(ctx, address, strings.ReplaceAll(c.header, "ATTEMPT", fmt.Sprint(c.name, i, time.Now().UnixNano())), sent)

				select {
				case <-time.After(crowdPause):
				case <-ctx.Done():
				}
			}
		})
	}

	settled := make(chan struct{})

	go func() {
		defer close(settled)

		first.Wait()
	}()

	select {
	case <-settled:
	case <-time.After(waitLimit):
		t.Error("the callers have not sent their requests")
	}

	return &all
}

// call sends one request and stays until the process closes the connection or the context ends. It calls sent once it has sent all.
func (c crowd) call(ctx context.Context, address, header string, sent func()) {
	report := sync.OnceFunc(sent)
	defer report()

	var dialer net.Dialer

	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}

	if c.encrypted {
		conn = tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
	}

	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()

	ended := make(chan struct{})

	go func() {
		defer close(ended)

		for buffer := make([]byte, 1<<10); ; {
			if c.slow {
				<-time.After(crowdPause)
			}

			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
	}()

	err = c.body(conn, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s", c.path, header))

	report()

	if err == nil {
		<-ended
	}
}

// crowdTarget is a process that a crowd meets.
type crowdTarget struct {
	pid     int
	address string
	done    <-chan struct{}
	// ordinary sends a request with a body of a size and returns its status.
	ordinary func(size int) (int, error)
}

// peakMemory returns the largest resident memory that the process has had, in bytes.
func (target crowdTarget) peakMemory(t *testing.T) int64 {
	t.Helper()

	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", target.pid))
	if err != nil {
		t.Fatal(err)
	}

	_, rest, _ := strings.Cut(string(content), "VmHWM:")
	kilobytes, err := strconv.ParseInt(strings.Fields(rest + " -")[0], 10, 64)
	if err != nil {
		t.Fatal(err)
	}

	return kilobytes << 10
}

// meet lets the target meet the crowd and checks that it stays within its bounds and serves.
func (target crowdTarget) meet(t *testing.T, c crowd) {
	t.Helper()

	target.awaitOrdinary(t, crowdBody)
	before := target.peakMemory(t)

	ctx, cancel := context.WithCancel(t.Context())
	callers := c.join(ctx, t, target.address)
	<-time.After(crowdTime)

	select {
	case <-target.done:
		t.Error("the process has ended")
	default:
		target.check(t, before)
	}

	target.awaitOrdinary(t, ordinaryBody)
	cancel()
	callers.Wait()
	target.check(t, before)
}

// check compares memory and descriptors with their bounds.
func (target crowdTarget) check(t *testing.T, before int64) {
	t.Helper()

	descriptors, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", target.pid))
	if err != nil {
		t.Fatal(err)
	}

	peak := target.peakMemory(t)
	t.Logf("%d MB before, %d MB at the most, %d descriptors", before>>20, peak>>20, len(descriptors))

	if want := int64(crowdMemoryMegabytes << 20); peak >= want {
		t.Errorf("got a resident memory of %d MB, want less than %d MB", peak>>20, want>>20)
	}

	if got, want := len(descriptors), crowdDescriptors; got >= want {
		t.Errorf("got %d open descriptors, want fewer than %d", got, want)
	}
}

// awaitOrdinary repeats a request with a body of a size until it is served.
func (target crowdTarget) awaitOrdinary(t *testing.T, size int) {
	t.Helper()

	for end := time.Now().Add(waitLimit); ; <-time.After(50 * time.Millisecond) {
		status, err := target.ordinary(size)
		if err == nil && status == http.StatusOK {
			return
		}

		select {
		case <-target.done:
			t.Fatal("the process has ended")
		default:
		}

		if time.Now().After(end) {
			t.Fatalf("got status %d and error %v from an ordinary request, want %d", status, err, http.StatusOK)
		}
	}
}

// buildWithoutRace builds the program without the race detector, which multiplies the memory that a process needs.
func buildWithoutRace(t *testing.T) string {
	t.Helper()

	program := filepath.Join(t.TempDir(), "apricotway")
	if output, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "../apricotway").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}

	return program
}

// TestEntryMeetsCrowd guards against an entry host that runs out of memory or descriptors, or no longer serves, when many callers at once
// send bodies or headers that don't end, or too much, or read slowly. Each crowd meets a process of its own. It is not parallel: one crowd at
// a time.
func TestEntryMeetsCrowd(t *testing.T) {
	program := buildWithoutRace(t)
	header := "Content-Type: text/plain\r\n"

	call, err := standin.Call{
		Address: netip.MustParseAddrPort("127.0.0.1:1"), Path: "/", Attempt: "ATTEMPT", Key: "secret", Timeout: time.Minute,
	}.Request(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	for name := range call.Header {
		header += name + ": " + call.Header.Get(name) + "\r\n"
	}

	config := strings.NewReplacer(`"max_body_bytes":10000`, fmt.Sprint(`"max_body_bytes":`, crowdBody), `000,"service"`, `0000,"service"`).
		Replace(entryConfig)

	// The caller states tokens, so that the engine streams.
	stream := standin.Call{Address: netip.MustParseAddrPort("127.0.0.1:1"), Path: "/", Tokens: "100,20"}

	streaming, err := stream.Request(t.Context())
	if err != nil {
		t.Fatal(err)
	}

	streamHeader := header

	for name := range streaming.Header {
		if call.Header.Get(name) == "" {
			streamHeader += name + ": " + streaming.Header.Get(name) + "\r\n"
		}
	}

	all := crowds("/book/x", header, "/chat/x", streamHeader, "{}")

	for _, c := range append(all, directoryCrowds(all)...) {
		t.Run(c.name, func(t *testing.T) {
			s := newEntryPlatform(t, 1, config)
			s.startEngine("model", standin.WithStream(200, time.Millisecond), standin.WithSize(16<<10), standin.WithSlots(200))
			s.startEngine("ledger", standin.WithSlots(200))
			s.startEntriesOf(1, func(e *entryProgram) {
				e.program = program
				limitMemory(t, e.settings)
			})

			e := s.entries[0]
			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			target := crowdTarget{pid: int(e.pid.Load()), address: e.callers.String(), done: e.done}

			if c.directory {
				target.address = e.directory.String()
			}

			target.ordinary = func(size int) (int, error) {
				if c.directory {
					lookup, err := standin.NewDirectoryRequest(t.Context(), e.directory)
					if err != nil {
						return 0, err
					}

					if status, err := statusOf(client, lookup); err != nil || status != http.StatusOK {
						return status, err
					}
				}

				request, err := standin.Call{
					Address: e.callers, Host: "h.example", Path: "/book/x", Attempt: fmt.Sprint("o", time.Now().UnixNano()), Key: "secret",
					Body: strings.NewReader(strings.Repeat("x", size)),
				}.Request(t.Context())
				if err != nil {
					return 0, err
				}

				return statusOf(client, request)
			}

			target.meet(t, c)
		})
	}
}

// limitMemory adds the memory of the host to a settings file.
func limitMemory(t *testing.T, file string) {
	t.Helper()

	content, err := os.ReadFile(file)
	if err == nil {
		limited := strings.Replace(string(content), "{", fmt.Sprintf(`{"memoryMegabytes": %d, `, crowdMemoryMegabytes), 1)
		err = os.WriteFile(file, []byte(limited), 0o600)
	}

	if err != nil {
		t.Fatal(err)
	}
}

// statusOf sends a request, reads the whole answer and returns its status.
func statusOf(client *http.Client, request *http.Request) (int, error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()

	_, err = io.Copy(io.Discard, response.Body)

	return response.StatusCode, err
}

// TestServeMeetsCrowd guards apricotway serve against what TestEntryMeetsCrowd guards an entry host against.
func TestServeMeetsCrowd(t *testing.T) {
	program := buildWithoutRace(t)
	log, hosts := fleetstandin.NewLog(), fleetstandin.NewHosts()

	serve := func(handler http.Handler) netip.AddrPort {
		server := httptest.NewServer(handler)
		t.Cleanup(server.CloseClientConnections)

		return netip.MustParseAddrPort(server.Listener.Addr().String())
	}

	for name, handler := range map[string]http.Handler{
		"ledger": http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }),
		"fast": fleetstandin.NewEngine(fleetstandin.NewEngineModel(fleetstandin.EngineTimes{
			DecodePerToken: time.Millisecond,
		})).Handler(),
	} {
		hosts.Add(apricotway.BackendServer{
			ID: apricotway.BackendServerID(name + "-1"), Service: apricotway.Service(name), Region: "r", Zone: "a", MachineClass: "standard",
			Version: "1", Address: serve(handler), State: apricotway.HostLive,
		})
	}

	_, err := log.Append(t.Context(), "config", []apricotway.Record{
		{SchemaVersion: 1, Kind: "service", ID: "1", Payload: json.RawMessage(`{"object": "ledger", "spec": {"type": "plain"}}`)},
		{SchemaVersion: 1, Kind: "service", ID: "2", Payload: json.RawMessage(`{"object": "fast", "spec": {"type": "model"}}`)},
		{SchemaVersion: 1, Kind: "workspace", ID: "3", Payload: json.RawMessage(`{"object": "w", "spec": {"owner": "o", "weight": 1,
			"tokenHashes": ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]}}`)},
	})
	if err != nil {
		t.Fatal(err)
	}

	logAddress, hostsAddress := serve(log.Handler()), serve(hosts.Handler())
	header := "Authorization: Bearer secret\r\n"

	all := crowds("/v1/services/ledger/x", header, "/v1/completions", header,
		`{"model": "fast", "prompt": "x", "max_tokens": 4000, "stream": true}`)

	encrypted := named(all, "slow headers")
	encrypted.name, encrypted.connections, encrypted.encrypted = encrypted.name+" over TLS", 1000, true

	for _, c := range append(append(all, encrypted), promptCrowds(header)...) {
		t.Run(c.name, func(t *testing.T) {
			directory := t.TempDir()
			scheme, certificate := "http", ""

			if c.encrypted {
				scheme, certificate = "https", `"tls": {"callers": `+writeCertificate(t, directory)+`},`
			}

			file := filepath.Join(directory, "entry.jsonc")
			settings := fmt.Sprintf(`{"region": "r", "zone": "a", %s "limits": {"bodyBytes": %d, "promptBytes": %[2]d},
				"listen": {"callers": "127.0.0.1:0", "peers": "127.0.0.1:0", "probes": "127.0.0.1:0", "operator": "127.0.0.1:0"},
				"platform": {"log": %q, "hosts": %q}}`, certificate, crowdBody, logAddress, hostsAddress)

			if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
				t.Fatal(err)
			}

			limitMemory(t, file)

			process, fields, err := launch(directory, "entry", os.Environ(), []string{program, "serve", "--settings", file})
			if process != nil {
				t.Cleanup(process.kill)
			}

			if err != nil {
				t.Fatal(err)
			}

			client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{
				DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
			}}
			target := crowdTarget{pid: process.command.Process.Pid, address: fields[""], done: process.done}
			target.ordinary = func(size int) (int, error) {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, scheme+"://"+fields[""]+"/v1/services/ledger/x",
					bufio.NewReader(strings.NewReader(strings.Repeat("x", size))))
				if err != nil {
					return 0, err
				}

				request.Header.Set("Authorization", "Bearer secret")

				return statusOf(client, request)
			}

			target.meet(t, c)
		})
	}
}

// writeCertificate writes a certificate and its key to the directory and returns the settings that name them.
func writeCertificate(t *testing.T, directory string) string {
	t.Helper()

	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()

	key, err := x509.MarshalPKCS8PrivateKey(server.TLS.Certificates[0].PrivateKey)
	if err != nil {
		t.Fatal(err)
	}

	files := [2]string{}

	for i, block := range []pem.Block{{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}, {Type: "PRIVATE KEY", Bytes: key}} {
		files[i] = filepath.Join(directory, fmt.Sprint("tls", i, ".pem"))
		if err := os.WriteFile(files[i], pem.EncodeToMemory(&block), 0o600); err != nil {
			t.Fatal(err)
		}
	}

	return fmt.Sprintf(`{"certificate": %q, "key": %q}`, files[0], files[1])
}
