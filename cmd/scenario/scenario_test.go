// Package scenario holds the end-to-end tests. The scripts in testdata start real processes of both binaries on loopback
// through testscript. Other tests put such processes under random failures, or run the planner and the shards of the idempotency
// ledger in this process, some of them under a virtual clock.
package scenario

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/apricotway/apricotway/cmd/internal/ctl"
	"github.com/apricotway/apricotway/cmd/internal/serve"
)

// waitLimit bounds every wait for an event. It only ends a run that hangs; no test result depends on its value.
const waitLimit = 60 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(watchedTests{m}, map[string]func(){
		"apricotway": func() { os.Exit(serve.Run(os.Args[1:])) },
		"apricotctl": func() { os.Exit(ctl.Run(os.Args[1:])) },
	})
}

// watchedTests runs the tests, of which each parallel one has several processes, and reports when this process did not get to run: engines
// and callers of the tests are part of it.
type watchedTests struct{ *testing.M }

// Run implements testscript.TestingM.
func (w watchedTests) Run() int {
	// The processes of a test need about half of a processor; -parallel overrides this.
	if err := flag.Set("test.parallel", strconv.Itoa(max(runtime.GOMAXPROCS(0)/2, 1))); err != nil {
		panic(err)
	}

	go reportStalls(os.Stderr)

	return w.M.Run()
}

// reportStalls reports each time of more than half a second in which this goroutine did not run although it was due.
func reportStalls(output io.Writer) {
	const period, reported = 50 * time.Millisecond, 500 * time.Millisecond

	for last := time.Now(); ; last = time.Now() {
		<-time.After(period)

		if stall := time.Since(last) - period; stall > reported {
			_, _ = fmt.Fprintf(output, "the test process was not run for %s until %s\n", stall.Round(time.Millisecond), time.Now().Format(time.StampMilli))
		}
	}
}

// TestScenarios runs each script in testdata. The first comment of a script says which failure it guards against.
func TestScenarios(t *testing.T) {
	t.Parallel()

	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[processesKey{}] = map[string]*process{}
			env.Values[callsKey{}] = &load{}
			env.Setenv("probeKey", newProbeKey())

			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"start":   cmdStart,
			"signal":  cmdSignal,
			"join":    cmdJoin,
			"request": cmdRequest,
			"await":   cmdAwait,
			"fill":    cmdFill,
			"stream":  cmdStream,
			"expect":  cmdExpect,
			"load":    cmdLoad,
			"loaded":  cmdLoaded,
			"calls":   cmdCalls,
			"keyed":   cmdKeyed,
			"checked": cmdChecked,
		},
	})
}

// newProbeKey returns the key of the processes of one system. A port of a process that has ended may be given to one of another test, also
// of another run on the machine, while the members of the first one still probe it.
func newProbeKey() string { return strings.ReplaceAll(uuid.NewString(), "-", "") }

// TestProbeKeysOfScripts guards against processes of two scripts, or of two runs on one machine, that take each other for members.
func TestProbeKeysOfScripts(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("got no scripts: %v", err)
	}

	for _, script := range scripts {
		content, err := os.ReadFile(script)
		if err != nil {
			t.Fatal(err)
		}

		if got, want := strings.Count(string(content), `"probeKey"`), strings.Count(string(content), `"probeKey": "$probeKey"`); got != want {
			t.Errorf("%s: got %d probe keys, %d of them the script's own, want only these", script, got, want)
		}
	}
}

type processesKey struct{}

// process is a program that runs in the background.
type process struct {
	command *exec.Cmd
	done    chan struct{}
	// log is the name of the file with its standard error.
	log string
}

func processes(ts *testscript.TestScript) map[string]*process {
	return ts.Value(processesKey{}).(map[string]*process)
}

// cmdStart runs "start NAME PROGRAM ARG...": it starts a program in the background and reads the first line of its output.
// The line's first field becomes the variable NAME, and each field KEY=VALUE becomes the variable NAME_KEY.
func cmdStart(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARG...")
	}

	p, fields, err := launch(ts.MkAbs("."), args[0], append(os.Environ(), "HOME="+ts.Getenv("HOME"), "PATH="+ts.Getenv("PATH")), args[1:])
	if p != nil {
		processes(ts)[args[0]] = p
		ts.Defer(p.kill)
	}

	ts.Check(err)

	for key, value := range fields {
		ts.Setenv(strings.TrimSuffix(args[0]+"_"+key, "_"), value)
	}
}

// launch starts a program whose standard error goes to the file NAME.log, and returns the fields of the first line of its
// output: each field KEY=VALUE by its key, and the value of the first one also by the empty key.
func launch(directory, name string, environment, line []string) (*process, map[string]string, error) {
	program, err := exec.LookPath(line[0])
	if err != nil {
		return nil, nil, err
	}

	command := exec.Command(program, line[1:]...)
	command.Dir, command.Env = directory, environment

	logFile, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, nil, err
	}

	command.Stderr = logFile

	output, err := command.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}

	if err := command.Start(); err != nil {
		return nil, nil, err
	}

	p := &process{command: command, done: make(chan struct{}), log: logFile.Name()}
	reader := bufio.NewReader(output)
	first, err := reader.ReadString('\n')

	go func() {
		defer close(p.done)

		_, _ = io.Copy(io.Discard, reader)
		_ = command.Wait()
		_ = logFile.Close()
	}()

	if err != nil {
		<-p.done

		content, _ := os.ReadFile(logFile.Name())

		return p, nil, errors.Wrapf(err, "%s ended before it printed its first line; its log: %s", name, content)
	}

	fields := map[string]string{}

	for i, field := range strings.Fields(first) {
		key, value, named := strings.Cut(field, "=")
		if named {
			fields[key] = value
		} else {
			value = field
		}

		if i == 0 {
			fields[""] = value
		}
	}

	return p, fields, nil
}

// kill ends the process with SIGKILL, after SIGCONT in case it is stopped, and waits for its end. The signals fail without
// harm if the process has already ended.
func (p *process) kill() {
	_ = p.command.Process.Signal(syscall.SIGCONT)
	_ = p.command.Process.Kill()
	<-p.done
}

var signals = map[string]os.Signal{
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}

// cmdSignal runs "signal NAME TERM|KILL|STOP|CONT": it sends the signal to a program that the script started.
func cmdSignal(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 || processes(ts)[args[0]] == nil || signals[args[1]] == nil {
		ts.Fatalf("usage: signal NAME TERM|KILL|STOP|CONT")
	}

	ts.Check(processes(ts)[args[0]].signal(signals[args[1]]))
}

// signal sends a signal to the process. If the process has ended, the error says how, and holds its log.
func (p *process) signal(signal os.Signal) error {
	err := p.command.Process.Signal(signal)
	if err == nil {
		return nil
	}

	<-p.done

	content, _ := os.ReadFile(p.log)

	return errors.Wrapf(err, "signal to a process that ended with %s; its log: %s", p.command.ProcessState, content)
}

// cmdJoin runs "join NAME": it waits until a program has ended; with "!" before it, the program must have failed.
func cmdJoin(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) != 1 || processes(ts)[args[0]] == nil {
		ts.Fatalf("usage: join NAME")
	}

	p := processes(ts)[args[0]]

	select {
	case <-p.done:
	case <-time.After(waitLimit):
		ts.Fatalf("%s has not ended", args[0])
	}

	if success := p.command.ProcessState.Success(); success == neg {
		ts.Fatalf("%s ended with %s", args[0], p.command.ProcessState)
	}
}

// cmdRequest runs "request METHOD URL [-token T] [-header K:V]... [-body FILE]" and writes the status line and the body of
// the response to standard output. The status must be below 400, or with "!" before the command 400 or above.
func cmdRequest(ts *testscript.TestScript, neg bool, args []string) {
	status, text, err := request(ts, args)
	ts.Check(err)

	_, _ = ts.Stdout().Write([]byte(text))

	if failed := status >= http.StatusBadRequest; failed != neg {
		ts.Fatalf("unexpected status %d", status)
	}
}

// cmdAwait runs "await TEXT METHOD URL ...": it repeats the request until the response contains the text, or with "!" until it
// does not.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: await TEXT METHOD URL ...")
	}

	var text string

	for end := time.Now().Add(waitLimit); time.Now().Before(end); {
		var err error

		_, text, err = request(ts, args[1:])
		if err == nil && strings.Contains(text, args[0]) != neg {
			return
		}

		<-time.After(10 * time.Millisecond)
	}

	ts.Fatalf("timed out waiting for the response; the last one was: %s", text)
}

func request(ts *testscript.TestScript, args []string) (int, string, error) {
	if len(args) < 2 {
		ts.Fatalf("usage: request METHOD URL [-token T] [-header K:V] [-body FILE]")
	}

	body := ""
	header := http.Header{}

	for i := 2; i+1 < len(args); i += 2 {
		switch args[i] {
		case "-token":
			header.Set("Authorization", "Bearer "+args[i+1])
		case "-header":
			name, value, _ := strings.Cut(args[i+1], ":")
			header.Set(name, value)
		case "-body":
			body = ts.ReadFile(args[i+1])
		default:
			ts.Fatalf("unknown option %s", args[i])
		}
	}

	// http.Client retries a request by itself if it has an Idempotency-Key header and a body that can be rewound. This body
	// cannot be rewound, so that each call is sent once.
	r, err := http.NewRequest(args[0], args[1], struct{ io.Reader }{strings.NewReader(body)})
	if err != nil {
		return 0, "", err
	}

	r.Header = header
	r.ContentLength = int64(len(body))

	answer, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()

	content, err := io.ReadAll(answer.Body)

	return answer.StatusCode, answer.Status + "\n" + string(content), err
}

// cmdFill runs "fill FILE": it replaces each $NAME in a file by the value of that script variable.
func cmdFill(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: fill FILE")
	}

	content := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(content), 0o600))
}
