package tally

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
)

// ErrMalformed is returned by Decode for content that is not valid encoded counts.
var ErrMalformed = errors.New("malformed counts")

// encoded holds the counts of many processes. Each workspace name is stored only once, because the counts of several hundred
// processes are written several times a second.
type encoded struct {
	_ struct{} `cbor:",toarray"`

	Workspaces []apricotway.Workspace
	Processes  []encodedProcess
}

type encodedProcess struct {
	_ struct{} `cbor:",toarray"`

	Node    apricotway.NodeID
	Windows []encodedWindow
}

type encodedWindow struct {
	_ struct{} `cbor:",toarray"`

	Window int64
	// Calls alternates between the index of a workspace and the number of its calls, ordered by index.
	Calls []int64
}

// Encode returns the counts of many processes in a compact form. Equal counts give equal bytes.
func Encode(processes map[apricotway.NodeID]Counts) ([]byte, error) {
	names := map[apricotway.Workspace]bool{}

	for _, counts := range processes {
		for _, calls := range counts {
			for workspace := range calls {
				names[workspace] = true
			}
		}
	}

	e := encoded{Workspaces: slices.Sorted(maps.Keys(names))}
	indices := make(map[apricotway.Workspace]int64, len(e.Workspaces))

	for i, name := range e.Workspaces {
		indices[name] = int64(i)
	}

	for _, node := range slices.Sorted(maps.Keys(processes)) {
		process := encodedProcess{Node: node}

		for _, window := range slices.Sorted(maps.Keys(processes[node])) {
			calls := processes[node][window]
			w := encodedWindow{Window: window, Calls: make([]int64, 0, 2*len(calls))}

			for _, workspace := range slices.SortedFunc(maps.Keys(calls), cmp.Compare[apricotway.Workspace]) {
				w.Calls = append(w.Calls, indices[workspace], calls[workspace])
			}

			process.Windows = append(process.Windows, w)
		}

		e.Processes = append(e.Processes, process)
	}

	return cbor.Marshal(e)
}

// Decode returns the counts from the output of Encode.
func Decode(content []byte) (map[apricotway.NodeID]Counts, error) {
	var e encoded
	if err := cbor.Unmarshal(content, &e); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}

	processes := make(map[apricotway.NodeID]Counts, len(e.Processes))

	for _, process := range e.Processes {
		counts := Counts{}

		for _, w := range process.Windows {
			calls := map[apricotway.Workspace]int64{}

			for pair := range slices.Chunk(w.Calls, 2) {
				if len(pair) < 2 || pair[0] < 0 || pair[0] >= int64(len(e.Workspaces)) {
					return nil, errors.Wrap(ErrMalformed, "invalid workspace index")
				}

				calls[e.Workspaces[pair[0]]] = pair[1]
			}

			counts[w.Window] = calls
		}

		processes[process.Node] = counts
	}

	return processes, nil
}
