package configstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/casregister"
)

// recoveryTime is enough for a fleet whose voters were restarted to make proposals again.
const recoveryTime = recoveryDelay + 3*settleTime

// restart stops machines at the same time and starts them again after a pause.
func restart(pause time.Duration, routers ...*router) {
	for _, router := range routers {
		router.stop()
	}
	time.Sleep(pause)
	for _, router := range routers {
		router.start(false)
	}
}

// TestVolatileMajorityRestarts restarts more than half of the volatile voters at once, which lose their state.
// Acknowledged changes must be kept, and further ones accepted.
func TestVolatileMajorityRestarts(t *testing.T) {
	for _, restarted := range []int{5, 8} {
		synctest.Test(t, func(t *testing.T) {
			fleet, routers := startVolatile(t, 9)
			time.Sleep(volatileAdmissionTime)
			routers[0].mustPut(t, 0, 1)
			time.Sleep(settleTime)
			fleet.assertVoters(routers...)
			restart(500*time.Millisecond, routers[:restarted]...)
			time.Sleep(recoveryTime)
			for _, router := range routers {
				router.mustRead(t, 1)
			}
			routers[0].mustPut(t, 1, 2)
			time.Sleep(4 * settleTime)
			fleet.assertGeneration(2)
			fleet.assertVoters(routers...)
		})
	}
}

// TestVolatileSeedsRestart restarts two of the three volatile seeds before any other acceptor is a voter.
func TestVolatileSeedsRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, routers := startVolatile(t, 5)
		routers[1].mustPut(t, 0, 1)
		restart(100*time.Millisecond, routers[0], routers[1])
		time.Sleep(recoveryTime)
		routers[4].mustRead(t, 1)
		routers[3].mustPut(t, 1, 2)
	})
}

// TestNoRecoveryFromUnreachableMajority isolates most of the voters, which does not prove that they have ended. The
// others must accept nothing until the isolated ones are back with their state.
func TestNoRecoveryFromUnreachableMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, routers := startVolatile(t, 9)
		time.Sleep(volatileAdmissionTime)
		routers[0].mustPut(t, 0, 1)
		time.Sleep(settleTime)
		for _, router := range routers[:5] {
			router.setIsolated(true)
		}
		for start := time.Now(); time.Since(start) < isolationTime; {
			routers[6].assertNoQuorum(1, 2)
		}
		for _, router := range routers[:5] {
			router.setIsolated(false)
		}
		routers[6].mustPut(t, 1, 3)
		routers[0].mustRead(t, 3)
	})
}

// TestNoRecoveryFromReplacedDisks restarts two of three voters with empty disks, which is more than the fleet
// tolerates. The third must accept nothing alone, since the other two disks might come back.
func TestNoRecoveryFromReplacedDisks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newFleet(t, "a", "b", "c")
		routers := fleet.startAll(true, "a", "b", "c")
		routers[0].mustPut(t, 0, 1)
		time.Sleep(settleTime)
		routers[0].replaceDisk()
		routers[1].replaceDisk()
		restart(500*time.Millisecond, routers[0], routers[1])
		time.Sleep(recoveryTime)
		for _, router := range routers {
			router.assertNoQuorum(1, 2)
		}
	})
}

// TestRepeatedVoterRestarts restarts random volatile voters at random times, also during recoveries. A change that was
// acknowledged and broadcast must never be lost, and no older state may be read.
func TestRepeatedVoterRestarts(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 3))
				_, routers := startVolatile(t, 7)
				time.Sleep(volatileAdmissionTime)
				generation := int64(0)
				for range 6 {
					generation = putWithRetry(t, routers[random.IntN(len(routers))], generation)
					time.Sleep(3 * broadcastDelay)
					for range 1 + random.IntN(2) {
						restarts := 1 + random.IntN(len(routers)-1)
						random.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
						restart(time.Duration(random.IntN(600))*time.Millisecond, routers[:restarts]...)
						time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
						if !hasRunningVoter(routers) {
							return // no voter of the set is left, from which the fleet cannot recover
						}
					}
				}
				time.Sleep(recoveryTime)
				for _, router := range routers {
					router.mustRead(t, generation)
				}
			})
		})
	}
}

// putWithRetry proposes a change until it is acknowledged, and returns its generation.
func putWithRetry(t *testing.T, router *router, base int64) int64 {
	t.Helper()
	for deadline := time.Now().Add(2 * recoveryTime); time.Now().Before(deadline); {
		if _, _, err := router.put(base, base+1); err == nil {
			return base + 1
		}
	}
	t.Fatalf("change on generation %d was not acknowledged", base)
	return 0
}

// hasRunningVoter reports whether a current acceptor is a voter of the newest set that any router knows, and, if the
// set is joint, of its previous voters too.
func hasRunningVoter(routers []*router) bool {
	var newest casregister.Set
	for _, router := range routers {
		if current := router.store.Current(); current != nil && current.Set.Epoch >= newest.Epoch {
			newest = current.Set
		}
	}
	if newest.IsZero() {
		return false
	}
	for _, list := range [][]casregister.Acceptor{newest.Voters, newest.Previous} {
		running := 0
		for _, router := range routers {
			for _, voter := range list {
				if voter.ID == router.store.Identity() {
					running++
				}
			}
		}
		if running == 0 && len(list) > 0 {
			return false
		}
	}
	return true
}

// delayAccepts delays the accept requests to a voter.
func delayAccepts(fleet *fleet, voter *router) {
	fleet.setCallHook(func(_ *router, address string, message envelope) {
		if address == voter.address && message.Register != nil && message.Register.Kind == casregister.Accept {
			time.Sleep(5 * linkDelay)
		}
	})
}

// preemptFirstAccept makes a voter promise a higher ballot just before it receives the first accept request.
func preemptFirstAccept(fleet *fleet, voter *router) {
	var once sync.Once
	fleet.setCallHook(func(_ *router, address string, message envelope) {
		if address != voter.address || message.Register == nil || message.Register.Kind != casregister.Accept {
			return
		}
		once.Do(func() {
			higher := casregister.Request{Kind: casregister.Prepare, To: message.Register.To, Ballot: message.Register.Ballot.Next("other")}
			_, err := voter.store.serve(context.Background(), envelope{Register: &higher})
			assert.NilError(fleet.t, err)
		})
	})
}

// TestAcknowledgedChangeSurvivesLossOfAllVotersButOne restarts all volatile voters but one as soon as a change is
// acknowledged, before it is broadcast. The remaining voter was not needed for the quorum of the change: its accept
// request is delayed or preempted.
func TestAcknowledgedChangeSurvivesLossOfAllVotersButOne(t *testing.T) {
	disturbances := map[string]func(fleet *fleet, voter *router){"slow": delayAccepts, "preempted": preemptFirstAccept}
	for name, disturb := range disturbances {
		for _, fullSet := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, full set %v", name, fullSet), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet, routers := startVolatile(t, 5)
					voters := routers[:len(fleet.initial)]
					if fullSet {
						time.Sleep(volatileAdmissionTime)
						voters = routers
					}
					remaining := voters[len(voters)-1]
					disturb(fleet, remaining)
					routers[0].mustPut(t, 0, 1)
					fleet.setCallHook(nil)
					restart(100*time.Millisecond, voters[:len(voters)-1]...)
					time.Sleep(recoveryTime)
					for _, router := range routers {
						router.mustRead(t, 1)
					}
				})
			})
		}
	}
}
