package membership

import "time"

// Intervals and timeouts of the failure detection.
const (
	// HeartbeatEvery is the interval between a member's heartbeats, and between calls of Tick.
	HeartbeatEvery = 250 * time.Millisecond
	// probeSilence is the silence after which a monitor probes the member, directly and indirectly.
	probeSilence = 700 * time.Millisecond
	// suspectSilence is the silence after which a monitor suspects the member.
	suspectSilence = 1100 * time.Millisecond
	// takeoverSilence is the longest silence that a new monitor assumes when it starts to monitor the member.
	takeoverSilence = 300 * time.Millisecond
	// refutationTimeout is how long a suspected member has to refute the suspicion.
	refutationTimeout = 800 * time.Millisecond
	// confirmedRefutationTimeout is the same once a second monitor confirms the suspicion.
	confirmedRefutationTimeout = 350 * time.Millisecond
	// nonLiveReporterDelay delays a failure that was published by a member that is not live here. After a network
	// partition, the members on either side have failed those on the other side; each refutes as soon as it learns of
	// it.
	nonLiveReporterDelay = 700 * time.Millisecond
	// lateTickThreshold is the delay of a tick from which on this router's own observations count as unreliable.
	lateTickThreshold = 200 * time.Millisecond
	// maxUnreliableTime bounds how long they count as unreliable after one late tick.
	maxUnreliableTime = 1500 * time.Millisecond
	// failedRetention is how long a failed member is retained, for reconnection.
	failedRetention = 15 * time.Minute
	// leftRetention is the same for a member that left.
	leftRetention = 2 * time.Minute
)
