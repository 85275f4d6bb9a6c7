package loader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/ranker"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

const (
	// manifestReaders is the number of agents that read the manifest of a version from
	// the origin, and the number of agents in each other region that read it from
	// them. The rest of a region reads it from the latter. The origin accepts a limited
	// number of connections, and in a large fleet the manifests alone would occupy its
	// link for a second.
	manifestReaders = 2
	// peerManifestTime is how long an agent asks other agents before it reads the
	// manifest from the origin.
	peerManifestTime = 1500 * time.Millisecond
	// peerManifestTimeout is the timeout of one request to another agent.
	peerManifestTimeout = 400 * time.Millisecond
	// manifestRetryDelay is the pause between two requests.
	manifestRetryDelay = 40 * time.Millisecond
	// anyPeerRound is how often an agent asks any other agent, in case those that it
	// should ask have died.
	anyPeerRound = 4
)

// unexpectedManifestError reports a manifest of another version.
type unexpectedManifestError struct {
	Model string
	Name  string
}

func (e *unexpectedManifestError) Error() string {
	return fmt.Sprintf("the manifest is of model %q, version %q", e.Model, e.Name)
}

// describe returns the manifest of a version, from another agent or from the origin.
func (l *Loader) describe(ctx context.Context, model string, version int) (*verifier.Manifest, error) {
	peers, position := l.Peers(ctx)
	l.setPosition(position)
	region, _ := l.Origin.Region()
	sources := manifestSources(SourcePath(model, version), l.Self, peers, region)
	until := time.Now().Add(peerManifestTime)
	silent := map[string]bool{}
	for round := 1; len(sources) > 0 && time.Now().Before(until); round++ {
		from := choosePeer(sources, silent)
		if from == nil || round%anyPeerRound == 0 {
			from = choosePeer(peers, silent)
		}
		if from == nil {
			break
		}
		m, err := l.manifestFromPeer(ctx, from, model, version)
		if err == nil {
			l.Log.Info("decision", zap.String("kind", "manifest"), zap.String("subject", SourcePath(model, version)),
				zap.String("chosen", from.GetVm()), zap.Int("round", round))
			return m, nil
		}
		silent[from.GetVm()] = isSilent(err)
		l.Log.Debug("manifest not read from an agent", zap.String("from", from.GetVm()), zap.Error(err))
		if !waiter.Wait(ctx, manifestRetryDelay/2+rand.N(manifestRetryDelay)) {
			return nil, ctx.Err()
		}
	}
	l.Log.Info("decision", zap.String("kind", "manifest"), zap.String("subject", SourcePath(model, version)), zap.String("chosen", "origin"))
	return l.Origin.Describe(ctx, model, version)
}

// choosePeer returns a random agent of the list that is not silent, or nil.
func choosePeer(list []*messenger.Peer, silent map[string]bool) *messenger.Peer {
	var candidates []*messenger.Peer
	for _, p := range list {
		if !silent[p.GetVm()] {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[rand.IntN(len(candidates))]
}

// isSilent reports whether a request failed without an answer of the agent.
func isSilent(err error) bool {
	code := status.Code(err)
	return errors.Is(err, context.DeadlineExceeded) || code == codes.DeadlineExceeded || code == codes.Unavailable
}

// manifestSources returns the agents from which an agent reads the manifest of a
// version, or none if it reads it from the origin. An empty origin region means that
// agents of all regions are equally close to it.
func manifestSources(source string, self *messenger.Peer, peers []*messenger.Peer, originRegion string) []*messenger.Peer {
	readers := firstInRegion(source, self, peers, originRegion)
	if len(readers) == 0 {
		readers = firstInRegion(source, self, peers, "")
	}
	if containsPeer(readers, self) {
		return nil
	}
	relays := firstInRegion(source, self, peers, self.GetRegion())
	if self.GetRegion() == originRegion || containsPeer(relays, self) {
		return readers
	}
	return relays
}

// firstInRegion returns the first manifestReaders agents of a region in rendezvous
// order, including self. An empty region selects all agents.
func firstInRegion(source string, self *messenger.Peer, peers []*messenger.Peer, region string) []*messenger.Peer {
	byVM := map[string]*messenger.Peer{}
	var names []string
	for _, p := range append([]*messenger.Peer{self}, peers...) {
		if region == "" || p.GetRegion() == region {
			byVM[p.GetVm()] = p
			names = append(names, p.GetVm())
		}
	}
	var out []*messenger.Peer
	for _, name := range ranker.Top(nil, source, names, manifestReaders) {
		out = append(out, byVM[name])
	}
	return out
}

func containsPeer(list []*messenger.Peer, p *messenger.Peer) bool {
	for _, other := range list {
		if other.GetVm() == p.GetVm() {
			return true
		}
	}
	return false
}

// manifestFromPeer reads a manifest from another agent, which has compared two reads of
// the origin or got it from one that has.
func (l *Loader) manifestFromPeer(ctx context.Context, p *messenger.Peer, model string, version int) (*verifier.Manifest, error) {
	ctx, cancel := context.WithTimeout(ctx, peerManifestTimeout)
	defer cancel()
	client, closer, err := l.Dial(ctx, p.GetAddress())
	if err != nil {
		return nil, err
	}
	defer closer.Close()
	reply, err := client.Manifest(ctx, &messenger.ManifestRequest{Model: model, Name: strconv.Itoa(version)})
	if err != nil {
		return nil, err
	}
	m, err := verifier.ParseManifest(reply.GetManifest())
	if err != nil {
		return nil, err
	}
	if m.Model != model || m.Name != strconv.Itoa(version) {
		return nil, &unexpectedManifestError{Model: m.Model, Name: m.Name}
	}
	return m, nil
}
