package router

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/claimer"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// agentReconnectTime is the time in which the agents find a daemon that has started
// after all others were down.
const agentReconnectTime = 20 * time.Second

// callCollector asks the agents of services for the calls with a claim that they
// have started.
type callCollector struct {
	Agents []*messenger.Replica
	Dial   func(address string) (messenger.AgentClient, error)
	Log    *logger.Logger

	running sync.WaitGroup
	mu      sync.Mutex
	found   claimer.StartedCalls
}

// startedCalls returns the calls of the claim shards at all agents of services that
// this daemon knows.
func (d *daemon) startedCalls(ctx context.Context, shards []uint32) claimer.StartedCalls {
	now := time.Now()
	c := &callCollector{Dial: d.agents.Dial, Log: d.log}
	for _, r := range d.membership.Replicas(now) {
		if r.Replica.GetService() != "" {
			c.Agents = append(c.Agents, r.Replica)
		}
	}
	if revision := d.configuration.Current(); revision != nil && now.Sub(d.started) < agentReconnectTime {
		c.found.Unanswered = incompleteServices(revision.Set, c.Agents)
	}
	return c.collect(ctx, shards)
}

// incompleteServices returns the services with fewer known agents than configured
// replicas.
func incompleteServices(set *parser.Set, agents []*messenger.Replica) []string {
	missing := map[string]int{}
	for _, f := range set.Fleets {
		missing[f.Service] += f.Replicas
	}
	for _, agent := range agents {
		missing[agent.GetService()]--
	}
	delete(missing, "")
	var incomplete []string
	for service, n := range missing {
		if n > 0 {
			incomplete = append(incomplete, service)
		}
	}
	return incomplete
}

func (c *callCollector) collect(ctx context.Context, shards []uint32) claimer.StartedCalls {
	for _, agent := range c.Agents {
		c.running.Add(1)
		go c.run(ctx, agent, shards)
	}
	c.running.Wait()
	slices.Sort(c.found.Unanswered)
	c.found.Unanswered = slices.Compact(c.found.Unanswered)
	return c.found
}

// run asks one agent.
func (c *callCollector) run(ctx context.Context, agent *messenger.Replica, shards []uint32) {
	defer c.running.Done()
	var reply *messenger.ClaimedCallsReply
	client, err := c.Dial(agent.GetAddress())
	if err == nil {
		reply, err = client.ClaimedCalls(ctx, &messenger.ClaimedCallsRequest{Shards: shards})
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || reply.GetIncomplete() {
		c.Log.Warn("calls of an agent are not known", zap.String("agent", agent.GetVm()), zap.Bool("incomplete", reply.GetIncomplete()), zap.Error(err))
		c.found.Unanswered = append(c.found.Unanswered, agent.GetService())
	}
	for _, call := range reply.GetCalls() {
		c.found.Calls = append(c.found.Calls, claimer.StartedCall{
			Claim: &messenger.ClaimRequest{
				Key: call.GetKey(), BodyDigest: call.GetBodyDigest(), Service: agent.GetService(), Attempt: call.GetAttempt(),
				AgentAddress: agent.GetAddress(), AgentIncarnation: agent.GetIncarnation(),
			},
			StartedAt: now.Add(-time.Duration(call.GetAgeMs()) * time.Millisecond),
		})
	}
}
