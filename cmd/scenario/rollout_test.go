package scenario

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/peer"
)

// operatorAddress returns the address for operators in the settings of a host.
func (e *entryProgram) operatorAddress(t *testing.T) netip.AddrPort {
	return e.settingsAddress(t, "operator")
}

func (e *entryProgram) settingsAddress(t *testing.T, name string) netip.AddrPort {
	t.Helper()

	content, err := os.ReadFile(e.settings)
	if err != nil {
		t.Fatal(err)
	}

	match := regexp.MustCompile(`"` + name + `": "([^"]+)"`).FindSubmatch(content)
	if match == nil {
		t.Fatalf("got no address %s in %s", name, content)
	}

	return netip.MustParseAddrPort(string(match[1]))
}

// TestRolloutShown guards against a roll-out that operators can't see: the builds of all processes and what is ignored as unknown.
func TestRolloutShown(t *testing.T) {
	t.Parallel()

	s := newEntryPlatform(t, 1, entryConfig)
	s.startEngine("model")
	s.startEntries(2)
	s.awaitServing()

	client := peer.NewClient(&stillClock{})
	defer client.Close()

	if _, err := client.Call(t.Context(), s.entries[0].settingsAddress(t, "peers"), "unheardOf", nil); err == nil {
		t.Error("got an answer to an unknown method, want an error")
	}

	operator := s.entries[0].operatorAddress(t)

	var shown struct {
		Build   string
		Members []struct{ Build string }
		Unknown map[string]uint64
	}

	for end := time.Now().Add(recoverTime); ; <-time.After(50 * time.Millisecond) {
		output, err := exec.Command("apricotctl", "rollout", "--json", "--operator", operator.String()).CombinedOutput()
		if err != nil || json.Unmarshal(output, &shown) != nil {
			t.Fatalf("got %v: %s", err, output)
		}

		if len(shown.Members) == 2 && shown.Members[0].Build == shown.Build && shown.Members[1].Build == shown.Build {
			break
		}

		if time.Now().After(end) {
			t.Fatalf("got %+v, want two processes of one build", shown)
		}
	}

	if got, want := shown.Unknown["method unheardOf"], uint64(1); got != want {
		t.Errorf("got %d messages of an unknown method, want %d", got, want)
	}

	table, err := exec.Command("apricotctl", "rollout", "--operator", operator.String()).CombinedOutput()
	if err != nil || !strings.Contains(string(table), "100%") || !strings.Contains(string(table), "method unheardOf") {
		t.Errorf("got %v and table\n%s", err, table)
	}

	response, err := http.Get("http://" + operator.String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()

	metrics, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}

	for _, want := range []string{
		`apricotway_build_info{build="` + shown.Build + `"} 1`, `apricotway_members_by_build{build="` + shown.Build + `"} 2`,
		`apricotway_unknown_messages_total{kind="method unheardOf"} 1`,
	} {
		if !strings.Contains(string(metrics), want) {
			t.Errorf("got metrics without %s", want)
		}
	}
}

// stillClock is a clock that stands still.
type stillClock struct{}

func (*stillClock) Now() apricotway.Stamp    { return 1 }
func (*stillClock) Observe(apricotway.Stamp) {}
