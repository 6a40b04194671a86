package duration_test

import (
	"testing"
	"time"

	"github.com/apricotway/apricotway/state/duration"
)

func TestLongest(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return begin.Add(time.Duration(seconds) * time.Second) }

	e := duration.New(10 * time.Second)
	e.Record(at(0), "chat", duration.Sample{Begin: time.Second, Rest: 2 * time.Second, Size: 100})
	e.Record(at(5), "chat", duration.Sample{Begin: 2 * time.Second, Rest: time.Second, Size: 100})
	e.Record(at(5), "small", duration.Sample{Begin: time.Second, Rest: 3 * time.Second, Size: 20})
	e.Record(at(5), "book", duration.Sample{Begin: 30 * time.Millisecond})

	for _, c := range []struct {
		name, route string
		at, size    int
		running     []duration.Sample
		want        time.Duration
		known       bool
	}{
		{name: "longest of each part", route: "chat", at: 6, size: 200, want: 6 * time.Second, known: true},
		{name: "without tokens", route: "book", at: 6, want: 30 * time.Millisecond, known: true},
		{name: "few tokens", route: "small", at: 6, size: 20, want: 4 * time.Second, known: true},
		{name: "from few tokens to many", route: "small", at: 6, size: 320, want: 31 * time.Second, known: true},
		{name: "unknown route", route: "other", at: 6},
		{
			name: "slower call still running", route: "chat", at: 6, size: 100, known: true, want: 8 * time.Second,
			running: []duration.Sample{{Begin: time.Second, Rest: 6 * time.Second, Size: 100}},
		},
		{name: "previous window", route: "chat", at: 14, size: 100, want: 4 * time.Second, known: true},
		{name: "too old", route: "chat", at: 40},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, known := e.Longest(at(c.at), c.route, c.size, c.running)
			if got != c.want || known != c.known {
				t.Errorf("got %v, %v, want %v, %v", got, known, c.want, c.known)
			}
		})
	}
}
