package simadapter

import "quincegap/internal/balancer"

// The lines of a batch, which are data.
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
	absent          = '-' // a value that is not there
	separator       = ' ' // of values
	lineEnds        = "\r\n"
)

// The lines of a reply: actions of an instance, which are data.
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

// The bits of a request's attrs.
const (
	attrHasWorkHint = 1 << iota
	attrRetry
	attrWrite
)

// listKinds are the protocol's kinds of lists, by their numbers.
var listKinds = []balancer.ListKind{balancer.ListDelta, balancer.ListFull, balancer.ListCached, balancer.ListFailed}

// statuses are the protocol's outcomes of attempts, by their numbers.
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

// states are the protocol's states of endpoints, by their numbers.
var states = map[int64]balancer.EndpointState{
	0: balancer.EndpointDraining,
	1: balancer.EndpointRemoved,
	2: balancer.EndpointReady,
}
