package parser

import "sort"

// All returns the objects in the order of Kinds, and by name within a kind.
func (s *Set) All() []Object {
	var all []Object
	all = appendSorted(all, s.Models)
	all = appendSorted(all, s.ModelVersions)
	all = appendSorted(all, s.Adapters)
	all = appendSorted(all, s.Fleets)
	all = appendSorted(all, s.Services)
	all = appendSorted(all, s.Teams)
	all = appendSorted(all, s.Routes)
	all = appendSorted(all, s.Rollouts)
	return appendSorted(all, s.Evacuations)
}

// Find returns the object, or nil when the set does not contain it.
func (s *Set) Find(ref Ref) Object {
	switch ref.Kind {
	case KindModel:
		return findNamed(s.Models, ref.Name)
	case KindModelVersion:
		return findNamed(s.ModelVersions, ref.Name)
	case KindAdapter:
		return findNamed(s.Adapters, ref.Name)
	case KindFleet:
		return findNamed(s.Fleets, ref.Name)
	case KindService:
		return findNamed(s.Services, ref.Name)
	case KindTeam:
		return findNamed(s.Teams, ref.Name)
	case KindRollout:
		return findNamed(s.Rollouts, ref.Name)
	case KindRoute:
		return findNamed(s.Routes, ref.Name)
	case KindEvacuation:
		return findNamed(s.Evacuations, ref.Name)
	}
	return nil
}

func findNamed[T any, P interface {
	*T
	Object
}](m map[string]P, name string) Object {
	o, found := m[name]
	if !found {
		return nil
	}
	return o
}

func appendSorted[T Object](all []Object, m map[string]T) []Object {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		all = append(all, m[name])
	}
	return all
}
