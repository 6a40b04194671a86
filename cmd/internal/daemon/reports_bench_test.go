package daemon

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/standin"
	"github.com/apricotway/apricotway/coordination/inventory"
	"github.com/apricotway/apricotway/state/routing"
	"github.com/apricotway/apricotway/transport/engine"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// benchEngines is the environment variable with the number of engines that the test binary serves instead of running tests. The
// engines run in a separate process so that their CPU time is not measured.
const benchEngines = "APRICOTWAY_BENCH_ENGINES"

// eventsPerSecond is the rate of cache events of one engine: 16,000 requests/s with prompts of 31 blocks, spread over 7,600
// engines, where 15% of the blocks are stored and as many evicted.
const eventsPerSecond = 20

func TestMain(m *testing.M) {
	if count, err := strconv.Atoi(os.Getenv(benchEngines)); err == nil {
		if err := serveBenchEngines(count); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}

		return
	}

	os.Exit(m.Run())
}

// serveBenchEngines serves the engines and writes their addresses to standard output. It returns at the end of standard input.
func serveBenchEngines(count int) error {
	begin := time.Now()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, apricotway.LoadReport{Running: 12, Waiting: 2, TokensInFlight: 31415, Time: time.Now()})
	})
	mux.HandleFunc("GET /cache/events", func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		events := []apricotway.CacheEvent{}

		for sequence := after + 1; sequence <= uint64(time.Since(begin).Seconds()*eventsPerSecond); sequence++ {
			event := apricotway.CacheEvent{Sequence: sequence, Kind: apricotway.CacheStored, Block: sequence * 0x9e3779b97f4a7c15}
			if sequence%2 == 0 {
				event.Kind, event.Block = apricotway.CacheEvicted, (sequence-1)*0x9e3779b97f4a7c15
			}

			events = append(events, event)
		}

		httpjson.Write(w, http.StatusOK, events)
	})

	addresses := make([]netip.AddrPort, count)

	for n := range addresses {
		server, err := standin.Listen(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"), mux)
		if err != nil {
			return err
		}

		addresses[n] = server.Address
	}

	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		return err
	}

	_, err := io.Copy(io.Discard, os.Stdin)

	return err
}

// countedConn counts the bytes read and written on a connection, without TCP and IP headers.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))

	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))

	return n, err
}

// startBenchEngines starts the engines in a child process, which ends with the benchmark.
func startBenchEngines(b *testing.B, count int) []apricotway.BackendServer {
	b.Helper()

	command := exec.CommandContext(b.Context(), os.Args[0])
	command.Env = append(os.Environ(), benchEngines+"="+strconv.Itoa(count))
	command.Stderr = os.Stderr

	stdin, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}

	stdout, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}

	if err := command.Start(); err != nil {
		b.Fatal(err)
	}

	b.Cleanup(func() {
		_ = stdin.Close()
		_ = command.Wait()
	})

	var addresses []netip.AddrPort
	if err := json.NewDecoder(bufio.NewReader(stdout)).Decode(&addresses); err != nil {
		b.Fatal(err)
	}

	servers := benchServers(count)
	for n := range servers {
		servers[n].Address = addresses[n]
	}

	return servers
}

// BenchmarkReports measures the cost of polling the load reports and cache events of the engines that one process uses: the HTTP
// bytes, the requests and the CPU time of the polling process.
func BenchmarkReports(b *testing.B) {
	for _, size := range []int{12, 40, 120} {
		b.Run(fmt.Sprintf("engines=%d", size), func(b *testing.B) {
			const window = 10 * time.Second

			for b.Loop() {
				list := &benchList{}
				list.set(startBenchEngines(b, size))

				var bytes, requests atomic.Int64

				transport := httpjson.NewTransport()
				transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
					var dialer net.Dialer

					conn, err := dialer.DialContext(ctx, network, address)

					return countedConn{conn, &bytes}, err
				}

				ctx, cancel := context.WithCancel(b.Context())
				supervisor := suture.NewSimple("bench")
				known := inventory.New(supervisor, list, inventory.WithPeriod(time.Hour))
				policy := routing.NewScored()

				inventory.NewPoller(supervisor, known, engine.New(engine.WithTransport(transport)),
					func(now time.Time, server apricotway.BackendServerID, report apricotway.LoadReport) {
						requests.Add(1)
						policy.Reported(now, server, report)
					}, inventory.WithReportPeriod(reportPeriod),
					inventory.WithCacheEvents(policy.CacheSequence,
						func(now time.Time, server apricotway.BackendServerID, events []apricotway.CacheEvent) {
							requests.Add(1)
							policy.Cached(now, server, events)
						}))

				done := supervisor.ServeBackground(ctx)
				<-known.Ready()

				// The policy tracks the engines once it has chosen among them.
				policy.Choose(time.Now(), routing.Work{Service: "shop-model", PromptTokens: 1, MaxTokens: 1}, known.Tracked())

				<-time.After(2 * time.Second)

				cpu, sum, count := cpuTime(), bytes.Load(), requests.Load()
				<-time.After(window)
				cpu, sum, count = cpuTime()-cpu, bytes.Load()-sum, requests.Load()-count

				b.ReportMetric(100*cpu.Seconds()/window.Seconds(), "%core")
				b.ReportMetric(float64(sum)/window.Seconds(), "B/s")
				b.ReportMetric(float64(count)/window.Seconds(), "requests/s")
				cancel()
				<-done //nolint:errcheck // the context's error
			}
		})
	}
}
