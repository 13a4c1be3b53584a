package slopes

import (
	"context"
	"time"

	"hawthornstream/testbench/fleet"
)

// daemonSample holds the counters and gauges of one daemon at one time. sentBytes,
// sentMessages, vmListBytes, processorTime and the transitions are totals since the
// start of the daemon.
type daemonSample struct {
	at                 time.Time
	sentBytes          float64
	sentBytesByKind    map[string]float64
	sentMessages       float64
	vmListBytes        float64
	processorTime      time.Duration
	residentBytes      float64
	dialledSessions    float64
	suspectTransitions float64
	deadTransitions    float64
	liveDaemons        float64
}

// sampleDaemons returns a sample of each daemon, in the order of daemons.
func sampleDaemons(ctx context.Context, daemons []*fleet.Daemon) ([]daemonSample, error) {
	var samples []daemonSample
	for _, daemon := range daemons {
		sample, err := sampleDaemon(ctx, daemon)
		if err != nil {
			return nil, err
		}
		samples = append(samples, sample)
	}
	return samples, nil
}

func sampleDaemon(ctx context.Context, daemon *fleet.Daemon) (daemonSample, error) {
	metrics, err := daemon.Metrics(ctx)
	if err != nil {
		return daemonSample{}, err
	}
	processor, err := daemon.CPUTime()
	if err != nil {
		return daemonSample{}, err
	}
	resident, err := daemon.ResidentBytes()
	if err != nil {
		return daemonSample{}, err
	}
	opened := metrics.SumBySuffix("peer_sessions_opened")
	closed := metrics.SumBySuffix("peer_sessions_closed", "side", "dialled")
	return daemonSample{
		at:                 time.Now(),
		sentBytes:          metrics.SumBySuffix("peer_sent_bytes"),
		sentBytesByKind:    readSentBytesByKind(metrics),
		sentMessages:       metrics.SumBySuffix("peer_sent_messages"),
		vmListBytes:        metrics.SumBySuffix("vm_list_received_bytes"),
		processorTime:      processor,
		residentBytes:      float64(resident),
		dialledSessions:    opened - closed,
		suspectTransitions: metrics.SumBySuffix("member_transitions", "state", "suspect"),
		deadTransitions:    metrics.SumBySuffix("member_transitions", "state", "dead"),
		liveDaemons:        metrics.SumBySuffix("cluster_live_daemons"),
	}, nil
}

// readSentBytesByKind returns the bytes sent to peers by kind of message.
func readSentBytesByKind(metrics fleet.Metrics) map[string]float64 {
	sentBytes := make(map[string]float64)
	for _, sample := range metrics {
		kind, ok := sample.Labels["kind"]
		if ok {
			sentBytes[kind] = metrics.SumBySuffix("peer_sent_bytes", "kind", kind)
		}
	}
	return sentBytes
}

// newPoint computes the rates between two samples of each daemon. Both slices have the
// same order of daemons.
func newPoint(before, after []daemonSample) Point {
	point := Point{Daemons: len(after), SentBytesByKind: make(map[string]float64)}
	var sentBytes, sentMessages, vmListBytes, coreFraction, residentBytes, sessions, liveDaemons []float64
	for i, last := range after {
		first := before[i]
		seconds := last.at.Sub(first.at).Seconds()
		sentBytes = append(sentBytes, (last.sentBytes-first.sentBytes)/seconds)
		sentMessages = append(sentMessages, (last.sentMessages-first.sentMessages)/seconds)
		vmListBytes = append(vmListBytes, (last.vmListBytes-first.vmListBytes)/seconds)
		coreFraction = append(coreFraction, (last.processorTime-first.processorTime).Seconds()/seconds)
		residentBytes = append(residentBytes, last.residentBytes)
		sessions = append(sessions, last.dialledSessions)
		liveDaemons = append(liveDaemons, last.liveDaemons)
		point.Suspicions += last.suspectTransitions
		point.Deaths += last.deadTransitions
		for kind, total := range last.sentBytesByKind {
			if rate := (total - first.sentBytesByKind[kind]) / seconds; rate > 0 {
				point.SentBytesByKind[kind] += rate / float64(len(after))
			}
		}
	}
	point.SentBytes = summarize(sentBytes)
	point.SentMessages = summarize(sentMessages)
	point.VMListBytes = summarize(vmListBytes)
	point.CoreFraction = summarize(coreFraction)
	point.ResidentBytes = summarize(residentBytes)
	point.Sessions = summarize(sessions)
	point.LiveDaemons = summarize(liveDaemons)
	return point
}
