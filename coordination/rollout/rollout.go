// Package rollout tells which builds the processes of the system run, so that operators see how far a roll-out is.
package rollout

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"github.com/apricotway/apricotway"
	"github.com/apricotway/apricotway/internal/pause"
)

const (
	// lifetime is how long others keep the announcement of a build, and renewal the time between two announcements. At 390 processes one of
	// them announces its build every 23 s.
	lifetime = 6 * time.Hour
	renewal  = 150 * time.Minute
	// announceRetry is the pause after an announcement that was refused.
	announceRetry = time.Second
	// untold is the build of the processes that have not told it, as those of builds before this package.
	untold = "untold"
)

// announcement is the payload of a broadcast; the key is the process.
type announcement struct {
	Build string `json:"build"`
}

// Member is a process with its build.
type Member struct {
	Node  apricotway.NodeID      `json:"node"`
	Zone  apricotway.Zone        `json:"zone"`
	State apricotway.MemberState `json:"state"`
	Build string                 `json:"build"`
}

// Rollout announces the build of this process and knows those of the others.
type Rollout struct {
	broadcasts apricotway.Broadcasts
	membership apricotway.Membership
	build      string
	logger     logr.Logger
}

// Option configures a Rollout.
type Option func(*Rollout)

// WithLogger sets the logger.
func WithLogger(logger logr.Logger) Option { return func(r *Rollout) { r.logger = logger } }

// New returns a Rollout of a process of the given build and adds its goroutine to the supervisor.
func New(
	supervisor *suture.Supervisor, broadcasts apricotway.Broadcasts, membership apricotway.Membership, build string, options ...Option,
) *Rollout {
	r := &Rollout{broadcasts: broadcasts, membership: membership, build: build, logger: logr.Discard()}
	for _, option := range options {
		option(r)
	}

	apricotway.SubscribeValue(broadcasts, apricotway.TopicBuild, func(node string, _ uint64, told announcement) {
		if told.Build != r.build {
			r.logger.Info("learned of a process of another build", "event", 247, "member", node, "memberBuild", told.Build, "build", r.build)
		}
	})

	supervisor.Add(apricotway.ServiceFunc{Name: "build", Func: func(ctx context.Context) error {
		for {
			wait := renewal

			err := apricotway.PublishValue(r.broadcasts, apricotway.TopicBuild, string(r.membership.Self().Node),
				uint64(time.Now().UnixMilli()), lifetime, announcement{Build: r.build})
			if err != nil {
				wait = announceRetry
			}

			if !pause.For(ctx, wait) {
				return ctx.Err()
			}
		}
	}})

	return r
}

// Build returns the build of this process.
func (r *Rollout) Build() string { return r.build }

// Members returns the processes that are not dead, this one included, with their builds.
func (r *Rollout) Members() []Member {
	builds := map[apricotway.NodeID]string{}

	for _, entry := range r.broadcasts.Latest(apricotway.TopicBuild) {
		var told announcement
		if json.Unmarshal(entry.Payload, &told) == nil {
			builds[apricotway.NodeID(entry.Key)] = told.Build
		}
	}

	self := r.membership.Self()
	builds[self.Node] = r.build

	var members []Member

	for _, m := range append(r.membership.Members(), self) {
		if m.State == apricotway.MemberDead {
			continue
		}

		build := builds[m.Node]
		if build == "" {
			build = untold
		}

		members = append(members, Member{Node: m.Node, Zone: m.Zone, State: m.State, Build: build})
	}

	return members
}

// Register registers the metrics.
func (r *Rollout) Register(registerer prometheus.Registerer) {
	registerer.MustRegister(collector{r, prometheus.NewDesc("apricotway_members_by_build",
		"Known processes that are not dead, with this one, by build.", []string{"build"}, nil)})
	registerer.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "apricotway_build_info", Help: "1, with the build of this process.", ConstLabels: prometheus.Labels{"build": r.build},
	}, func() float64 { return 1 }))
}

// collector collects the number of processes by build.
type collector struct {
	rollout *Rollout
	metric  *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (c collector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- c.metric }

// Collect implements prometheus.Collector.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	counts := map[string]int{}
	for _, m := range c.rollout.Members() {
		counts[m.Build]++
	}

	for build, count := range counts {
		metrics <- prometheus.MustNewConstMetric(c.metric, prometheus.GaugeValue, float64(count), build)
	}
}
