package adapter

import (
	"context"
	"fmt"
)

// MaxObjectBytes is the largest value that the object API stores.
const MaxObjectBytes = 1_000_000

// Object is one value of the object API with the version of its last write.
// Versions are taken from one counter of the whole API and only go up.
type Object struct {
	Key     string
	Value   []byte
	Version uint64
}

// Change is one event of a watch.
type Change struct {
	Object  Object
	Deleted bool
}

// ObjectAPI is the platform's store of objects. Everything that daemons agree
// on or keep goes through it.
type ObjectAPI interface {
	// Get returns a *NotFoundError when the key does not exist.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys begin with prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Create returns a *ConflictError when the key exists.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update returns a *ConflictError when the stored version differs.
	Update(ctx context.Context, key string, value []byte, version uint64) (Object, error)
	// Delete returns a *ConflictError when the stored version differs.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits for changes after the version and returns them with the
	// version to continue from. It returns no changes when the wait ends
	// without one, and a *GapError when the changes are no longer known. With a
	// *GapError the version is the one to continue from after the objects have
	// been read again.
	Watch(ctx context.Context, prefix string, after uint64) ([]Change, uint64, error)
}

// NotFoundError reports a key that does not exist.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %q does not exist", e.Key)
}

// ConflictError reports a conditional write that found another version.
type ConflictError struct {
	Key      string
	Expected uint64
	Found    uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q has version %d, expected %d", e.Key, e.Found, e.Expected)
}

// GapError reports a watch that continues from a version that is too old.
type GapError struct {
	Prefix string
	After  uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("changes of %q after version %d are no longer known", e.Prefix, e.After)
}

// TooLargeError reports a value above MaxObjectBytes.
type TooLargeError struct {
	Key   string
	Bytes int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("object %q has %d bytes, the limit is %d", e.Key, e.Bytes, MaxObjectBytes)
}

// UnavailableError reports a call without an answer. A write may have taken
// effect unless Refused is set.
type UnavailableError struct {
	Operation string
	Key       string
	Refused   bool
	Cause     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("object API: %s %q: %v", e.Operation, e.Key, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }
