package platform

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/transport/httpjson"
)

// maxWait is the longest wait that an answer of the weight store may state.
const maxWait = 24 * time.Hour

// Weights implements apricotway.WeightStore over HTTP: POST /transfers with a Transfer returns a TransferAnswer.
type Weights struct {
	address   netip.AddrPort
	transport http.RoundTripper
}

var _ apricotway.WeightStore = (*Weights)(nil)

// Transfer requests permission to copy the weights of one model version to one backend server.
type Transfer struct {
	Version apricotway.ModelVersion    `json:"version"`
	Server  apricotway.BackendServerID `json:"server"`
}

// TransferAnswer is the answer to a Transfer. WaitMillis is the time in milliseconds after which to ask again; 0 grants the
// transfer.
type TransferAnswer struct {
	WaitMillis int64 `json:"waitMillis"`
}

// NewWeights returns a client of the weight store at the address.
func NewWeights(address netip.AddrPort) *Weights {
	return &Weights{address: address, transport: httpjson.NewTransport()}
}

// Reserve implements apricotway.WeightStore.
func (w *Weights) Reserve(
	ctx context.Context, version apricotway.ModelVersion, server apricotway.BackendServerID,
) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	var answer TransferAnswer

	err := httpjson.Do(ctx, w.transport, http.MethodPost, httpjson.URL(w.address, "/transfers"),
		Transfer{Version: version, Server: server}, &answer)
	if err != nil {
		return 0, errors.Wrap(apricotway.ErrPlatformUnavailable, err.Error())
	}

	// A longer wait would overflow, and a negative one would be taken for a permission.
	if answer.WaitMillis < 0 || answer.WaitMillis > maxWait.Milliseconds() {
		return 0, errors.Wrapf(apricotway.ErrPlatformUnavailable, "wait of %d ms", answer.WaitMillis)
	}

	return time.Duration(answer.WaitMillis) * time.Millisecond, nil
}
