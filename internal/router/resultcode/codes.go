package resultcode

// Code is the number of a result. The thousands digit identifies the group. A number never changes its meaning.
type Code int

// Codes of client requests.
const (
	NoRoute              Code = 1001
	MissingKey           Code = 1002
	UnknownKey           Code = 1003
	BodyTooLarge         Code = 1004
	HeaderTooLarge       Code = 1005
	MalformedRequest     Code = 1006
	QuotaExceeded        Code = 1007
	NoInstance           Code = 1008
	InstanceRejected     Code = 1009
	RetryBudgetExhausted Code = 1010
	AttemptFailed        Code = 1011
	TimeoutExceeded      Code = 1012
	DeadlineBeforeRun    Code = 1013
	ClientGone           Code = 1014
	ShuttingDown         Code = 1015
	NotReady             Code = 1016
	RequestReadTimeout   Code = 1017
	Overloaded           Code = 1018
	NeverSent            Code = 1019
	StreamBroken         Code = 1020
	KeysUnconfirmed      Code = 1021
)

// Codes of the operator's configuration calls.
const (
	ConfigurationUnreadable Code = 2001
	FieldInvalid            Code = 2002
	UnknownBackend          Code = 2003
	DuplicateName           Code = 2004
	DuplicateRoute          Code = 2005
	ZeroWeight              Code = 2006
	ZeroTimeout             Code = 2007
	GenerationNotAbove      Code = 2008
	SharedKey               Code = 2009
	PatchContradictory      Code = 2010
	BaseRevisionInvalid     Code = 2011
	RevisionMismatch        Code = 2012
	ConfigurationTooLarge   Code = 2013
	OutcomeUnclear          Code = 2014
	NoConfiguration         Code = 2015
	RegisterUnavailable     Code = 2016
	OrderForgotten          Code = 2017
	SnapshotDamaged         Code = 2018
	SnapshotOutdated        Code = 2019
)

// Codes of calls by model instances.
const (
	HeartbeatUnreadable Code = 3001
	HeartbeatInvalid    Code = 3002
	HeartbeatStale      Code = 3003
	InstanceUnknown     Code = 3004
	CallTooLarge        Code = 3005
	HeartbeatNotSpread  Code = 3006
)

// Codes of the cluster and of the process itself.
const (
	Internal           Code = 4001
	ClusterUnreachable Code = 4002
	NoSuchCall         Code = 4003
	MethodNotAllowed   Code = 4004
	MessageUnreadable  Code = 4005
)
