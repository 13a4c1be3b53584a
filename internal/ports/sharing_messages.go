package ports

// Owners and entries name a run of an owner by the low bits of its incarnation,
// and number grants within it: these messages are the most frequent ones.

// DemandMessage tells an owner what an entry wants for one service and what
// became of the slots that it was granted.
type DemandMessage struct {
	Service ServiceName `cbor:"1,keyasint"`
	// OwnerIncarnation and Seen name the owner's last batch of grants that the entry has
	// handled.
	OwnerIncarnation ShortIncarnation `cbor:"2,keyasint,omitempty"`
	AckedSequence    uint64           `cbor:"3,keyasint,omitempty"`
	// Items replace the earlier ones of the same workspaces.
	Items []DemandItem `cbor:"4,keyasint,omitempty"`
	// Full says that the entry wants nothing but the items.
	Full    bool         `cbor:"5,keyasint,omitempty"`
	Reports []SlotReport `cbor:"6,keyasint,omitempty"`
	// Distance is how far the entry is from the owner's nearest servers.
	Distance Distance `cbor:"7,keyasint,omitempty"`
}

// ShortIncarnation distinguishes the runs of one owner.
type ShortIncarnation uint16

// ShortenIncarnation returns the name of an incarnation's run.
func ShortenIncarnation(incarnation Incarnation) ShortIncarnation {
	return ShortIncarnation(incarnation)
}

// Distance is how far apart an entry and a backend server are.
type Distance uint8

// The distances, by the cost of the link.
const (
	DistanceSameDomain Distance = iota
	DistanceSameRegion
	DistanceCrossRegion
)

// DemandItem is what an entry wants for one workspace.
type DemandItem struct {
	Workspace WorkspaceID `cbor:"1,keyasint"`
	// Class is the class of the first call in the queue, empty for the
	// service's default.
	Class ClassName `cbor:"2,keyasint,omitempty"`
	// FirstTokenInMillis is the time in milliseconds until that call wants its first
	// token. It is negative when it is late.
	FirstTokenInMillis int64 `cbor:"3,keyasint,omitempty"`
	Count              int   `cbor:"4,keyasint,omitempty"`
}

// GrantsMessage gives slots to an entry.
type GrantsMessage struct {
	Service          ServiceName      `cbor:"1,keyasint"`
	OwnerIncarnation ShortIncarnation `cbor:"2,keyasint"`
	// Sequence numbers the messages of one run to one entry.
	Sequence uint64      `cbor:"3,keyasint"`
	Grants   []GrantItem `cbor:"4,keyasint"`
}

// GrantItem is one granted slot.
type GrantItem struct {
	ID        SlotID      `cbor:"1,keyasint"`
	Workspace WorkspaceID `cbor:"2,keyasint"`
	// Class is the class that was charged for, empty for the service's default.
	Class  ClassName `cbor:"3,keyasint,omitempty"`
	Server VMName    `cbor:"4,keyasint"`
	// Address is the backend server's, for entries that may not know it yet.
	Address string `cbor:"5,keyasint,omitempty"`
	// Estimate is the cost charged in advance.
	Estimate Cost `cbor:"6,keyasint"`
}

// SlotState says what became of a slot.
type SlotState uint8

// The states of a reported slot.
const (
	// SlotReleased ends a slot after a run.
	SlotReleased SlotState = iota
	// SlotUnused gives back a slot that no call used.
	SlotUnused
	// SlotProgress reports the cost so far.
	SlotProgress
	// SlotStarted reports that a call of another class than granted uses it.
	SlotStarted
	// SlotUnknownServer gives back a slot on a server that the entry does not
	// know. From then on, grants to it carry addresses.
	SlotUnknownServer
)

// SlotReport is the news of one slot.
type SlotReport struct {
	ID    SlotID    `cbor:"1,keyasint"`
	State SlotState `cbor:"2,keyasint,omitempty"`
	Cost  Cost      `cbor:"3,keyasint,omitempty"`
	// FirstByteMillis is the time from sending to the first byte, in milliseconds
	// rounded up.
	FirstByteMillis int64       `cbor:"4,keyasint,omitempty"`
	Fault           ServerFault `cbor:"5,keyasint,omitempty"`
	// Class is the class of the call, when it is not the granted one.
	Class ClassName `cbor:"6,keyasint,omitempty"`
	// Granter and GranterRun are set when another daemon or an earlier run of
	// the owner granted the slot.
	Granter            DaemonID         `cbor:"7,keyasint,omitempty"`
	GranterIncarnation ShortIncarnation `cbor:"8,keyasint,omitempty"`
}

// HeldSlotsMessage is everything that an entry holds on the backend servers of
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
	// Charged is the cost that was charged before.
	Charged Cost `cbor:"7,keyasint"`
}

// ChargesMessage is an owner's state of the workspaces that have a backlog there.
type ChargesMessage struct {
	Service     ServiceName       `cbor:"1,keyasint"`
	Incarnation Incarnation       `cbor:"2,keyasint"`
	Sequence    uint64            `cbor:"3,keyasint"`
	Charges     []WorkspaceCharge `cbor:"4,keyasint,omitempty"`
	// Floor is the owner's highest counter of a workspace that was served.
	Floor int64 `cbor:"5,keyasint,omitempty"`
}

// WorkspaceCharge is the service of one workspace in cost units.
type WorkspaceCharge struct {
	Workspace WorkspaceID `cbor:"1,keyasint"`
	// Charged is the cost charged in the backlog that Period numbers.
	Charged       int64  `cbor:"2,keyasint"`
	BacklogNumber uint64 `cbor:"3,keyasint"`
	Level         int64  `cbor:"4,keyasint,omitempty"`
	Waiting       bool   `cbor:"5,keyasint,omitempty"`
}

// Kind implements Message.
func (*DemandMessage) Kind() MessageKind { return KindDemand }

// Kind implements Message.
func (*GrantsMessage) Kind() MessageKind { return KindGrants }

// Kind implements Message.
func (*HeldSlotsMessage) Kind() MessageKind { return KindHeldSlots }

// Kind implements Message.
func (*ChargesMessage) Kind() MessageKind { return KindCharges }
