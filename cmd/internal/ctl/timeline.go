package ctl

import (
	_ "embed"
	"fmt"
	"html/template"
	"net/url"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/cmd/internal/daemon"
	"github.com/apricotway/apricotway/state/timeline"
)

type timelineCommand struct {
	operatorOptions

	Request string        `long:"request" value-name:"ID" description:"show one request only"`
	Since   time.Duration `long:"since" value-name:"AGE" description:"show events of this age or younger, such as 5m"`
	HTML    string        `long:"html" value-name:"FILE" description:"write a self-contained page"`
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	query := url.Values{}
	if c.Request != "" {
		query.Set("request", c.Request)
	}

	if c.Since > 0 {
		stamp := timeline.NewClock(func() time.Time { return time.Now().Add(-c.Since) }).Now()
		query.Set("since", strconv.FormatUint(uint64(stamp), 10))
	}

	var result daemon.Timeline
	if err := c.get("/v1/timeline?"+query.Encode(), &result); err != nil {
		return err
	}

	for _, node := range result.Missing {
		fmt.Fprintf(os.Stderr, "no response from %s; its events are missing\n", node)
	}

	if c.HTML != "" {
		return writeTimelinePage(c.HTML, result.Events)
	}

	if c.JSON {
		return printJSON(result)
	}

	rows := [][]string{{"TIME", "NODE", "EVENT", "REQUEST", "DETAIL"}}
	for _, event := range result.Events {
		rows = append(rows, []string{
			formatStamp(event.Stamp), string(event.Node), string(event.Kind), string(event.Request), event.Detail,
		})
	}

	return printTable(rows)
}

func formatStamp(stamp apricotway.Stamp) string {
	return timeline.Time(stamp).UTC().Format("15:04:05.000000")
}

//go:embed timeline.html
var timelineTemplate string

// The dimensions of the page in pixels.
const (
	pageWidth    = 1200
	labelWidth   = 260
	laneHeight   = 60
	headerHeight = 40
	markRadius   = 5
	pageMargins  = 20
	// The numbers of successive marks are placed in labelRows different rows, so that those of close marks stay legible.
	labelRows   = 3
	labelHeight = 11
)

// lane is the horizontal line of one process.
type lane struct {
	Node apricotway.NodeID
	Y    int
}

// mark is the circle of one event, with its number and tooltip.
type mark struct {
	X, Y, LabelY int
	// Number is the event's row in the table, from 1.
	Number int
	Color  string
	Title  string
}

// page is the data of the template timeline.html.
type page struct {
	Width, Height, LabelWidth, Radius int
	From, To                          string
	Lanes                             []lane
	Marks                             []mark
	Events                            []timeline.Event
}

func writeTimelinePage(path string, events []timeline.Event) error {
	parsed, err := template.New("timeline").Funcs(template.FuncMap{
		"stamp": formatStamp, "number": func(index int) int { return index + 1 },
	}).Parse(timelineTemplate)
	if err != nil {
		return errors.Wrap(err, "parse template timeline.html")
	}

	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create timeline page")
	}

	if err := parsed.Execute(file, newPage(events)); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write timeline page")
	}

	return file.Close()
}

// newPage lays out the events, which are sorted by stamp: a lane for each process, time from left to right.
func newPage(events []timeline.Event) page {
	p := page{Width: pageWidth, LabelWidth: labelWidth, Radius: markRadius, Events: events}
	if len(events) == 0 {
		return p
	}

	first, last := timeline.Time(events[0].Stamp), timeline.Time(events[len(events)-1].Stamp)
	span := max(last.Sub(first), time.Microsecond)
	p.From, p.To = formatStamp(events[0].Stamp), formatStamp(events[len(events)-1].Stamp)

	for i, event := range events {
		index := slices.IndexFunc(p.Lanes, func(l lane) bool { return l.Node == event.Node })
		if index < 0 {
			index = len(p.Lanes)
			p.Lanes = append(p.Lanes, lane{Node: event.Node, Y: headerHeight + index*laneHeight})
		}

		offset := float64(timeline.Time(event.Stamp).Sub(first)) / float64(span)
		p.Marks = append(p.Marks, mark{
			X:      labelWidth + int(offset*(pageWidth-labelWidth-pageMargins)),
			Y:      p.Lanes[index].Y,
			LabelY: p.Lanes[index].Y - 2*markRadius - i%labelRows*labelHeight,
			Number: i + 1,
			Color:  colorOf(event.Kind),
			Title:  fmt.Sprintf("%s %s %s %s", formatStamp(event.Stamp), event.Kind, event.Request, event.Detail),
		})
	}

	p.Height = headerHeight + len(p.Lanes)*laneHeight

	return p
}

// colorOf returns the CSS colour for a kind of event. The hue is a hash of the kind, so that every page has the same colours.
func colorOf(kind timeline.Kind) string {
	hue := 0
	for _, r := range string(kind) {
		hue = (hue*31 + int(r)) % 360
	}

	return fmt.Sprintf("hsl(%d 65%% 45%%)", hue)
}
