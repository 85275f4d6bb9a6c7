package matcher

import "slices"

// Regions are the regions in which a request may be served. Nil means any region, and an empty
// list means none.
type Regions []string

// Allows reports whether a request may be served in a region. A replica whose region is unknown
// has an empty one, which no restricted request may use.
func (r Regions) Allows(region string) bool {
	return r == nil || region != "" && slices.Contains(r, region)
}

// Covers reports whether requests may be served in all regions that others allow.
func (r Regions) Covers(others Regions) bool {
	if r == nil || others == nil {
		return r == nil
	}
	for _, region := range others {
		if !slices.Contains(r, region) {
			return false
		}
	}
	return true
}

// CommonRegions returns the regions that both lists allow. It is nil only if both are.
func CommonRegions(a, b Regions) Regions {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	common := make(Regions, 0, min(len(a), len(b)))
	for _, region := range a {
		if slices.Contains(b, region) {
			common = append(common, region)
		}
	}
	return common
}
