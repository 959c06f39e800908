package cluster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pewterrudder/internal/router/membership"
	"pewterrudder/internal/router/relaytree"
	"pewterrudder/internal/router/softstate"
)

func TestAllStartAtOnce(t *testing.T) {
	for _, size := range []int{1, 2, 9, 92} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(t, size, 3, uint64(size))
				f.startAll()
				t.Logf("all agree after %v", f.eventually(time.Second, "start", f.converged))
				for _, r := range f.routers {
					<-r.cluster.Synchronized()
				}
			})
		})
	}
}

func TestSomeSeedsUnreachable(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 12, 3, 1)
		f.seeds = []string{"10.9.9.9:7680", addressOf(4), "10.9.9.8:7680"}
		f.startAll()
		t.Logf("all agree after %v", f.eventually(1500*time.Millisecond, "start", f.converged))
	})
}

// TestNoSeedAnswers checks that a router synchronizes without any peer only at the fleet's first start.
func TestNoSeedAnswers(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 2, 1, 1)
		f.seeds = []string{"10.9.9.9:7680"}
		f.start(f.routers[0], true)
		f.start(f.routers[1], false)
		time.Sleep(2 * time.Second)
		<-f.routers[0].cluster.Synchronized()
		select {
		case <-f.routers[1].cluster.Synchronized():
			t.Fatal("synchronized without a peer")
		default:
		}
	})
}

func TestRecordReachesAll(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 92, 3, 1)
		f.startAndSettle()
		for i := range 20 {
			key := fmt.Sprint(i)
			f.routers[f.rng.IntN(92)].publish(key, "value")
			f.eventually(100*time.Millisecond, "record", allHold(f.routers, key, "value"))
		}
	})
}

// TestRelayFails checks that a record reaches all other routers although a relay fails right before it is published.
func TestRelayFails(t *testing.T) {
	faults := map[string]func(f *fleet, r *router){
		"killed":   func(f *fleet, r *router) { f.kill(r, true) },
		"no power": func(f *fleet, r *router) { f.kill(r, false) },
		"frozen":   func(f *fleet, r *router) { f.freeze(r, 10*time.Second); r.running = false },
	}
	// A closed port refuses the connection at once; a silent relay is noticed only when its acknowledgement times out.
	limits := map[string]time.Duration{"killed": 150 * time.Millisecond, "no power": time.Second, "frozen": time.Second}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(t, 92, 3, 7)
				f.startAndSettle()
				for i := range 4 {
					running := f.running()
					origin := running[f.rng.IntN(len(running))]
					relay := f.randomRelay(origin)
					fault(f, relay)
					origin.publish(fmt.Sprint(i), "value")
					took := f.eventually(limits[name], "record", allHold(f.running(), fmt.Sprint(i), "value"))
					t.Logf("%s of %s: %v", relay.member.Node, origin.member.Node, took)
					time.Sleep(3 * time.Second) // until the failure is known to all
				}
			})
		})
	}
}

// randomRelay returns a random child of the origin in its relay tree.
func (f *fleet) randomRelay(origin *router) *router {
	children := relaytree.Children(origin.cluster.View(), origin.member.Node, origin.member.Node)
	node := children[f.rng.IntN(len(children))].Node
	for _, r := range f.running() {
		if r.member.Node == node {
			return r
		}
	}
	f.t.Fatalf("%s does not run", node)
	return nil
}

// TestLostRecordIsDetected merges a record at one member without relaying it. The table hashes in its heartbeats must
// reveal the difference.
func TestLostRecordIsDetected(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 4, 2, 7)
		f.startAndSettle()
		for i := range 20 {
			time.Sleep(time.Duration(1000+f.rng.IntN(1000)) * time.Millisecond)
			key := fmt.Sprint(i)
			record := softstate.Record{Kind: testKind, Key: key, Version: softstate.Version{Epoch: 1}, Payload: []byte("value")}
			assert.Assert(t, f.routers[f.rng.IntN(4)].cluster.merge(record))
			f.eventually(membership.HeartbeatEvery+2*settleTime, "record", allHold(f.routers, key, "value"))
		}
	})
}

func TestKilledMemberIsDetected(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 40, 3, 3)
		f.startAndSettle()
		victim := f.routers[11]
		f.kill(victim, false)
		t.Logf("failed after %v", f.eventually(2500*time.Millisecond, "failure", f.converged))
		failed, known := f.routers[0].cluster.View().GetFailed(victim.member.Node)
		assert.Assert(t, known)
		assert.Assert(t, failed.Silence(time.Now()) < 4*time.Second)
	})
}

// TestRestart restarts a killed member with a lower incarnation, as after its clock went back.
func TestRestart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 40, 3, 3)
		f.startAndSettle()
		for _, wait := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
			victim := f.routers[11]
			f.kill(victim, true)
			time.Sleep(wait)
			victim.member.Incarnation = 5
			f.start(victim, false)
			t.Logf("back after %v", f.eventually(time.Second, "restart", f.converged))
			time.Sleep(3 * time.Second)
			assert.NilError(t, f.converged())
		}
	})
}

// TestAllRestart kills all members at once, as a power failure does, and restarts them.
func TestAllRestart(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 40, 3, 3)
		f.startAndSettle()
		for _, r := range f.routers {
			f.kill(r, true)
		}
		time.Sleep(500 * time.Millisecond)
		for _, r := range f.routers {
			f.start(r, false)
		}
		t.Logf("back after %v", f.eventually(time.Second, "restart", f.converged))
	})
}

// TestFrozenMember checks that a member that was frozen for long doesn't report the others as failed when it resumes,
// and rejoins.
func TestFrozenMember(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 40, 3, 3)
		f.startAndSettle()
		frozen := f.routers[5]
		others := append(f.routers[:5:5], f.routers[6:]...)
		f.freeze(frozen, 4*time.Second)
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			assert.NilError(t, allAlive(others))
		}
		assert.NilError(t, f.converged())
	})
}

// TestShortFreeze checks that a member that was frozen for half a second isn't failed.
func TestShortFreeze(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 40, 3, 3)
		f.startAndSettle()
		for range 10 {
			f.freeze(f.routers[f.rng.IntN(40)], 500*time.Millisecond)
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				assert.NilError(t, allAlive(f.routers))
			}
		}
	})
}

// TestPartitionHeals partitions the network, for up to long enough that both sides fail each other, and checks that all
// routers agree soon after it heals.
func TestPartitionHeals(t *testing.T) {
	cases := []struct {
		name string
		side func(i int) bool
	}{
		{"one zone", func(i int) bool { return i%3 == 0 }},
		{"half", func(i int) bool { return i%2 == 0 }},
		{"one machine", func(i int) bool { return i == 4 }},
	}
	for _, c := range cases {
		for _, duration := range []time.Duration{700 * time.Millisecond, 2 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprint(c.name, " ", duration), func(t *testing.T) {
				inBubble(t, func(t *testing.T) {
					f := newFleet(t, 36, 3, 5)
					f.startAndSettle()
					var left, right []*router
					for i, r := range f.routers {
						if c.side(i) {
							left = append(left, r)
						} else {
							right = append(right, r)
						}
					}
					f.setPartition(left, right, true)
					time.Sleep(duration)
					left[0].publish("left", "value")
					right[0].publish("right", strings.Repeat("v", 200_000))
					time.Sleep(10 * time.Millisecond)
					f.setPartition(left, right, false)
					t.Logf("agree after %v", f.eventually(time.Second, "heal", f.converged))
				})
			})
		}
	}
}

// TestOneWayPartition blocks either the inbound or the outbound messages of one member: it must not fail the other
// members.
func TestOneWayPartition(t *testing.T) {
	for _, inboundCut := range []bool{true, false} {
		t.Run(fmt.Sprint("inbound cut ", inboundCut), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				f := newFleet(t, 40, 3, 5)
				f.startAndSettle()
				one := f.routers[7:8]
				others := append(f.routers[:7:7], f.routers[8:]...)
				setCut := func(broken bool) {
					if inboundCut {
						f.setOneWayPartition(others, one, broken)
					} else {
						f.setOneWayPartition(one, others, broken)
					}
				}
				setCut(true)
				for range 50 {
					time.Sleep(100 * time.Millisecond)
					assert.NilError(t, allAlive(others))
				}
				setCut(false)
				t.Logf("agree after %v", f.eventually(time.Second, "heal", f.converged))
			})
		})
	}
}

// TestOnlyAcceptorsReachable blocks a member's links to all routers except the acceptors of the configuration register.
// It must stay a member without having to refute a suspicion, and receive what is published.
func TestOnlyAcceptorsReachable(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 60, 3, 5)
		f.startAndSettle()
		f.setPartition(f.routers[30:31], append(f.routers[9:30:30], f.routers[31:]...), true)
		incarnation := f.routers[30].cluster.View().Self().Incarnation
		for i := range 10 {
			time.Sleep(time.Second + time.Duration(f.rng.IntN(250))*time.Millisecond)
			assert.NilError(t, allAlive(f.routers))
			assert.Equal(t, f.routers[30].cluster.View().Self().Incarnation, incarnation, "it had to refute a suspicion")
			f.routers[f.rng.IntN(60)].publish(fmt.Sprint(i), "value")
			t.Logf("record after %v", f.eventually(time.Second, "record", allHold(f.routers, fmt.Sprint(i), "value")))
		}
	})
}

// TestLossyNetwork breaks the connections of a tenth of all messages: no member may be failed, and records must arrive.
func TestLossyNetwork(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 60, 3, 5)
		f.startAndSettle()
		f.network.setLoss(0.1)
		for i := range 10 {
			time.Sleep(time.Second)
			assert.NilError(t, allAlive(f.routers))
			f.routers[f.rng.IntN(60)].publish(fmt.Sprint(i), "value")
			f.eventually(time.Second, "record", allHold(f.routers, fmt.Sprint(i), "value"))
		}
	})
}

// TestLateJoiner checks that a new member holds the whole table once it is synchronized.
func TestLateJoiner(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 20, 3, 5)
		f.startAndSettle()
		large := strings.Repeat("v", 200_000)
		f.routers[3].publish("large", large)
		for i := range 300 {
			f.routers[3].publish(fmt.Sprint(i), "value")
		}
		time.Sleep(time.Second)
		late := f.add(20)
		started := time.Now()
		f.start(late, false)
		<-late.cluster.Synchronized()
		t.Logf("synchronized after %v", time.Since(started))
		assert.NilError(t, allHold([]*router{late}, "large", large)())
		assert.Equal(t, len(late.cluster.Records(testKind)), 301)
		f.eventually(time.Second, "join", f.converged)
	})
}

func TestLeave(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 20, 3, 5)
		f.startAndSettle()
		f.routers[6].cluster.Stop()
		f.routers[6].running = false
		f.eventually(100*time.Millisecond, "leave", f.converged)
		failed, _ := f.routers[0].cluster.View().GetFailed(f.routers[6].member.Node)
		assert.Equal(t, failed.Status, membership.Left)
	})
}

func TestUpdateSelf(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 20, 3, 5)
		f.startAndSettle()
		f.routers[15].cluster.UpdateSelf(func(m *membership.Member) { m.AcceptorID = "late" })
		f.eventually(100*time.Millisecond, "update", func() error {
			for _, r := range f.routers {
				if m, _ := r.cluster.View().Get(f.routers[15].member.Node); m.AcceptorID != "late" {
					return fmt.Errorf("%s holds %q", r.member.Node, m.AcceptorID)
				}
			}
			return nil
		})
	})
}

// TestWatchOrder checks that the versions of a key that a Watch callback receives only increase.
func TestWatchOrder(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f := newFleet(t, 9, 3, 5)
		f.startAndSettle()
		r := f.add(9)
		r.endpoint = f.network.endpoint(r.member.Address, r.member.Zone)
		r.cluster = New(Options{Self: r.member, Seeds: f.seeds, Transport: r.endpoint, Log: f.log})
		var seen []softstate.Version
		r.cluster.Watch(testKind, func(record softstate.Record) { seen = append(seen, record.Version) })
		r.cluster.Start()
		r.running = true
		<-r.cluster.Synchronized()
		for i := range 50 {
			f.routers[4].publish("key", fmt.Sprint(i))
			time.Sleep(time.Duration(f.rng.IntN(10)) * time.Millisecond)
		}
		f.eventually(time.Second, "records", allHold(f.routers, "key", "49"))
		time.Sleep(time.Millisecond)
		f.kill(r, true)
		r.cluster.goroutines.Wait() // no callback runs any more
		assert.Assert(t, len(seen) > 0)
		for i := 1; i < len(seen); i++ {
			assert.Assert(t, seen[i-1].Compare(seen[i]) < 0)
		}
	})
}
