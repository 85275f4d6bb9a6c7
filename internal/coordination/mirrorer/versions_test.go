package mirrorer

import (
	"maps"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func versionOf(o Object) uint64 {
	version, _ := strconv.ParseUint(string(o.Spec), 10, 64)
	return version
}

// operator writes versions to a store, and writes lost ones again.
type operator struct {
	store    *restoredStore
	versions map[string]uint64
}

func (p *operator) write(name string) {
	p.store.write(name, false)
	o := p.store.objects[name]
	o.Spec = strconv.AppendUint(nil, p.versions[name], 10)
	p.store.objects[name] = o
	p.store.history[len(p.store.history)-1].Object = o
}

func (p *operator) rewrite() {
	for name, version := range p.versions {
		if versionOf(p.store.objects[name]) != version {
			p.write(name)
		}
	}
}

// poll updates the copy of an agent from an entry daemon, or from a second one if the first
// does not have all changes.
func (m *Mirror) poll(from, second *Mirror, now time.Time) {
	u, known := from.UpdateSince(m.Revision())
	if !known {
		return
	}
	switch u := u.(type) {
	case Changes:
		u.Revision = max(u.Revision, m.Revision())
		m.apply(u, now)
	case Snapshot:
		if u.ContentRevision <= m.Revision() {
			return
		}
		if list, known := second.UpdateSince(0); known {
			s := list.(Snapshot)
			s.Objects = maps.Clone(s.Objects)
			m.replace(s, now)
		}
	}
}

// TestRestoresLeaveOldVersions guards against versions that go back in a daemon, and against
// daemons and agents that miss the latest version, after any sequence of writes, restores,
// second writes, late answers, restarts and updates from other daemons.
func TestRestoresLeaveOldVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := &restoredStore{era: 1, revision: 10, objects: map[string]Object{}}
		p := &operator{store: s, versions: map[string]uint64{}}
		s.copies = append(s.copies, s.copied())
		newMirror := func() *Mirror {
			m := newEmptyMirror()
			m.Permanent, m.Version = true, versionOf
			return m
		}
		mirrors := []*Mirror{newMirror(), newMirror(), newMirror()}
		agent := newEmptyMirror()
		agent.Permanent = true
		answers := map[*Mirror][]Update{}
		highest := map[*Mirror]map[string]uint64{}
		check := func(m *Mirror) {
			got, _ := m.Get()
			if highest[m] == nil {
				highest[m] = map[string]uint64{}
			}
			for name := range p.versions {
				version := versionOf(got.Objects[name])
				if version < highest[m][name] {
					t.Fatalf("version %d of %s after %d", version, name, highest[m][name])
				}
				highest[m][name] = version
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(mirrors)-1).Draw(t, "mirror")
			m, peer := mirrors[i], mirrors[rapid.IntRange(0, len(mirrors)-1).Draw(t, "peer")]
			switch rapid.SampledFrom([]string{"write", "other kind", "copy", "restore", "rewrite", "read", "late answer", "follow", "adopt", "restart", "poll"}).Draw(t, "step") {
			case "write":
				p.rewrite()
				name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
				p.versions[name] += uint64(rapid.IntRange(1, 3).Draw(t, "rise"))
				p.write(name)
			case "other kind":
				s.revision++
				s.history = nil
			case "copy":
				s.copies = append(s.copies, s.copied())
			case "restore":
				s.restore(s.copies[rapid.IntRange(0, len(s.copies)-1).Draw(t, "copy")])
			case "rewrite":
				p.rewrite()
			case "read":
				u := s.update(m.Revision())
				answers[m] = append(answers[m], u)
				m.read(u, now)
			case "late answer":
				if n := len(answers[m]); n > 0 {
					m.read(answers[m][rapid.IntRange(0, n-1).Draw(t, "answer")], now)
				}
			case "follow":
				m.followNewer(peer, now)
			case "adopt":
				if got, known := peer.Get(); known && m.loaded && m.versions < peer.versions {
					m.adoptLater(got, now)
				}
			case "restart":
				mirrors[i] = newMirror()
			case "poll":
				agent.poll(m, peer, now)
			}
			for _, m := range mirrors {
				check(m)
			}
		}
		p.rewrite()
		mirrors[0].read(s.update(mirrors[0].Revision()), now)
		for _, m := range mirrors[1:] {
			m.followNewer(mirrors[0], now)
		}
		agent.poll(mirrors[0], mirrors[1], now)
		for i, m := range append(mirrors, agent) {
			got, _ := m.Get()
			for name, version := range p.versions {
				if versionOf(got.Objects[name]) != version {
					t.Fatalf("mirror %d has version %d of %s, the store %d", i, versionOf(got.Objects[name]), name, version)
				}
			}
		}
	})
}

// TestAdoptedVersionIsNotPassedOn guards against a daemon that has a version from another
// daemon, lists it as well, and tells others that it has nothing newer than before.
func TestAdoptedVersionIsNotPassedOn(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	list := func(version, revision uint64) Snapshot {
		o := Object{Name: "a", Revision: JoinRevision(2, revision), Spec: strconv.AppendUint(nil, version, 10)}
		return Snapshot{Revision: o.Revision, ContentRevision: o.Revision, Objects: map[string]Object{"a": o}}
	}
	m := newEmptyMirror()
	m.Permanent, m.Version = true, versionOf
	m.replace(list(7, 30), now)
	m.adoptLater(list(10, 36), now)
	m.replace(list(10, 36), now)
	c.Assert(m.ContentRevision(), qt.Equals, JoinRevision(2, 36))
}
