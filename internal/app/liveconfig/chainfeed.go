package liveconfig

import (
	"context"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// chainFeed reads accepted revisions from the revision chain that the daemons
// themselves write to the object API.
type chainFeed struct {
	objects ports.ObjectAPI
}

// Newest implements ports.RevisionFeed.
func (f chainFeed) Newest(ctx context.Context) (ports.RevisionUpdate, error) {
	object, err := f.objects.Get(ctx, configuration.ObjectName)
	if err != nil {
		return ports.RevisionUpdate{}, err
	}
	return parseChainObject(object)
}

// Await implements ports.RevisionFeed.
func (f chainFeed) Await(ctx context.Context, seen ports.StoreVersion) (ports.RevisionUpdate, error) {
	object, err := f.objects.Watch(ctx, configuration.ObjectName, ports.ObjectVersion(seen.Revision))
	if err != nil {
		return ports.RevisionUpdate{}, err
	}
	if object.Version == ports.ObjectVersion(seen.Revision) {
		return ports.RevisionUpdate{Version: seen}, nil
	}
	return parseChainObject(object)
}

// parseChainObject returns the current revision of the chain in an object. It
// fails with *configuration.CorruptChainError and then returns the version.
func parseChainObject(object ports.Object) (ports.RevisionUpdate, error) {
	update := ports.RevisionUpdate{Version: ports.StoreVersion{Revision: uint64(object.Version)}}
	chain, err := configuration.ParseChain(object.Value)
	if err != nil {
		return update, err
	}
	update.Revision = chain.Current
	return update, nil
}
