package mirrorer

// eraUnit is the distance of the revisions of two eras. Revisions of a store stay below
// it, and the era can be read off the digits: 2000000000031 is revision 31 of era 2.
const eraUnit = 1_000_000_000_000

// JoinRevision returns the position of a revision in the history of a store. A store that
// is restored from an earlier copy gives out its latest revisions again, in a new era. All
// positions of an era are above those of the earlier ones, so that what a restored store
// says is newer than what was known before, although its revision is lower.
func JoinRevision(era, revision uint64) uint64 { return era*eraUnit + revision%eraUnit }

// Era returns the era of a position. It is 0 for stores that have no eras.
func Era(position uint64) uint64 { return position / eraUnit }

// StoreRevision returns the revision that a position has in its era.
func StoreRevision(position uint64) uint64 { return position % eraUnit }
