package ports

// These messages are the most frequent ones. To keep them small, owners and
// entries identify an owner's incarnation by its low bits and number grants
// within it.

// DemandMessage reports to a shard owner an entry's demand for one service and
// what became of the slots that the entry was granted.
type DemandMessage struct {
	Service ServiceName `cbor:"1,keyasint"`
	// OwnerIncarnation and AckedSequence identify the owner's last GrantsMessage
	// that the entry has handled.
	OwnerIncarnation ShortIncarnation `cbor:"2,keyasint,omitempty"`
	AckedSequence    uint64           `cbor:"3,keyasint,omitempty"`
	// Items replace the previous items of the same workspaces.
	Items []DemandItem `cbor:"4,keyasint,omitempty"`
	// Full is true if Items are the entry's entire demand. Otherwise, the demand of
	// other workspaces is unchanged.
	Full    bool         `cbor:"5,keyasint,omitempty"`
	Reports []SlotReport `cbor:"6,keyasint,omitempty"`
	// Distance is the distance between the entry and the owner's nearest backend
	// servers.
	Distance Distance `cbor:"7,keyasint,omitempty"`
}

// ShortIncarnation is the low bits of a shard owner's incarnation.
type ShortIncarnation uint16

// ShortenIncarnation returns the low bits of an incarnation.
func ShortenIncarnation(incarnation Incarnation) ShortIncarnation {
	return ShortIncarnation(incarnation)
}

// Distance is the network distance between an entry and a backend server.
type Distance uint8

// The distances, in ascending order of the cost of the link.
const (
	DistanceSameDomain Distance = iota
	DistanceSameRegion
	DistanceCrossRegion
)

// DemandItem is an entry's demand for one workspace: Count slots, zero for no
// more demand.
type DemandItem struct {
	Workspace WorkspaceID `cbor:"1,keyasint"`
	// Class is the class of the first call in the queue; empty for the service's
	// default class.
	Class ClassName `cbor:"2,keyasint,omitempty"`
	// FirstTokenInMillis is the time in milliseconds until the target for the first
	// token of that call. It is negative if the call is late.
	FirstTokenInMillis int64 `cbor:"3,keyasint,omitempty"`
	Count              int   `cbor:"4,keyasint,omitempty"`
}

// GrantsMessage grants slots to an entry.
type GrantsMessage struct {
	Service          ServiceName      `cbor:"1,keyasint"`
	OwnerIncarnation ShortIncarnation `cbor:"2,keyasint"`
	// Sequence numbers the messages of one incarnation of the owner to one entry.
	Sequence uint64      `cbor:"3,keyasint"`
	Grants   []GrantItem `cbor:"4,keyasint"`
}

// GrantItem is one granted slot.
type GrantItem struct {
	ID        SlotID      `cbor:"1,keyasint"`
	Workspace WorkspaceID `cbor:"2,keyasint"`
	// Class is the class that was charged; empty for the service's default class.
	Class  ClassName `cbor:"3,keyasint,omitempty"`
	Server VMName    `cbor:"4,keyasint"`
	// Address is the address of the backend server, for entries that may not know
	// it yet.
	Address string `cbor:"5,keyasint,omitempty"`
	// Estimate is the cost that was charged in advance.
	Estimate Cost `cbor:"6,keyasint"`
}

// SlotState is what became of a granted slot.
type SlotState uint8

// The states of a reported slot.
const (
	// SlotReleased returns a slot after a run.
	SlotReleased SlotState = iota
	// SlotUnused returns a slot that no call used.
	SlotUnused
	// SlotProgress reports the cost of a run so far.
	SlotProgress
	// SlotStarted reports that a call of another class than the granted one uses
	// the slot.
	SlotStarted
	// SlotUnknownServer returns a slot on a backend server that the entry does not
	// know. From then on, the grants to this entry carry addresses.
	SlotUnknownServer
)

// SlotReport reports a change of one slot.
type SlotReport struct {
	ID    SlotID    `cbor:"1,keyasint"`
	State SlotState `cbor:"2,keyasint,omitempty"`
	Cost  Cost      `cbor:"3,keyasint,omitempty"`
	// FirstByteMillis is the time from sending the request to the first byte of the
	// answer, in milliseconds rounded up.
	FirstByteMillis int64       `cbor:"4,keyasint,omitempty"`
	Fault           ServerFault `cbor:"5,keyasint,omitempty"`
	// Class is the class of the call, if it differs from the granted one.
	Class ClassName `cbor:"6,keyasint,omitempty"`
	// Granter and GranterIncarnation are set if the slot was granted by another
	// daemon or by an earlier incarnation of the owner.
	Granter            DaemonID         `cbor:"7,keyasint,omitempty"`
	GranterIncarnation ShortIncarnation `cbor:"8,keyasint,omitempty"`
}

// HeldSlotsMessage lists all slots that an entry holds on the backend servers of
// one owner and service.
type HeldSlotsMessage struct {
	Service          ServiceName      `cbor:"1,keyasint"`
	OwnerIncarnation ShortIncarnation `cbor:"2,keyasint,omitempty"`
	AckedSequence    uint64           `cbor:"3,keyasint,omitempty"`
	Slots            []HeldSlot       `cbor:"4,keyasint,omitempty"`
}

// HeldSlot is one slot that an entry holds.
type HeldSlot struct {
	ID                 SlotID           `cbor:"1,keyasint"`
	Granter            DaemonID         `cbor:"2,keyasint"`
	GranterIncarnation ShortIncarnation `cbor:"3,keyasint"`
	Workspace          WorkspaceID      `cbor:"4,keyasint"`
	Class              ClassName        `cbor:"5,keyasint"`
	Server             VMName           `cbor:"6,keyasint"`
	// Charged is the cost that has been charged for the slot so far.
	Charged Cost `cbor:"7,keyasint"`
}

// ChargesMessage reports to other shard owners what the sender has charged the
// workspaces that have a backlog there.
type ChargesMessage struct {
	Service     ServiceName       `cbor:"1,keyasint"`
	Incarnation Incarnation       `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"`
	Charges     []WorkspaceCharge `cbor:"4,keyasint,omitempty"`
	// Floor is the highest level known to the owner at which a workspace was
	// served.
	Floor int64 `cbor:"5,keyasint,omitempty"`
}

// WorkspaceCharge is what one owner has charged one workspace, in cost units.
type WorkspaceCharge struct {
	Workspace WorkspaceID `cbor:"1,keyasint"`
	// Charged is the cost charged since the start of the current backlog, which
	// BacklogNumber numbers within the owner's incarnation.
	Charged       int64  `cbor:"2,keyasint"`
	BacklogNumber uint64 `cbor:"3,keyasint"`
	// Level is the workspace's level as the owner sees it; see ServiceStatus.Levels.
	Level int64 `cbor:"4,keyasint,omitempty"`
	// Waiting is true if the workspace waits for slots of the owner.
	Waiting bool `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*DemandMessage) Kind() MessageKind { return KindDemand }

// Kind implements Message.
func (*GrantsMessage) Kind() MessageKind { return KindGrants }

// Kind implements Message.
func (*HeldSlotsMessage) Kind() MessageKind { return KindHeldSlots }

// Kind implements Message.
func (*ChargesMessage) Kind() MessageKind { return KindCharges }
