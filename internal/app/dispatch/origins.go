package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/placement"
	"hawthornstream/internal/core/streamorigin"
	"hawthornstream/internal/ports"
)

const (
	// originFlushInterval is the least time between two messages with the origins of
	// streams to one daemon.
	originFlushInterval = 20 * time.Millisecond
	// maxOriginWait limits the wait for the answers of the homes of an attempt. The
	// wait is also limited to maxOriginWaitFraction of the time that the call has left.
	maxOriginWait         = 150 * time.Millisecond
	maxOriginWaitFraction = 0.25
)

// originExchange records at which software versions streams began, here and at the home
// daemons of their attempts, and asks for it. No other lock is taken while its mutex is
// held.
type originExchange struct {
	directory   ports.Directory
	transport   ports.PeerTransport
	checkpoints *originCheckpoints
	// recorded is signalled when pending is no longer empty.
	recorded chan struct{}

	mu sync.Mutex
	// hash is over daemons, which is the slice that the directory returned last.
	hash    *placement.RendezvousHash
	daemons []ports.VM
	// table has the origins of this daemon's own streams and those that other daemons
	// recorded here.
	table *streamorigin.Table
	// pending are the origins to be recorded at the home daemons.
	pending []pendingOrigin
	// queries are the channels for the answers to the open queries for an attempt.
	queries map[streamorigin.AttemptKey][]chan *ports.StreamOriginAnswer
}

type pendingOrigin struct {
	attempt ports.RequestID
	origin  streamorigin.Origin
	// regions are those in which the call may run; the origin is recorded there only.
	regions core.Regions
}

func newOriginExchange(
	directory ports.Directory, transport ports.PeerTransport, checkpoints *originCheckpoints,
) *originExchange {
	o := &originExchange{
		directory: directory, transport: transport, checkpoints: checkpoints, recorded: make(chan struct{}, 1),
		table:   streamorigin.NewTable(streamorigin.MaxEntries),
		queries: make(map[streamorigin.AttemptKey][]chan *ports.StreamOriginAnswer),
	}
	transport.Handle(ports.KindStreamOriginRecords,
		func() ports.Message { return &ports.StreamOriginRecords{} },
		func(_ ports.DaemonID, message ports.Message) {
			o.handleRecords(time.Now(), message.(*ports.StreamOriginRecords))
		})
	transport.Handle(ports.KindStreamOriginQuery,
		func() ports.Message { return &ports.StreamOriginQuery{} },
		func(from ports.DaemonID, message ports.Message) {
			o.handleQuery(time.Now(), from, message.(*ports.StreamOriginQuery))
		})
	transport.Handle(ports.KindStreamOriginAnswer,
		func() ports.Message { return &ports.StreamOriginAnswer{} },
		func(_ ports.DaemonID, message ports.Message) {
			o.handleAnswer(message.(*ports.StreamOriginAnswer))
		})
	return o
}

// recordFirstEvent records where a stream began whose first event reaches the caller.
func (o *originExchange) recordFirstEvent(
	now time.Time, attempt ports.RequestID, origin streamorigin.Origin, regions core.Regions,
) {
	o.mu.Lock()
	o.table.Record(now, streamorigin.KeyOf(attempt), origin)
	o.pending = append(o.pending, pendingOrigin{attempt: attempt, origin: origin, regions: regions})
	o.mu.Unlock()
	select {
	case o.recorded <- struct{}{}:
	default:
	}
}

// run sends the pending origins to their home daemons until stop is closed.
func (o *originExchange) run(stop <-chan struct{}) {
	timer := time.NewTimer(originFlushInterval)
	defer timer.Stop()
	for {
		select {
		case <-stop:
			return
		case <-o.recorded:
		}
		o.flush()
		timer.Reset(originFlushInterval)
		select {
		case <-stop:
			return
		case <-timer.C:
		}
	}
}

// currentHash returns the rendezvous hash over the daemons considered alive.
func (o *originExchange) currentHash() *placement.RendezvousHash {
	daemons := o.directory.Daemons()
	o.mu.Lock()
	defer o.mu.Unlock()
	// The directory replaces the slice when the daemons change, and does not modify it.
	if o.hash == nil || len(daemons) != len(o.daemons) || len(daemons) > 0 && &daemons[0] != &o.daemons[0] {
		o.hash, o.daemons = placement.NewRendezvousHash(daemons), daemons
	}
	return o.hash
}

// flush sends the pending origins to their home daemons, in one message for each.
func (o *originExchange) flush() {
	o.mu.Lock()
	pending := o.pending
	o.pending = nil
	o.mu.Unlock()
	self, hash := o.directory.Self(), o.currentHash()
	attempts := make(map[ports.DaemonID]map[streamorigin.Origin][]uint64)
	for _, p := range pending {
		for _, home := range streamorigin.Homes(self, hash, p.attempt, p.regions.Allows) {
			if attempts[home] == nil {
				attempts[home] = make(map[streamorigin.Origin][]uint64)
			}
			attempts[home][p.origin] = append(attempts[home][p.origin], uint64(streamorigin.KeyOf(p.attempt)))
		}
	}
	for home, byOrigin := range attempts {
		message := &ports.StreamOriginRecords{}
		for origin, keys := range byOrigin {
			message.Groups = append(message.Groups, ports.StreamOriginGroup{
				Service: origin.Service, SoftwareVersion: origin.SoftwareVersion, Attempts: keys,
			})
		}
		o.transport.Send(home, message)
	}
}

func (o *originExchange) handleRecords(now time.Time, message *ports.StreamOriginRecords) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, group := range message.Groups {
		origin := streamorigin.Origin{Service: group.Service, SoftwareVersion: group.SoftwareVersion}
		for _, attempt := range group.Attempts {
			o.table.Record(now, streamorigin.AttemptKey(attempt), origin)
		}
	}
}

func (o *originExchange) handleQuery(now time.Time, from ports.DaemonID, query *ports.StreamOriginQuery) {
	origin, known := o.lookUpOwn(now, streamorigin.AttemptKey(query.Attempt))
	if !known {
		origin, known = o.checkpoints.lookUp(now, streamorigin.AttemptKey(query.Attempt))
	}
	answer := &ports.StreamOriginAnswer{Attempt: query.Attempt}
	if known {
		answer.Service, answer.SoftwareVersion = origin.Service, origin.SoftwareVersion
	}
	o.transport.Send(from, answer)
}

// lookUpOwn returns what this daemon's own table holds of an attempt.
func (o *originExchange) lookUpOwn(now time.Time, key streamorigin.AttemptKey) (streamorigin.Origin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.LookUp(now, key)
}

func (o *originExchange) handleAnswer(answer *ports.StreamOriginAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, answers := range o.queries[streamorigin.AttemptKey(answer.Attempt)] {
		select {
		case answers <- answer:
		default:
			// The channel has room for one answer of each daemon that was asked.
		}
	}
}

// lookUp returns where the stream that an attempt began has its origin, and the source
// of that: this daemon's own table, the checkpoints that it read at its start, or else a
// home of the attempt. It asks the daemons that may be homes, and waits at most
// maxOriginWait for them and for the checkpoints.
func (o *originExchange) lookUp(
	ctx context.Context, attempt ports.RequestID, timeLeft time.Duration,
) (streamorigin.Origin, streamorigin.Source) {
	key := streamorigin.KeyOf(attempt)
	candidates := streamorigin.Candidates(o.directory.Self(), o.currentHash(), attempt)
	answers := make(chan *ports.StreamOriginAnswer, len(candidates))
	o.mu.Lock()
	origin, known := o.table.LookUp(time.Now(), key)
	if known {
		o.mu.Unlock()
		return origin, streamorigin.SourceOwn
	}
	o.queries[key] = append(o.queries[key], answers)
	o.mu.Unlock()
	defer o.endQuery(key, answers)
	if origin, known := o.checkpoints.lookUp(time.Now(), key); known {
		return origin, streamorigin.SourceCheckpoint
	}
	for _, candidate := range candidates {
		o.transport.Send(candidate, &ports.StreamOriginQuery{Attempt: uint64(key)})
	}
	timer := time.NewTimer(min(maxOriginWait, time.Duration(maxOriginWaitFraction*float64(timeLeft))))
	defer timer.Stop()
	loaded := o.checkpoints.loaded
	for waiting := len(candidates); waiting > 0 || loaded != nil; {
		select {
		case <-loaded:
			loaded = nil
			if origin, known := o.checkpoints.lookUp(time.Now(), key); known {
				return origin, streamorigin.SourceCheckpoint
			}
		case answer := <-answers:
			waiting--
			if answer.Service != "" {
				origin := streamorigin.Origin{Service: answer.Service, SoftwareVersion: answer.SoftwareVersion}
				o.keep(key, origin)
				return origin, streamorigin.SourceHome
			}
		case <-timer.C:
			return streamorigin.Origin{}, streamorigin.SourceUnknown
		case <-ctx.Done():
			return streamorigin.Origin{}, streamorigin.SourceUnknown
		}
	}
	return streamorigin.Origin{}, streamorigin.SourceUnknown
}

func (o *originExchange) endQuery(key streamorigin.AttemptKey, answers chan *ports.StreamOriginAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	remaining := slices.DeleteFunc(o.queries[key], func(c chan *ports.StreamOriginAnswer) bool { return c == answers })
	if len(remaining) == 0 {
		delete(o.queries, key)
		return
	}
	o.queries[key] = remaining
}

// keep records the origin of a stream that another daemon told.
func (o *originExchange) keep(attempt streamorigin.AttemptKey, origin streamorigin.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Record(time.Now(), attempt, origin)
}
