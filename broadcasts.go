package apricotway

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Topic groups the small entries of one part of the system that travel on the membership probes.
type Topic string

// The topics of this release.
const (
	// TopicNotice carries reclaim and leave notices of backend servers; the key is the server.
	TopicNotice Topic = "notice"
	// TopicRevision carries the configuration revision of a process; the key is the process.
	TopicRevision Topic = "revision"
	// TopicQuarantine carries quarantined digests; the key is the digest.
	TopicQuarantine Topic = "quarantine"
	// TopicTokens carries the in-flight tokens of a process at shared engines; the key is the process.
	TopicTokens Topic = "tokens"
	// TopicDemand carries the demand of a process for places of the engines by workspace; the key is the process.
	TopicDemand Topic = "demand"
	// TopicHost carries changes of the platform's host list other than leaves; the key is the server.
	TopicHost Topic = "host"
	// TopicList asks every process to read the host list, since more changed than broadcasts carry.
	TopicList Topic = "list"
	// TopicReading tells that a process reads the host list in turn with the others.
	TopicReading Topic = "reading"
	// TopicDuty names the process that performs the duties towards the platform; the version is its fencing number.
	TopicDuty Topic = "duty"
)

// Frequent reports whether the entries of a topic are renewed all the time. A lost one is not worth a repair, since the next
// one replaces it.
func (t Topic) Frequent() bool { return t == TopicTokens || t == TopicDemand || t == TopicReading }

// MaxBroadcast bounds topic, key and payload of one entry in bytes, so that several entries fit into one probe.
const MaxBroadcast = 400

// BroadcastEntry is one entry. Of the entries with one topic and key, the one with the highest version wins.
type BroadcastEntry struct {
	Topic   Topic  `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	Payload []byte `cbor:"4,keyasint"`
	// Lifetime is the remaining time for which processes keep the entry; a duration needs no common clock.
	Lifetime time.Duration `cbor:"5,keyasint"`
}

// ErrBroadcastRefused reports an entry that is too large, has no lifetime or is older than the known one.
var ErrBroadcastRefused = errors.New("broadcast refused")

// Broadcasts spreads small entries to all processes within a few probe periods.
type Broadcasts interface {
	// Publish spreads an entry.
	Publish(entry BroadcastEntry) error
	// Subscribe registers a handler for the entries of a topic that other processes publish. It must not block.
	Subscribe(topic Topic, receive func(key string, version uint64, payload []byte))
	// Latest returns the known entries of a topic in the order of their keys.
	Latest(topic Topic) []BroadcastEntry
}

// PublishValue publishes a typed payload.
func PublishValue[T any](
	broadcasts Broadcasts, topic Topic, key string, version uint64, lifetime time.Duration, value T,
) error {
	payload, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode broadcast")
	}

	return broadcasts.Publish(BroadcastEntry{
		Topic: topic, Key: key, Version: version, Payload: payload, Lifetime: lifetime,
	})
}

// SubscribeValue registers a handler for typed payloads. Payloads that cannot be decoded are ignored, since an entry of a
// newer release must not stop an older one.
func SubscribeValue[T any](broadcasts Broadcasts, topic Topic, receive func(key string, version uint64, value T)) {
	broadcasts.Subscribe(topic, func(key string, version uint64, payload []byte) {
		var value T
		if json.Unmarshal(payload, &value) == nil {
			receive(key, version, value)
		}
	})
}

// DecodeValue returns the typed payload of an entry.
func DecodeValue[T any](entry BroadcastEntry) (T, error) {
	var value T
	if err := json.Unmarshal(entry.Payload, &value); err != nil {
		return value, errors.Wrap(err, "decode broadcast")
	}

	return value, nil
}
