//go:build peers

package main

import (
	"log"
	"time"

	"pewterrudder/internal/config"
	"pewterrudder/internal/fleet/peers"
	"pewterrudder/internal/fleet/view"
	"pewterrudder/internal/reducer"
)

func init() {
	joinFellows = func(set config.Peers, own view.Life, post func(reducer.Event)) (fellows, error) {
		p, err := peers.Join(peers.Options{Settings: set, Own: own,
			Post: func(e view.Event) { post(reducer.PeerEvent{Event: e}) },
			Known: func() []peers.Known {
				told := make(chan []peers.Known, 1)
				askView(post, func(v *view.View) {
					all := []peers.Known{}
					v.Known(func(f *view.Fact, age time.Duration) {
						all = append(all, peers.Known{Fact: *f, AgeMs: age.Milliseconds()})
					})
					told <- all
				})
				select {
				case all := <-told:
					return all
				default:
					return nil
				}
			},
			Log: func(text string) { log.Print(text) }})
		if err != nil {
			return nil, err
		}
		return member{p}, nil
	}
}

type member struct{ *peers.Peers }

func (m member) Counts() any { return m.Peers.Counts() }
