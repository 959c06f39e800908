package quota

// DemandReport reports the tenants that a router had requests of to the coordinator.
type DemandReport struct {
	// Incarnation distinguishes the processes of one router.
	Incarnation uint64 `msgpack:"incarnation"`
	// Sequence numbers the reports of one incarnation.
	Sequence uint64 `msgpack:"sequence"`
	// Term is the term of the last applied answer; the granted amounts refer to it.
	Term uint64 `msgpack:"term"`
	// Routers is the greatest number of routers that the router has seen recently.
	Routers int `msgpack:"routers"`
	// Leaving means that the router does not admit anything any more.
	Leaving bool `msgpack:"leaving,omitempty"`
	// Whole means that the router has no tenants besides those listed. Otherwise nothing has changed about the others
	// since they were last reported, shortly before.
	Whole bool `msgpack:"whole,omitempty"`
	// Keeper is the address of a router that stores floor tables on its disk, otherwise empty. Kept is the table on
	// that disk. A table of the report's term is sent without its floors unless the report is whole.
	Keeper  string         `msgpack:"keeper,omitempty"`
	Kept    FloorTable     `msgpack:"kept"`
	Tenants []TenantDemand `msgpack:"tenants,omitempty"`
}

// TenantDemand is one tenant's part of a report. It is encoded as an array: the order of its fields is part of the
// format.
type TenantDemand struct {
	_msgpack struct{} `msgpack:",as_array"`
	Tenant   string
	// Asked is the amount of all requests of the incarnation, admitted or not.
	Asked float64
	// Requests is the number of those requests.
	Requests float64
	// Balance is the amount that the router may still admit; negative after an overdraft.
	Balance float64
	// Granted is the amount granted under the report's Term; Balance includes it.
	Granted float64
	// Supplied is the amount that the incarnation has supplied itself with.
	Supplied float64
	// Standing is the rate at which the router supplies itself when it hears nothing.
	Standing float64
	// Wanted is the largest amount refused since the last report; before the first answer, the sum of the amounts
	// refused.
	Wanted float64
	// Store and Number are those of the last applied share, and Drawn is what the router has drawn from the store
	// since, while it heard nothing.
	Store  float64
	Number uint64
	Drawn  float64
}

// ShareAnswer is the coordinator's answer to a report.
type ShareAnswer struct {
	Term     uint64        `msgpack:"term"`
	Sequence uint64        `msgpack:"sequence"`
	Shares   []TenantShare `msgpack:"shares,omitempty"`
	// Scarce lists the tenants that are at their limit.
	Scarce []string `msgpack:"scarce,omitempty"`
	// Floors is the floor table that a keeper is to store, nil if it has the latest.
	Floors *FloorTable `msgpack:"floors,omitempty"`
	// WantsWhole means that the coordinator does not know the router's other tenants, and asks for a whole report.
	WantsWhole bool `msgpack:"wants_whole,omitempty"`
}

// TenantShare is one tenant's part of an answer. It is encoded as an array: the order of its fields is part of the
// format.
type TenantShare struct {
	_msgpack struct{} `msgpack:",as_array"`
	Tenant   string
	// Granted is the amount granted to the router under the answer's term so far; it falls when tokens are recalled.
	Granted float64
	// Standing is the rate at which the router supplies itself when it hears nothing.
	Standing float64
	// Ceiling is the balance up to which the router supplies itself.
	Ceiling float64
	// Overdraft is how far one request may take the balance below zero before the next answer.
	Overdraft float64
	// Reserve is what the router may draw from the store, once, when it hears nothing.
	Reserve float64
	// Store is what the coordinator itself holds for the tenant; the next coordinator starts from it.
	Store float64
	// Number counts the shares of the tenant that were answered under the term.
	Number uint64
}
