package controller

import (
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// message encodes the order as a request without a fence.
func (o order) message(c *Controller) *messenger.OrderRequest {
	switch a := o.action.(type) {
	case prepareAction:
		return &messenger.OrderRequest{Order: &messenger.OrderRequest_Prepare{Prepare: &messenger.PrepareOrder{
			Version:               versionRef(a.version),
			Policy:                a.policy,
			Peers:                 a.peers,
			OriginRegion:          c.OriginRegion,
			MaxRateBytesPerSecond: c.MaxRateBytesPerSecond,
		}}}
	case activateAction:
		return &messenger.OrderRequest{Order: &messenger.OrderRequest_Activate{Activate: &messenger.ActivateOrder{
			Version: versionRef(a.version),
		}}}
	case dropAction:
		return &messenger.OrderRequest{Order: &messenger.OrderRequest_Drop{Drop: &messenger.DropOrder{
			Digest: a.digest,
		}}}
	case adapterAction:
		return &messenger.OrderRequest{Order: &messenger.OrderRequest_LoadAdapter{LoadAdapter: &messenger.LoadAdapterOrder{
			Adapter: a.adapter.Name,
			Version: &messenger.VersionRef{
				Model:     a.model,
				Name:      a.adapter.Name,
				Digest:    a.adapter.Digest,
				Source:    a.adapter.Source,
				SizeBytes: uint64(a.adapter.SizeBytes),
			},
		}}}
	}
	return &messenger.OrderRequest{}
}

// versionRef encodes a model version.
func versionRef(v *parser.ModelVersion) *messenger.VersionRef {
	return &messenger.VersionRef{
		Model:     v.Model,
		Name:      v.Name,
		Digest:    v.Digest,
		Source:    v.Source,
		SizeBytes: uint64(v.SizeBytes),
	}
}
