package jobdaemon

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/jobs"
	"github.com/bambooscale/bambooscale/internal/logsink"
	"github.com/bambooscale/bambooscale/internal/metrics"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// BenchmarkDecisions measures what a decision costs in the owner's loop beside the
// core: its log line and its metrics.
func BenchmarkDecisions(b *testing.B) {
	g := actor.NewGroup(context.Background(), nil)
	defer g.Stop()
	logger := &log.Logger{Level: log.InfoLevel, Handler: logsink.Start(g, io.Discard, func(w io.Writer) log.Handler { return logfmt.New(w) })}
	c := &controller{log: logger, metrics: newEntryMetrics(metrics.Start(g)), jobs: jobs.New(1, 0)}
	run := workload.RunID{Task: workload.TaskID{Job: "job-000001", Step: 1, Index: 100}, Number: 1}
	for _, d := range []struct {
		name     string
		decision jobs.Decision
	}{
		{"unplaced", jobs.Decision{Kind: jobs.TaskUnplaced, Job: "job-000001", Run: run, Detail: "no-room=690"}},
		{"ordered", jobs.Decision{Kind: jobs.RunOrdered, Job: "job-000001", Run: run, Host: "h001", Age: time.Second}},
		{"ended", jobs.Decision{Kind: jobs.RunEnded, Job: "job-000001", Run: run, Host: "h001", Detail: "done", Age: time.Second}},
	} {
		b.Run(d.name, func(b *testing.B) {
			for b.Loop() {
				c.logDecision(d.decision)
			}
		})
	}
	b.Run("pass", func(b *testing.B) {
		for b.Loop() {
			c.metrics.recordPass(time.Millisecond, jobs.PassStats{Views: 1})
		}
	})
}
