package enginelab

import "time"

// The engine and the requests of the days here: long prompts with short answers beside short prompts with long streams, on engines
// that read a chunk of prompts in each step.

func twelveSlots() EngineSpec {
	return EngineSpec{
		Slots: 12, Queue: 36, StepMs: 0.574, SlotMs: 0.00219, ContextMs: 0.00122, TokensPerMs: 346, PairsMs: 0.111,
		ChunkTokens: 4096, StrideTokens: 51, FirstMs: 6, Capacity: 872_000,
	}
}

func longPrompts(perSecond float64) Kind {
	return Kind{
		Name: "plan", PerSecond: perSecond, Aim: 250 * time.Millisecond, PauseAim: 200 * time.Millisecond,
		Chain: []Link{
			{Things: 4, Tokens: 2520, Spread: 0.4, Most: 6290},
			{Things: 2949, Tokens: 3780, Spread: 0.7, Most: 11_300, Skew: 0.3},
		},
		Own:    Size{Mean: 2890, Spread: 1, Most: 18_300},
		Events: Size{Mean: 1.5, Spread: 1.4, Most: 6},
	}
}

func longStreams(perSecond float64) Kind {
	return Kind{
		Name: "coach", PerSecond: perSecond, Aim: 200 * time.Millisecond, PauseAim: 200 * time.Millisecond,
		Chain: []Link{
			{Things: 70, Tokens: 47.5, Spread: 0.4, Most: 119},
			{Things: 70, Tokens: 31.7, Spread: 0.7, Most: 95, Skew: 0.3},
		},
		Own:    Size{Mean: 141, Spread: 0.8, Most: 1020},
		Events: Size{Mean: 134, Spread: 0.84, Most: 321},
	}
}

// mixedDay is a day of 34 s at the given number of requests a second.
func mixedDay(perSecond float64, seed uint64) Setup {
	return Setup{
		Engine: twelveSlots(), Instances: 48, Zones: 3, Routers: 96, Clients: 81,
		Kinds:  []Kind{longPrompts(perSecond * 0.9767), longStreams(perSecond * 0.0233)},
		Length: 34 * time.Second, Seed: seed,
	}
}

// busyDay has a hot thing and a burst on top.
func busyDay(seed uint64) Setup {
	day := mixedDay(959, seed)
	day.Faults = []Fault{
		{Kind: HotThing, At: 13300 * time.Millisecond, For: 4900 * time.Millisecond, Of: "plan", Share: 0.28},
		{Kind: Burst, At: 17 * time.Second, For: 4 * time.Second, Of: "plan", Factor: 1.5},
	}
	return day
}

// leavingDay has a share of the instances leave under load.
func leavingDay(seed uint64) Setup {
	day := mixedDay(770, seed)
	day.Faults = []Fault{{Kind: Gone, At: 12 * time.Second, Share: 0.2}, {Kind: Slow, At: 16 * time.Second, For: 6 * time.Second, Share: 0.17, Factor: 3.5}}
	return day
}
