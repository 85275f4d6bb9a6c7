package adapter

import "context"

// WeightSource is the origin of model weights. It limits the rate of reads.
type WeightSource interface {
	// Manifest returns the encoded manifest of a version.
	Manifest(ctx context.Context, source string) ([]byte, error)
	// ReadRange returns exactly length bytes of the version's weights, starting
	// at offset.
	ReadRange(ctx context.Context, source string, offset, length int64) ([]byte, error)
}

// ListedVM is an entry of the platform's VM list.
type ListedVM struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs. It may be stale.
type VMList interface {
	List(ctx context.Context) ([]ListedVM, error)
}
