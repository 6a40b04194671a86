package ctl

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jessevdk/go-flags"

	"github.com/apricotway/apricotway/cmd/internal/cli"
	"github.com/apricotway/apricotway/cmd/internal/load"
)

type loadCommand struct {
	URL         string        `long:"url" required:"yes" description:"address to send requests to"`
	Method      string        `long:"method" default:"GET" description:"HTTP method"`
	Token       string        `long:"token" env:"APRICOTWAY_TOKEN" description:"caller's token"`
	Body        string        `long:"body" description:"body of each request"`
	Rate        int           `long:"rate" default:"100" description:"requests a second"`
	Duration    time.Duration `long:"duration" default:"10s" description:"time for which requests are started"`
	MaxInFlight int           `long:"max-in-flight" default:"2000" description:"bound on requests in flight"`
	JSON        bool          `long:"json" description:"print JSON for programs"`
}

// loadReport is the result that load prints, with latencies in milliseconds by percentile.
type loadReport struct {
	Sent             int                `json:"sent"`
	Failed           int                `json:"failed"`
	RequestsPerSec   float64            `json:"requestsPerSecond"`
	FirstByteMillis  map[string]float64 `json:"firstByteMilliseconds"`
	WholeMillis      map[string]float64 `json:"wholeMilliseconds"`
	AnswerBytesTotal int64              `json:"answerBytesTotal"`
}

var loadPercentiles = map[string]float64{"p50": 50, "p95": 95, "p99": 99, "max": 100}

// percentileMillis returns the percentiles of a histogram whose values are in microseconds.
func percentileMillis(histogram *hdrhistogram.Histogram) map[string]float64 {
	values := map[string]float64{}
	for name, percentile := range loadPercentiles {
		values[name] = float64(histogram.ValueAtPercentile(percentile)) / 1000
	}

	return values
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	result := load.Run(context.Background(), load.Plan{
		Method: c.Method, URL: c.URL, Token: c.Token, Body: c.Body,
		Rate: c.Rate, Duration: c.Duration, MaxInFlight: c.MaxInFlight,
	})
	report := loadReport{
		Sent: result.Sent, Failed: result.Failed,
		RequestsPerSec:   float64(result.Sent-result.Failed) / result.Duration.Seconds(),
		FirstByteMillis:  percentileMillis(result.FirstByte),
		WholeMillis:      percentileMillis(result.Whole),
		AnswerBytesTotal: result.Bytes,
	}

	if c.JSON {
		return printJSON(report)
	}

	rows := [][]string{{"MILLISECONDS", "P50", "P95", "P99", "MAX"}}

	for _, row := range []struct {
		name   string
		values map[string]float64
	}{{"first byte", report.FirstByteMillis}, {"whole answer", report.WholeMillis}} {
		cells := []string{row.name}
		for _, name := range []string{"p50", "p95", "p99", "max"} {
			cells = append(cells, fmt.Sprintf("%.2f", row.values[name]))
		}

		rows = append(rows, cells)
	}

	fmt.Printf("%d sent, %d failed, %.0f a second\n", report.Sent, report.Failed, report.RequestsPerSec)

	return printTable(rows)
}

func addLoadCommand(root *flags.Command) error {
	return cli.Add(root, cli.Command{
		Name: "load", Short: "Send an open loop of requests to one address",
		Long: "Sends requests at a fixed rate and reports their times from the intended start.\n\n" +
			"Example: apricotctl load --url http://127.0.0.1:8800/v1/services/booking-ledger/status --token dev-token --rate 5000",
		Data: &loadCommand{},
	})
}
