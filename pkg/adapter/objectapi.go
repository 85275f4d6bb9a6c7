package adapter

import (
	"context"
	"fmt"
)

// MaxObjectBytes is the maximum size of a value in the object API.
const MaxObjectBytes = 1_000_000

// Object is a key and value of the object API.
type Object struct {
	Key   string
	Value []byte
	// Version is the version of the last write. All objects share one version
	// counter, which only increases within an era.
	Version uint64
	// Era is the era of the store that returned the object. It rises by one each
	// time the store is restored from an earlier copy. Versions of different eras
	// cannot be compared.
	Era uint64
}

// Change is a write or a deletion that a watch returns.
type Change struct {
	Object  Object
	Deleted bool
}

// ObjectAPI is the platform's object store. Daemons use it for everything that has
// to be coordinated or stored durably.
type ObjectAPI interface {
	// Get returns a *NotFoundError when the key does not exist.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys have the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Create returns a *ConflictError when the key already exists.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update returns a *ConflictError when the stored version is not version.
	Update(ctx context.Context, key string, value []byte, version uint64) (Object, error)
	// Delete returns a *ConflictError when the stored version is not version.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits for changes after the version and returns them with the
	// version from which to continue. It returns no changes when the wait times
	// out, and a *GapError when the history no longer contains the changes. After
	// a *GapError the caller lists the objects again and then continues from the
	// returned version.
	Watch(ctx context.Context, prefix string, after uint64) ([]Change, uint64, error)
}

// EraReporter is implemented by an ObjectAPI that knows the era of its store.
type EraReporter interface {
	// Era returns the highest era in the responses so far.
	Era() uint64
}

// EraOf returns the highest known era of the store, or 0 if the client does not
// report it.
func EraOf(api ObjectAPI) uint64 {
	if reporter, ok := api.(EraReporter); ok {
		return reporter.Era()
	}
	return 0
}

// NotFoundError reports a key that does not exist.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %q does not exist", e.Key)
}

// ConflictError reports a conditional write that failed because the stored version
// was not the expected one.
type ConflictError struct {
	Key      string
	Expected uint64
	Found    uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q has version %d, expected %d", e.Key, e.Found, e.Expected)
}

// GapError reports a watch from a version that is older than the history of
// changes.
type GapError struct {
	Prefix string
	After  uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("changes of %q after version %d are no longer in the history", e.Prefix, e.After)
}

// TooLargeError reports a value larger than MaxObjectBytes.
type TooLargeError struct {
	Key   string
	Bytes int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("object %q has %d bytes, the limit is %d", e.Key, e.Bytes, MaxObjectBytes)
}

// UnavailableError reports a call that failed without a usable response.
type UnavailableError struct {
	Operation string
	Key       string
	// Refused reports that a write has not taken effect. Without it, the write
	// may or may not have taken effect.
	Refused bool
	Cause   error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("object API: %s %q: %v", e.Operation, e.Key, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }
