package brain_test

import (
	"fmt"
	"time"

	"pewterrudder/brain"
)

// An embedder passes events with their times and carries out the returned actions.
func Example() {
	node, err := brain.New(brain.Settings{
		Nodes:       1,
		Zone:        "west",
		MaxAttempts: 3,
		Classes: []brain.Class{{Name: "read", Repeat: brain.Safe, Aim: 200 * time.Millisecond,
			Deadline: time.Second, Worth: 1}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	var actions []brain.Action
	actions = node.Handle(now, &brain.FleetUpdate{Kind: brain.UpdateFull, Members: []brain.Member{
		{Server: "10.0.0.1:80", Zone: "west", Weight: 1}}}, actions[:0])
	actions = node.Handle(now, &brain.Request{ID: "r1", Tenant: -1, Deadline: now + time.Second}, actions[:0])
	for _, a := range actions {
		if a.Kind == brain.Send {
			fmt.Println("send", a.ID, "to", a.Server)
		}
	}
	// Output: send r1 to 10.0.0.1:80
}
