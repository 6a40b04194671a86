package apricotway

import (
	"context"
	"time"
)

// ServiceFunc adapts a closure to the service interface of the supervisor library, so that a constructor can register its
// goroutine with the supervisor that it is given.
type ServiceFunc struct {
	// Name is shown in the supervisor's reports.
	Name string
	// Func runs until its context ends; when it returns earlier, the supervisor starts it again.
	Func func(ctx context.Context) error
}

// Serve runs the closure.
func (s ServiceFunc) Serve(ctx context.Context) error { return s.Func(ctx) }

// String returns the name.
func (s ServiceFunc) String() string { return s.Name }

// Periodic returns a service that runs do at the end of each period, with the time of that end, until its context ends.
func Periodic(name string, period time.Duration, do func(ctx context.Context, now time.Time)) ServiceFunc {
	return ServiceFunc{Name: name, Func: func(ctx context.Context) error {
		ticker := time.NewTicker(period)
		defer ticker.Stop()

		for {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case now := <-ticker.C:
				do(ctx, now)
			}
		}
	}}
}
