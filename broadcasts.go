package apricotway

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// Topic groups the broadcast entries of one purpose. Broadcast entries are sent along with the membership probes.
type Topic string

// The topics.
const (
	// TopicNotice carries notices that backend servers will be reclaimed or are leaving; the key is the server.
	TopicNotice Topic = "notice"
	// TopicRevision carries the configuration revision of a process; the key is the process.
	TopicRevision Topic = "revision"
	// TopicQuarantine carries quarantined digests; the key is the digest.
	TopicQuarantine Topic = "quarantine"
	// TopicTokens carries the tokens that a process has in flight at the engines; the key is the process.
	TopicTokens Topic = "tokens"
	// TopicDemand carries a process's demand for engine slots by workspace; the key is the process.
	TopicDemand Topic = "demand"
	// TopicHostChange carries changes of the platform's host list other than leaving servers; the key is the server.
	TopicHostChange Topic = "host"
	// TopicReadHostList asks every process to read the host list, since too much changed to be broadcast.
	TopicReadHostList Topic = "list"
	// TopicHostListReader announces a process that takes turns with the others at reading the host list.
	TopicHostListReader Topic = "reading"
	// TopicDuty names the process that performs the duties, the calls to the platform that one process makes for all; the
	// version is its fencing number.
	TopicDuty Topic = "duty"
	// TopicBuild tells which build a process runs; the key is the process.
	TopicBuild Topic = "build"
)

// Renewed reports whether the entries of a topic are renewed continuously. A lost entry of such a topic is not repaired, since the
// next one replaces it.
func (t Topic) Renewed() bool {
	return t == TopicTokens || t == TopicDemand || t == TopicHostListReader
}

// MaxBroadcastBytes is the maximum size in bytes of topic, key and payload of one entry together. It lets several entries fit into
// one probe.
const MaxBroadcastBytes = 400

// BroadcastEntry is one broadcast value. Of the entries with the same topic and key, the one with the highest version is valid.
type BroadcastEntry struct {
	Topic   Topic  `cbor:"1,keyasint"`
	Key     string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	Payload []byte `cbor:"4,keyasint"`
	// Lifetime is the remaining time for which processes keep the entry. A duration, unlike a time, does not depend on
	// synchronised clocks.
	Lifetime time.Duration `cbor:"5,keyasint"`
}

// ErrBroadcastRefused reports an entry that is too large, has no lifetime left or is older than the known one.
var ErrBroadcastRefused = errors.New("broadcast refused")

// Broadcasts sends small entries to all processes within a few probe periods.
type Broadcasts interface {
	// Publish sends an entry to all processes.
	Publish(entry BroadcastEntry) error
	// Subscribe registers a handler for the entries of a topic that other processes publish. The handler must not block.
	Subscribe(topic Topic, receive func(key string, version uint64, payload []byte))
	// Latest returns the known entries of a topic in the order of their keys.
	Latest(topic Topic) []BroadcastEntry
}

// PublishValue publishes a value, encoded as JSON.
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

// SubscribeValue registers a handler for values published by PublishValue. Payloads that cannot be decoded are ignored, since a
// newer release may publish entries that an older one doesn't know.
func SubscribeValue[T any](broadcasts Broadcasts, topic Topic, receive func(key string, version uint64, value T)) {
	broadcasts.Subscribe(topic, func(key string, version uint64, payload []byte) {
		var value T
		if json.Unmarshal(payload, &value) == nil {
			receive(key, version, value)
		}
	})
}

// DecodeValue decodes the value of an entry published by PublishValue.
func DecodeValue[T any](entry BroadcastEntry) (T, error) {
	var value T
	if err := json.Unmarshal(entry.Payload, &value); err != nil {
		return value, errors.Wrap(err, "decode broadcast")
	}

	return value, nil
}
