package brain

import "time"

// Tuning constants of the decision logic.

const (
	rankInterval = 250 * time.Millisecond // D: reports are rarely fresher, and only the sample is ranked

	burstSamples   = 64               // m, in arrivals: with fewer the index of dispersion I is too noisy
	burstMinSpan   = time.Second      // a shorter sample shows no rate change and is widened to 2m arrivals
	burstLags      = 8                // autocorrelation lags: m/8, since estimates beyond it are noise
	burstTripLevel = 3.0              // I: a Poisson stream scatters around 1 and hardly passes 3 at this m
	burstHold      = 10 * time.Second // after the last trip, in case the end of a burst is not detected

	minSampleSize      = 12              // servers: well above power-of-d choices, yet warm on a quiet node
	samplePerRequest   = 1.5             // servers per own request in flight: choice without new connections
	maxServersSearched = 1000            // servers examined for one request if the sample has none for it
	rotateInterval     = 8 * time.Second // how often a server from outside replaces the worst of the sample

	reportLag        = 0.3  // seconds that a load report may lag behind this node's sends
	reportDecay      = 0.1  // seconds: time constant at which a report yields to the exact own counts
	reportMaxAge     = 30.0 // seconds: older reports are ignored
	reportMeanMaxAge = 2.0  // seconds: older reports do not enter the mean
	ownCountSharers  = 4.0  // nodes sharing a server up to which own requests alone indicate its load

	overdueDeviations = 6.0                   // deviations over the mean that make an attempt overdue
	overdueInterval   = 10 * time.Millisecond // how often overdue attempts are checked

	repeatTokensPerRequest = 0.2  // further attempts per request after one that may have run
	retryTokensPerRequest  = 0.2  // further attempts per request after one that never ran
	maxBudgetTokens        = 10.0 // capacity of either token bucket
	queueInterval          = 20 * time.Millisecond
	answerMargin           = 30 * time.Millisecond // a held request is answered this long before its deadline

	homesPerKey         = 2   // the second home replaces an overloaded or unresponsive first
	ringPointsPerServer = 8   // for a server of mean size
	homeOverloadRatio   = 2.0 // times the mean load per size above which a home counts as overloaded

	errorWeight       = 0.15            // weight of one outcome in a server's error rate
	ejectMinErrorRate = 0.5             // no ejection below this error rate: random runs of errors stay below
	ejectErrorRatio   = 2.5             // times the error rate of the other servers
	ejectBase         = 2 * time.Second // first ejection; doubled at each relapse
	ejectMax          = 16 * time.Second
	maxEjectedShare   = 0.5             // of the fleet
	pauseMax          = 8 * time.Second // after refusals by a server; the first pause is D, doubled at each
	maxFailedProbes   = 2               // in a row, from which on a server counts as unresponsive
	stallRatio        = 4.0             // mean latencies without a response while requests are in flight

	coldMaxHeld  = 1.5 // requests held per size up to which cold servers may be sent more than they answer
	coldIdleGain = 3.0 // times what idle cold servers answer; rule 4 allows such a multiple of their capacity

	aimShare          = 0.75 // of an aim that the expected time may use, since answers scatter around it
	cheaperClassShare = 0.85 // of the limit left to each cheaper class, to reserve room for dearer ones
	regressionRate    = 0.03 // weight of one answer in the regression of time on load score
	regressionPrior   = 0.05 // weight of the prior, proportionality, in squared mean load scores

	reportBindingAge = 100 * time.Millisecond // times nodes sharing a server: older reports refuse nothing
	reportFreshAge   = 500 * time.Millisecond // a younger report outweighs own answers since

	tenantDecay = 3.0 // seconds: time constant of the arrival counts of tenants

	idleMaxHeld = 2.0 // requests held per size up to which nothing queues: such a server is never overloaded

	probeShare  = 0.008                  // of the result that probes may cost
	maxProbes   = 3.0                    // per request, even if probes cost nothing
	probeMinAge = 150 * time.Millisecond // a report younger than this is not refreshed
)
