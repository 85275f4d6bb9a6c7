package crowd

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// largeName is a name that nearly fills a datagram.
var largeName = strings.Repeat("x", 48<<10)

// messages are loads of datagrams that name daemons and replicas that do not exist.
func messages() []load {
	send := func(message func(c *client, n int) map[string]any) func(c *client) {
		return func(c *client) {
			for n := 0; c.wait(time.Millisecond); n++ {
				data, err := json.Marshal(message(c, n))
				if err != nil {
					panic(err)
				}
				// A full buffer of the receiver is no reason to stop.
				_ = c.write(data)
			}
		}
	}
	// member returns a daemon on an address of the network of the test, where nothing listens.
	member := func(c *client, vm string, n int) map[string]any {
		host, _, _ := net.SplitHostPort(c.crowd.address)
		network := host[:strings.LastIndex(host, ".")]
		return map[string]any{"vm": vm, "role": "entry", "failure-domain": "z0", "ready": true, "address": fmt.Sprintf("%s.%d:%d", network, 200+n%50, 10000+n/50%50000)}
	}
	loads := []load{
		{name: "members with large names", play: send(func(c *client, n int) map[string]any {
			return map[string]any{"from": member(c, rand.Text()+largeName, n)}
		})},
		{name: "members with many revisions", play: send(func(c *client, n int) map[string]any {
			revisions := map[string]int{}
			for i := range 3000 {
				revisions[fmt.Sprint("kind-", i)] = 1
			}
			return map[string]any{"from": member(c, rand.Text(), n), "revisions": revisions}
		})},
		{name: "replicas with large addresses", play: send(func(c *client, _ int) map[string]any {
			return map[string]any{"from": member(c, "one", 1), "replica": map[string]any{"address": rand.Text() + largeName, "up": true}}
		})},
		{name: "many replicas", play: send(func(c *client, _ int) map[string]any {
			var replicas []any
			for range 1000 {
				replicas = append(replicas, map[string]any{"address": rand.Text(), "up": true})
			}
			return map[string]any{"from": member(c, "one", 1), "digest": map[string]any{"domain": "z1", "replicas": replicas}}
		})},
		{name: "load of many members", play: send(func(c *client, n int) map[string]any {
			load, demand := map[string]any{}, map[string]any{}
			for range 500 {
				load[rand.Text()], demand[rand.Text()] = map[string]any{}, 1
			}
			return map[string]any{"from": member(c, rand.Text(), n), "load": load, "demand": demand}
		})},
	}
	for i := range loads {
		loads[i].clients = 8
	}
	return loads
}

// TestMessages plays datagrams on the sockets for messages between daemons.
func TestMessages(t *testing.T) {
	t.Run("entry", func(t *testing.T) {
		play(t, func(t *testing.T) *daemon { return startPlatformEntry(t, smallestEntry) }, nil, rows("messages", messages()))
	})
	t.Run("agent", func(t *testing.T) {
		play(t, func(t *testing.T) *daemon { return startPlatformAgent(t, smallestEngine) }, nil, rows("messages", messages()))
	})
}
