package adapter

import "context"

// WeightSource is the rate-limited origin of weights.
type WeightSource interface {
	// Manifest returns the manifest of a version as stored.
	Manifest(ctx context.Context, source string) ([]byte, error)
	// ReadRange returns exactly length bytes of the version's weights.
	ReadRange(ctx context.Context, source string, offset, length int64) ([]byte, error)
}

// ListedVM is one entry of the platform's list of VMs.
type ListedVM struct {
	VM      string `json:"vm"`
	Leaving bool   `json:"leaving"`
}

// VMList is the platform's list of live and leaving VMs. It lags.
type VMList interface {
	List(ctx context.Context) ([]ListedVM, error)
}
