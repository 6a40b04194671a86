package apricotway

import (
	"context"
	"time"
)

// ServiceFunc adapts a function to suture's Service interface, so that a constructor can run its goroutine under the supervisor
// that it is given.
type ServiceFunc struct {
	// Name is the name in the supervisor's logs.
	Name string
	// Func should run until its context ends; when it returns earlier, the supervisor restarts it.
	Func func(ctx context.Context) error
}

// Serve calls Func. It implements suture.Service.
func (s ServiceFunc) Serve(ctx context.Context) error { return s.Func(ctx) }

// String returns the name, which suture logs.
func (s ServiceFunc) String() string { return s.Name }

// Periodic returns a service that calls do once per period with the current time until its context ends. The first call comes after
// one period.
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
