package slopes

import (
	"context"
	"time"

	"hawthornstream/testbench/fleet"
)

// reading is what one daemon had spent at one time.
type reading struct {
	at        time.Time
	sentBytes float64
	byKind    map[string]float64
	messages  float64
	listBytes float64
	processor time.Duration
	resident  float64
	sessions  float64
	suspected float64
	dead      float64
	live      float64
}

func readAll(ctx context.Context, daemons []*fleet.Daemon) ([]reading, error) {
	var readings []reading
	for _, daemon := range daemons {
		r, err := read(ctx, daemon)
		if err != nil {
			return nil, err
		}
		readings = append(readings, r)
	}
	return readings, nil
}

func read(ctx context.Context, daemon *fleet.Daemon) (reading, error) {
	metrics, err := daemon.Metrics(ctx)
	if err != nil {
		return reading{}, err
	}
	processor, err := daemon.CPUTime()
	if err != nil {
		return reading{}, err
	}
	resident, err := daemon.ResidentBytes()
	if err != nil {
		return reading{}, err
	}
	opened := metrics.SumBySuffix("peer_sessions_opened")
	closed := metrics.SumBySuffix("peer_sessions_closed", "side", "dialled")
	return reading{
		at:        time.Now(),
		sentBytes: metrics.SumBySuffix("peer_sent_bytes"),
		byKind:    byKind(metrics),
		messages:  metrics.SumBySuffix("peer_sent_messages"),
		listBytes: metrics.SumBySuffix("vm_list_received_bytes"),
		processor: processor,
		resident:  float64(resident),
		sessions:  opened - closed,
		suspected: metrics.SumBySuffix("member_transitions", "state", "suspect"),
		dead:      metrics.SumBySuffix("member_transitions", "state", "dead"),
		live:      metrics.SumBySuffix("cluster_live_daemons"),
	}, nil
}

func byKind(metrics fleet.Metrics) map[string]float64 {
	kinds := make(map[string]float64)
	for _, sample := range metrics {
		kind, ok := sample.Labels["kind"]
		if ok {
			kinds[kind] = metrics.SumBySuffix("peer_sent_bytes", "kind", kind)
		}
	}
	return kinds
}

// newPoint turns two readings of each daemon into rates.
func newPoint(before, after []reading) Point {
	point := Point{Daemons: len(after), ByKind: make(map[string]float64)}
	var bytes, messages, list, processor, resident, sessions, live []float64
	for i, now := range after {
		then := before[i]
		seconds := now.at.Sub(then.at).Seconds()
		bytes = append(bytes, (now.sentBytes-then.sentBytes)/seconds)
		messages = append(messages, (now.messages-then.messages)/seconds)
		list = append(list, (now.listBytes-then.listBytes)/seconds)
		processor = append(processor, (now.processor-then.processor).Seconds()/seconds)
		resident = append(resident, now.resident)
		sessions = append(sessions, now.sessions)
		live = append(live, now.live)
		point.Suspicions += now.suspected
		point.Deaths += now.dead
		for kind, sum := range now.byKind {
			if rate := (sum - then.byKind[kind]) / seconds; rate > 0 {
				point.ByKind[kind] += rate / float64(len(after))
			}
		}
	}
	point.SentBytes = spreadOf(bytes)
	point.SentMessages = spreadOf(messages)
	point.ListBytes = spreadOf(list)
	point.ProcessorPart = spreadOf(processor)
	point.ResidentBytes = spreadOf(resident)
	point.Sessions = spreadOf(sessions)
	point.Live = spreadOf(live)
	return point
}
