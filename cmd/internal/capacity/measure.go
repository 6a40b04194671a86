package capacity

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/state/account"
	"github.com/apricotway/apricotway/state/config"
)

// measureCommand is the command that prints the points of Measure.
const measureCommand = "apricotctl capacity --measure"

// Measure measures, inside this process, the relations that need no running server.
func Measure() ([]Relation, error) {
	apply := Relation{Name: ConfigApply, Size: "objects", Unit: "CPU µs a record", Command: measureCommand}
	memory := Relation{Name: ConfigMemory, Size: "objects", Unit: "heap bytes", Command: measureCommand}

	for _, objects := range []int{1000, 4000, 16000} {
		duration, bytes, err := measureConfig(objects)
		if err != nil {
			return nil, err
		}

		size := float64(objects)
		apply.Points = append(apply.Points, Point{Size: size, Value: float64(duration.Nanoseconds()) / 1000 / size})
		memory.Points = append(memory.Points, Point{Size: size, Value: bytes})
	}

	batch := Relation{Name: UsageBytes, Size: "keys", Unit: "bytes a batch", Command: measureCommand}
	encode := Relation{Name: UsageCPU, Size: "keys", Unit: "CPU µs a batch", Command: measureCommand}

	for _, keys := range []int{10, 40, 160} {
		duration, bytes, err := measureUsage(keys)
		if err != nil {
			return nil, err
		}

		batch.Points = append(batch.Points, Point{Size: float64(keys), Value: bytes})
		encode.Points = append(encode.Points, Point{Size: float64(keys), Value: float64(duration.Nanoseconds()) / 1000})
	}

	return []Relation{apply, memory, batch, encode}, nil
}

// heapInUse collects garbage and returns the bytes of live heap objects.
func heapInUse() float64 {
	var stats runtime.MemStats

	runtime.GC()
	runtime.ReadMemStats(&stats)

	return float64(stats.HeapAlloc)
}

// measureConfig applies records of workspaces of typical size to a configuration. It returns the time for all records and the heap
// bytes of the configuration.
func measureConfig(objects int) (time.Duration, float64, error) {
	records := make([]apricotway.StoredRecord, objects)

	for i := range records {
		spec, err := json.Marshal(config.WorkspaceSpec{
			Owner: "association", Weight: 1, TokenHashes: []string{fmt.Sprintf("%064x", i)},
		})
		if err != nil {
			return 0, 0, errors.Wrap(err, "encode workspace specification")
		}

		payload, err := json.Marshal(config.Change{Object: fmt.Sprintf("mill-%d", i), Spec: spec})
		if err != nil {
			return 0, 0, errors.Wrap(err, "encode configuration change")
		}

		records[i] = apricotway.StoredRecord{Offset: apricotway.Offset(i + 1), Record: apricotway.Record{
			SchemaVersion: 1, Kind: string(config.KindWorkspace), ID: fmt.Sprintf("%036d", i), Payload: payload,
		}}
	}

	before := heapInUse()
	fold := config.New()
	begin := time.Now()

	for _, record := range records {
		fold.Apply(record)
	}

	duration := time.Since(begin)
	bytes := heapInUse() - before

	runtime.KeepAlive(fold)
	runtime.KeepAlive(records)

	return duration, bytes, nil
}

// measureUsage returns the mean time to hash and encode a usage batch with the number of keys, and the encoded size in bytes.
func measureUsage(keys int) (time.Duration, float64, error) {
	batch := account.Batch{Node: "entry-1-01234567", Sequence: 1, Previous: fmt.Sprintf("%064x", 1), To: time.Now()}

	for i := range keys {
		batch.Entries = append(batch.Entries, account.Entry{
			Key: account.Key{
				Workspace: apricotway.Workspace(fmt.Sprintf("mill-%d", i)), Service: "belt-assistant",
				Zone: "makedonia-a", MachineClass: "accelerator-large",
			},
			Usage: account.Usage{Requests: 100, PromptTokens: 200000, GeneratedTokens: 36200, EngineMicroseconds: 2e9},
		})
	}

	const repeats = 200

	var size int

	begin := time.Now()

	for range repeats {
		if _, err := batch.Hash(); err != nil {
			return 0, 0, errors.Wrap(err, "hash usage batch")
		}

		encoded, err := json.Marshal(batch)
		if err != nil {
			return 0, 0, errors.Wrap(err, "encode usage batch")
		}

		size = len(encoded)
	}

	return time.Since(begin) / repeats, float64(size), nil
}
