package schema

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/gob"
	"encoding/json"
	"io"
	"net/netip"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// The types of this file are the schema of the production build. They are independent of the present types on purpose, and change only when
// the samples are written again with a later commit. Identifiers and times that differ from run to run are left out.

type frozenPosition struct {
	Source   string
	Sequence uint64
}

type frozenBackend struct {
	ID          string
	Born        time.Time
	Sequence    uint64
	Service     string
	Version     string
	Address     netip.AddrPort
	Zone        string
	Slots       int
	Leaving     bool
	LeavesIn    int64
	Reclaimable bool
	ColdFor     int64
}

type frozenChange struct {
	ID      string
	Backend *frozenBackend
	Problem string
}

type frozenNews struct {
	Position frozenPosition
	Fresh    bool
	Whole    bool
	Changes  []frozenChange
	Version  uint64
	Age      int64
	ListAge  int64
}

type frozenFinding struct {
	Fingerprint uint64
	Common      []uint64
	Crashes     int
	Refused     bool
}

type frozenSuspect struct {
	Server  string
	Content []uint64
}

type frozenLimit struct {
	Server string
	Limit  struct {
		Statement string
		PerSecond float64
	}
	Age         int64
	Observation struct {
		Node string
		At   time.Time
	}
}

type frozenBrittle struct {
	Service      string
	Rejections   int
	Age          int64
	Duration     int64
	RejectionAge int64
}

type frozenWork struct {
	Running int
	Prefill [4]float64
	Prompts [4]int
}

type frozenReport struct {
	Node     string
	Counts   map[int64]map[string]int64
	Accounts map[string]struct {
		Asked      float64
		Credit     float64
		Share      float64
		Unanswered int64
	}
	Work   map[string]frozenWork
	Demand map[string]struct {
		Calls         float64
		PrefillTokens float64
		AnswerTokens  float64
		Refused       float64
	}
	Elapsed int64
	Known   frozenPosition
	Crashes struct {
		Suspects []frozenSuspect
		Answered []uint64
		Refused  []uint64
		Findings []frozenFinding
	}
	LastWindow int64
	Limits     []frozenLimit
	Brittle    []frozenBrittle
}

type frozenReportAnswer struct {
	Holding bool
	Credit  map[string]float64
	Others  map[string]frozenWork
	News    frozenNews
	Verdict struct {
		Findings []frozenFinding
		Trials   []uint64
	}
	LastWindow int64
	Era        uint64
	Limits     []frozenLimit
	Brittle    []frozenBrittle
}

type frozenTake struct {
	Node      string
	Workspace string
	Cost      float64
}

type frozenTakeAnswer struct {
	Holding bool
	Wait    int64
}

type frozenNewsRequest struct {
	Known   frozenPosition
	Version uint64
}

type frozenNewsReply struct {
	News       frozenNews
	Deployment []byte
}

type frozenEntry struct {
	Node        string         `cbor:"1,keyasint"`
	Region      string         `cbor:"2,keyasint"`
	Zone        string         `cbor:"3,keyasint"`
	State       string         `cbor:"4,keyasint"`
	Incarnation uint64         `cbor:"5,keyasint"`
	Ready       bool           `cbor:"6,keyasint"`
	Callers     netip.AddrPort `cbor:"7,keyasint"`
	Peers       netip.AddrPort `cbor:"8,keyasint"`
	Probes      netip.AddrPort `cbor:"9,keyasint"`
	Operator    netip.AddrPort `cbor:"10,keyasint"`
	Capacity    int            `cbor:"11,keyasint"`
	Isolated    bool           `cbor:"12,keyasint"`
}

type frozenBroadcast struct {
	Topic    string `cbor:"1,keyasint"`
	Key      string `cbor:"2,keyasint"`
	Version  uint64 `cbor:"3,keyasint"`
	Payload  []byte `cbor:"4,keyasint"`
	Lifetime int64  `cbor:"5,keyasint"`
}

type frozenExchange struct {
	Digest     uint64
	Entries    []frozenEntry
	Broadcasts []frozenBroadcast
	Deployment string
}

type frozenMessage struct {
	Kind          string            `cbor:"1,keyasint"`
	Sequence      uint64            `cbor:"2,keyasint"`
	From          string            `cbor:"3,keyasint"`
	Target        string            `cbor:"4,keyasint"`
	TargetAddress netip.AddrPort    `cbor:"5,keyasint"`
	Entries       []frozenEntry     `cbor:"6,keyasint"`
	Broadcasts    []frozenBroadcast `cbor:"7,keyasint"`
	Unknown       bool              `cbor:"8,keyasint"`
	Digest        uint64            `cbor:"9,keyasint"`
}

type frozenCopies struct {
	Groups []struct {
		Service   string
		Version   string
		Uncertain bool
		Streams   []struct {
			Stream uint64
			Server string
			Born   int64
		}
	}
	Written bool
	Stored  []uint64
}

// frozenCall is the header and the body of a call over net/rpc, without its sequence number, time stamp and the time that is left.
type frozenCall struct {
	ServiceMethod string
	Method        string
	Payload       []byte
}

type frozenAnswer struct {
	ServiceMethod string
	Error         string
	Payload       []byte
	Refusal       *struct {
		Code       string
		Execution  string
		Message    string
		RetryAfter int64
	}
	Failure    string
	NotStarted bool
}

type frozenCounts struct {
	_ struct{} `cbor:",toarray"`

	Workspaces []string
	Processes  []struct {
		_ struct{} `cbor:",toarray"`

		Node    string
		Windows []struct {
			_ struct{} `cbor:",toarray"`

			Window int64
			Calls  []int64
		}
	}
}

type frozenDuty struct {
	Kind  string `json:"kind"`
	Node  string `json:"node"`
	Usage *struct {
		Window int64
		Calls  map[string]int64
	} `json:"usage"`
	Window int64  `json:"window"`
	Claim  uint64 `json:"claim"`
	Era    uint64 `json:"era"`
}

type frozenVersions struct {
	Services map[string]map[string]int64 `json:"services"`
}

type frozenDeployment struct {
	Version uint64
	Routes  []struct {
		Name       string
		Host       string
		PathPrefix string
		Targets    []struct {
			Service string
			Weight  int
		}
		Kind         string
		Timeout      int64
		Objective    int64
		LongestPause int64
		MaxAttempts  int
		Rank         int
		Public       bool
		Resumable    bool
	}
	Services []struct {
		Name           string
		HealthPath     string
		MaxConnections int
		Slots          int
		CacheTokens    int
		Capacity       *struct {
			Min              int
			Max              int
			Boot             int64
			ReclaimablePrice float64
			ZonePrices       map[string]float64
		}
	}
	Workspaces []struct {
		Name  string
		Keys  []string
		Rank  *int
		Limit struct {
			Rate        float64
			Burst       float64
			InTokens    bool
			PlainTokens int
		}
	}
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout int64
		IdleTimeout   int64
	}
}

// frozenRecord is a record of a stream with its payload.
type frozenRecord[Payload any] struct {
	SchemaVersion int     `json:"schemaVersion"`
	Kind          string  `json:"kind"`
	Epoch         uint64  `json:"epoch"`
	Payload       Payload `json:"payload"`
}

type frozenBeginnings struct {
	Service   string   `json:"service"`
	Version   string   `json:"version"`
	Uncertain bool     `json:"uncertain"`
	Streams   []string `json:"streams"`
}

type frozenMember struct {
	Node        string         `json:"node"`
	Region      string         `json:"region"`
	Zone        string         `json:"zone"`
	State       string         `json:"state"`
	Ready       bool           `json:"ready"`
	Incarnation uint64         `json:"incarnation"`
	Callers     netip.AddrPort `json:"callers"`
	Peers       netip.AddrPort `json:"peers"`
	Probes      netip.AddrPort `json:"probes"`
	Operator    netip.AddrPort `json:"operator"`
	Capacity    int            `json:"capacity"`
}

type frozenKey struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

type frozenLedgerClaim struct {
	Replaces uint64 `json:"replaces"`
	Owner    string `json:"owner"`
}

type frozenLedgerIntent struct {
	Key    frozenKey `json:"key"`
	Digest string    `json:"digest"`
	At     time.Time `json:"at"`
}

type frozenLedgerOutcome struct {
	Intent  string              `json:"intent"`
	Key     frozenKey           `json:"key"`
	At      time.Time           `json:"at"`
	Result  string              `json:"result"`
	Status  int                 `json:"status"`
	Header  map[string][]string `json:"header"`
	Body    []byte              `json:"body"`
	Omitted bool                `json:"omitted"`
}

type frozenLease struct {
	Replaces uint64 `json:"replaces"`
	Holder   string `json:"holder"`
}

type frozenFleetIntent struct {
	Sequence uint64 `json:"sequence"`
	Action   string `json:"action"`
	Service  string `json:"service"`
	Market   struct {
		Zone         string `json:"zone"`
		MachineClass string `json:"machineClass"`
		Reclaimable  bool   `json:"reclaimable"`
	} `json:"market"`
	Host string `json:"host"`
}

type frozenFleetOutcome struct {
	Sequence uint64 `json:"sequence"`
	Result   string `json:"result"`
	Host     string `json:"host"`
}

type frozenConfigChange struct {
	Object   string          `json:"object"`
	Replaces uint64          `json:"replaces"`
	Deleted  bool            `json:"deleted"`
	Spec     json.RawMessage `json:"spec"`
}

type frozenUsageBatch struct {
	Node     string    `json:"node"`
	Sequence uint64    `json:"sequence"`
	Previous string    `json:"previous"`
	From     time.Time `json:"from"`
	To       time.Time `json:"to"`
	Last     bool      `json:"last"`
	Entries  []struct {
		Workspace          string `json:"workspace"`
		Service            string `json:"service"`
		Zone               string `json:"zone"`
		MachineClass       string `json:"machineClass"`
		Requests           int64  `json:"requests"`
		PromptTokens       int64  `json:"promptTokens"`
		GeneratedTokens    int64  `json:"generatedTokens"`
		RecomputedTokens   int64  `json:"recomputedTokens"`
		HedgedTokens       int64  `json:"hedgedTokens"`
		EngineMicroseconds int64  `json:"engineMicroseconds"`
	} `json:"entries"`
	Signer    string `json:"signer"`
	Signature []byte `json:"signature"`
}

type frozenSettings struct {
	Node   string `json:"node"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	Listen struct {
		Callers   string `json:"callers"`
		Readiness string `json:"readiness"`
		Directory string `json:"directory"`
		Peers     string `json:"peers"`
		Probes    string `json:"probes"`
		Operator  string `json:"operator"`
	} `json:"listen"`
	Seeds    []string `json:"seeds"`
	Platform struct {
		Store           string  `json:"store"`
		Cloud           string  `json:"cloud"`
		WritesPerSecond float64 `json:"writesPerSecond"`
	} `json:"platform"`
	MemoryMegabytes int64   `json:"memoryMegabytes"`
	Processor       float64 `json:"processor"`
	LinkMegabits    float64 `json:"linkMegabits"`
	AddressValidity string  `json:"addressValidity"`
	StopLimit       string  `json:"stopLimit"`
	KeyRevocation   string  `json:"keyRevocation"`
	UsageWindow     string  `json:"usageWindow"`
	HolderLease     string  `json:"holderLease"`
	Retries         struct {
		Ratio  float64 `json:"ratio"`
		Window string  `json:"window"`
		Slack  float64 `json:"slack"`
	} `json:"retries"`
	ProbeKey string `json:"probeKey"`
}

// frozenSchema holds a decoder for each sample.
var frozenSchema = map[string]func(content []byte) (any, error){
	"report.gob":       decodeFrozenGob[frozenReport],
	"reportAnswer.gob": decodeFrozenGob[frozenReportAnswer],
	"take.gob":         decodeFrozenGob[frozenTake],
	"takeAnswer.gob":   decodeFrozenGob[frozenTakeAnswer],
	"news.gob":         decodeFrozenGob[frozenNewsRequest],
	"newsAnswer.gob":   decodeFrozenGob[frozenNewsReply],
	"exchange.gob":     decodeFrozenGob[frozenExchange],
	"copyOrigins.json": decodeFrozenCopies,
	"calls.frames":     decodeFrozenCalls,
	"answers.frames":   decodeFrozenAnswers,
	"probe.packet":     decodeFrozenPacket,
	"indirect.packet":  decodeFrozenPacket,
	"ack.packet":       decodeFrozenPacket,

	"counts.cbor":         decodeFrozenCounts,
	"crashes.json":        decodeFrozenJSON[[]frozenFinding],
	"deployment.json":     decodeFrozenJSON[frozenDeployment],
	"duty-claim.json":     decodeFrozenJSON[frozenDuty],
	"duty-usage.json":     decodeFrozenJSON[frozenDuty],
	"duty-skip.json":      decodeFrozenJSON[frozenDuty],
	"settings.json":       decodeFrozenJSON[frozenSettings],
	"versions.json":       decodeFrozenJSON[frozenVersions],
	"beginnings.json":     decodeFrozenJSON[frozenRecord[frozenBeginnings]],
	"join.json":           decodeFrozenJSON[frozenRecord[frozenMember]],
	"ledger-claim.json":   decodeFrozenJSON[frozenRecord[frozenLedgerClaim]],
	"ledger-intent.json":  decodeFrozenJSON[frozenRecord[frozenLedgerIntent]],
	"ledger-outcome.json": decodeFrozenJSON[frozenRecord[frozenLedgerOutcome]],
	"lease.json":          decodeFrozenJSON[frozenRecord[frozenLease]],
	"fleet-intent.json":   decodeFrozenJSON[frozenRecord[frozenFleetIntent]],
	"fleet-outcome.json":  decodeFrozenJSON[frozenRecord[frozenFleetOutcome]],
	"config-change.json":  decodeFrozenJSON[frozenConfigChange],
	"usage-batch.json":    decodeFrozenJSON[frozenUsageBatch],
}

func decodeFrozenGob[T any](content []byte) (any, error) {
	var value T
	err := gob.NewDecoder(bytes.NewReader(content)).Decode(&value)

	return value, err
}

func decodeFrozenJSON[T any](content []byte) (any, error) {
	var value T
	err := json.Unmarshal(content, &value)

	return value, err
}

// decodeFrozenCopies decodes some messages into one.
func decodeFrozenCopies(content []byte) (any, error) {
	var (
		messages [][]byte
		all      frozenCopies
	)

	if err := json.Unmarshal(content, &messages); err != nil {
		return nil, err
	}

	for _, message := range messages {
		var one frozenCopies
		if err := gob.NewDecoder(bytes.NewReader(message)).Decode(&one); err != nil {
			return nil, err
		}

		all.Groups, all.Stored = append(all.Groups, one.Groups...), append(all.Stored, one.Stored...)
		all.Written = all.Written || one.Written
	}

	return all, nil
}

func decodeFrozenCounts(content []byte) (any, error) {
	var value frozenCounts
	err := cbor.Unmarshal(content, &value)

	return value, err
}

func decodeFrozenPacket(content []byte) (any, error) {
	const version, macSize = 1, 16

	if len(content) < 1+macSize || content[0] != version {
		return nil, errors.Errorf("got a packet of %d bytes, want version %d first", len(content), version)
	}

	mac := hmac.New(sha256.New, probeKey)
	mac.Write(content[:1])
	mac.Write(content[1+macSize:])

	if !hmac.Equal(mac.Sum(nil)[:macSize], content[1:1+macSize]) {
		return nil, errors.New("got another MAC")
	}

	decode, err := cbor.DecOptions{
		BinaryUnmarshaler: cbor.BinaryUnmarshalerByteString, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden, MaxArrayElements: 64, MaxMapPairs: 32, MaxNestedLevels: 8,
	}.DecMode()
	if err != nil {
		return nil, err
	}

	var value frozenMessage
	err = decode.Unmarshal(content[1+macSize:], &value)

	return value, err
}

func decodeFrozenCalls(content []byte) (any, error) {
	var calls []frozenCall

	for decoder := gob.NewDecoder(bytes.NewReader(content)); ; {
		var header struct {
			ServiceMethod string
			Seq           uint64
		}

		if err := decoder.Decode(&header); errors.Is(err, io.EOF) {
			return calls, nil
		} else if err != nil {
			return nil, err
		}

		var body struct {
			Method    string
			Remaining int64
			Stamp     uint64
			Payload   []byte
		}

		if err := decoder.Decode(&body); err != nil {
			return nil, err
		}

		if body.Remaining <= 0 || body.Stamp == 0 || header.Seq != uint64(len(calls)) {
			return nil, errors.Errorf("got remaining time %d, stamp %d and number %d", body.Remaining, body.Stamp, header.Seq)
		}

		calls = append(calls, frozenCall{header.ServiceMethod, body.Method, body.Payload})
	}
}

func decodeFrozenAnswers(content []byte) (any, error) {
	var answers []frozenAnswer

	for decoder := gob.NewDecoder(bytes.NewReader(content)); ; {
		var header struct {
			ServiceMethod string
			Seq           uint64
			Error         string
		}

		if err := decoder.Decode(&header); errors.Is(err, io.EOF) {
			return answers, nil
		} else if err != nil {
			return nil, err
		}

		var body struct {
			Stamp   uint64
			Payload []byte
			Refusal *struct {
				Code       string
				Execution  string
				Message    string
				RetryAfter int64
			}
			Failure    string
			NotStarted bool
		}

		if err := decoder.Decode(&body); err != nil {
			return nil, err
		}

		if body.Stamp == 0 || header.Seq != uint64(len(answers)) {
			return nil, errors.Errorf("got stamp %d and number %d", body.Stamp, header.Seq)
		}

		answers = append(answers, frozenAnswer{
			header.ServiceMethod, header.Error, body.Payload, body.Refusal, body.Failure, body.NotStarted,
		})
	}
}

// frozen decodes a sample with the production schema.
func frozen(name string, content []byte) (any, error) {
	decode, ok := frozenSchema[name]
	if !ok {
		return nil, errors.Errorf("the production schema has no %s", strings.TrimSuffix(name, ".json"))
	}

	return decode(content)
}
