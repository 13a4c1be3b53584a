package ports

import "time"

// EvacuationPull asks a daemon for its list of evacuated failure domains.
type EvacuationPull struct {
	// Have is the revision of the sender's list, and HaveEra its era.
	Have    uint64 `cbor:"1,keyasint,omitempty"`
	HaveEra uint64 `cbor:"2,keyasint,omitempty"`
}

// StoreVersion returns the version of the sender's list.
func (p *EvacuationPull) StoreVersion() StoreVersion {
	return StoreVersion{Era: p.HaveEra, Revision: p.Have}
}

// Kind implements Message.
func (*EvacuationPull) Kind() MessageKind { return KindEvacuationPull }

// EvacuationPush carries the list of evacuated failure domains.
type EvacuationPush struct {
	// Version is the platform's number of the latest change in the list, and Era the
	// era of that number.
	Version uint64 `cbor:"1,keyasint"`
	Era     uint64 `cbor:"2,keyasint,omitempty"`
	// Domains are the domains as the platform lists them.
	Domains []EvacuatedDomain `cbor:"3,keyasint,omitempty"`
	// Held are the domains of which the sender knows something from before the store
	// was restored from an older copy, against what the copy says.
	Held []HeldEvacuation `cbor:"4,keyasint,omitempty"`
}

// StoreVersion returns the version of the list.
func (p *EvacuationPush) StoreVersion() StoreVersion {
	return StoreVersion{Era: p.Era, Revision: p.Version}
}

// Kind implements Message.
func (*EvacuationPush) Kind() MessageKind { return KindEvacuationPush }

// EvacuatedDomain is a failure domain whose backend servers get no calls.
type EvacuatedDomain struct {
	Domain FailureDomain `cbor:"1,keyasint"`
	// AgeMillis is the time in milliseconds since a daemon learned of it.
	AgeMillis int64 `cbor:"2,keyasint,omitempty"`
}

// HeldEvacuation is what is known of a failure domain from before the store was restored.
type HeldEvacuation struct {
	Domain      FailureDomain `cbor:"1,keyasint"`
	IsEvacuated bool          `cbor:"2,keyasint,omitempty"`
	// AgeMillis is the time in milliseconds since a daemon learned of it, and HoldMillis
	// the time for which it holds unless the entry is written again before.
	AgeMillis  int64 `cbor:"3,keyasint,omitempty"`
	HoldMillis int64 `cbor:"4,keyasint"`
}

// EvacuationFeed is the set of evacuated failure domains, which some daemons watch at the
// platform and pass on to the other daemons.
type EvacuationFeed interface {
	// Digest returns how recent this daemon's list is.
	Digest() ServerListDigest
	// Snapshot returns the list with its version.
	Snapshot() EvacuationPush
	// Adopt replaces this daemon's list if the given one is newer. It reports whether
	// the evacuated domains changed by it.
	Adopt(list EvacuationPush) bool
	// SetWatching sets whether this daemon watches the platform's list itself.
	SetWatching(watch bool)
	// InForce returns the evacuated domains, each with the time since when that is
	// known. The result may be modified.
	InForce() map[FailureDomain]time.Time
	// OnStoreChange registers a callback that is called after the platform's answer
	// changed the evacuated domains. It must not block, and must be registered before
	// the start.
	OnStoreChange(callback func())
}

// EvacuationStatus is an evacuated failure domain as one daemon sees it.
type EvacuationStatus struct {
	Domain FailureDomain `json:"domain"`
	// Since is when this daemon, or the one from which it heard, learned of it.
	Since time.Time `json:"since"`
	// Running counts the calls of this daemon on servers of the domain, and Elsewhere
	// those that other daemons reported lately.
	Running   int `json:"running"`
	Elsewhere int `json:"elsewhere"`
}

// EvacuationView provides the evacuated failure domains for operators.
type EvacuationView interface {
	// Evacuations returns the evacuated domains, sorted by name.
	Evacuations() []EvacuationStatus
}
