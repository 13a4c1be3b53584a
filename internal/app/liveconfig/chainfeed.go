package liveconfig

import (
	"context"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// chainFeed reads the accepted revisions from the revision chain that the
// daemons themselves keep in the object API.
type chainFeed struct {
	objects ports.ObjectAPI
}

// Newest implements ports.RevisionFeed.
func (f chainFeed) Newest(ctx context.Context) (ports.RevisionUpdate, error) {
	object, err := f.objects.Get(ctx, configuration.ObjectName)
	if err != nil {
		return ports.RevisionUpdate{}, err
	}
	return readChainObject(object)
}

// Await implements ports.RevisionFeed.
func (f chainFeed) Await(ctx context.Context, seen ports.ObjectVersion) (ports.RevisionUpdate, error) {
	object, err := f.objects.Watch(ctx, configuration.ObjectName, seen)
	if err != nil {
		return ports.RevisionUpdate{}, err
	}
	if object.Version == seen {
		return ports.RevisionUpdate{Version: seen}, nil
	}
	return readChainObject(object)
}

// readChainObject returns the current revision of a chain. It fails with
// *configuration.CorruptChainError.
func readChainObject(object ports.Object) (ports.RevisionUpdate, error) {
	update := ports.RevisionUpdate{Version: object.Version}
	chain, err := configuration.ParseChain(object.Value)
	if err != nil {
		return update, err
	}
	update.Revision = chain.Current
	return update, nil
}
