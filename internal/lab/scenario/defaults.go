package scenario

import (
	"encoding/json"
	"time"
)

func ms(v float64) Duration { return Duration(v * float64(time.Millisecond)) }

func span(a, b float64) Span { return Span{ms(a), ms(b)} }

// Default is a calm small site; a file says where it differs. Classes, app nodes and tenants have no default.
func Default() Scenario {
	return Scenario{
		Length: ms(60_000),
		Zones:  []string{"a"},
		Balancers: Balancers{Count: 1, Sockets: 1024, ReadyIn: ms(100),
			Known: "last"},
		Reports: Reports{Columns: []string{"busy", "waiting"}, How: "answers", Every: span(500, 1000), Delay: span(50, 300),
			Noise: Range{0.03, 0.03}},
		Traffic: Traffic{Process: "poisson", High: 4, Share: 0.1},
		Clients: Clients{Backoff: span(10, 40), Growth: 1, Honour: 1, Patience: Range{1, 1}, Marks: true,
			Connections: 40, Churn: 0.02},
		Front: Front{Spread: "random", Notice: span(1000, 3000), Admit: span(100, 500)},
		Discovery: Discovery{Ask: true, Notice: span(500, 2000), Silent: span(4000, 10000), Add: span(300, 2000),
			Line: span(300, 1500), Capacity: 4, Patience: ms(3000), Blank: ms(2000), History: 1000, Weights: "off"},
		Network: Network{Same: span(0.1, 0.3), Cross: span(1.5, 2.5), Client: span(0.3, 1), Jitter: 0.2, Rate: 100},
		Limits: Limits{Cancel: true, SecondCopies: true, RetryAfter: true, MaxAttempts: 4, MaxRetryAfter: ms(500),
			ConnectTimeout: ms(75), IdleClose: ms(60_000)},
		Rules: Rules{Grace: ms(58), DrainGrace: ms(2000), ToldWithin: ms(6000), AskEvery: ms(10_000), ColdFrom: 0.2,
			ColdFor: ms(20_000), OverloadFactor: 3, FallFor: ms(2000), OverQuotaWorth: 1,
			WorthBy: "work"},
	}
}

// The elements of lists have defaults of their own.

func (n *Nodes) UnmarshalJSON(raw []byte) error {
	type plain Nodes
	v := plain{Kind: "m1", Size: 1, CellSize: 4, Cores: 1, Queue: 500, Speed: Range{1, 1}, CrowdFrom: 10,
		ColdFrom: Range{0.2, 0.2}, ColdFor: Span{ms(20_000), ms(20_000)}, Handshake: 3, Trips: 2, MaxConns: 700, ConnTax: 0.2,
		Cancels: true, Expires: true, StartsIn: ms(1000)}
	err := json.Unmarshal(raw, &v)
	*n = Nodes(v)
	return err
}

func (c *Class) UnmarshalJSON(raw []byte) error {
	type plain Class
	v := plain{Share: 1, Repeat: "safe", Scope: "all", Worth: 1, Bytes: Range{1000, 1000}}
	v.Work.Dist = "exponential"
	err := json.Unmarshal(raw, &v)
	*c = Class(v)
	return err
}

func (f *Fault) UnmarshalJSON(raw []byte) error {
	type plain Fault
	v := plain{Times: Range{1, 1}, Chance: 1}
	err := json.Unmarshal(raw, &v)
	*f = Fault(v)
	return err
}
