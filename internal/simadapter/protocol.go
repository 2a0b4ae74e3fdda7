package simadapter

import "quincegap/internal/balancer"

// The first words of the lines of a batch, and other parts of the protocol. They are data.
const (
	lineBeginBatch  = "begin_batch"
	lineEndBatch    = "over_to_you"
	lineList        = "ledger"
	lineListItem    = "item"
	lineNewInstance = "new_instance"
	lineHalt        = "halt"
	lineEndpoints   = "targets"
	lineRequest     = "knock"
	lineResponse    = "begun"
	lineOutcome     = "closed_attempt"
	lineClientGone  = "lapsed"
	lineTimer       = "wake"
	lineHealthCheck = "echo"
	linePeerMessage = "inbox"
	lineEndOfReply  = "eor"
	absent          = '-' // in the place of an absent value
	separator       = ' ' // of values
	lineEnds        = "\r\n"
)

// The first words of the lines of a reply, one for each action of an instance. They are data.
const (
	actionSend                 = "dispatch"
	actionReject               = "overload_reply"
	actionFail                 = "end_failed"
	actionCancel               = "retract"
	actionSetTimer             = "remind"
	actionHealthCheck          = "check"
	actionSendToPeer           = "tell"
	actionWatchEndpoints       = "tail"
	actionFetchEndpoints       = "query_all"
	actionCloseIdleConnections = "release"
	actionLog                  = "trace"
	actionCrash                = "crash"
)

// The bits of the field attrs of a request.
const (
	attrHasWorkHint = 1 << iota
	attrRetry
	attrWrite
)

// listKinds are the kinds of endpoint lists by their numbers in the protocol.
var listKinds = []balancer.ListKind{balancer.ListDelta, balancer.ListFull, balancer.ListCached, balancer.ListFailed}

// statuses are the statuses of attempts by their numbers in the protocol.
var statuses = map[int64]balancer.Status{
	100: balancer.StatusOK,
	301: balancer.StatusError,
	302: balancer.StatusRejected,
	303: balancer.StatusTimeout,
	304: balancer.StatusConnectFailed,
	305: balancer.StatusReset,
	306: balancer.StatusCancelled,
	307: balancer.StatusNotSent,
}

// states are the states of endpoints by their numbers in the protocol.
var states = map[int64]balancer.EndpointState{
	0: balancer.EndpointDraining,
	1: balancer.EndpointRemoved,
	2: balancer.EndpointReady,
}
