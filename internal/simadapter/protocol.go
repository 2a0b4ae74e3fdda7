package simadapter

import "quincegap/internal/balancer"

// The first words of the lines of a batch, and the other fixed words and characters of the protocol. They are part of the wire format
// and must not change.
const (
	lineBeginBatch    = "begin_batch"
	lineEndBatch      = "over_to_you"
	lineList          = "ledger"
	lineListItem      = "item"
	lineNewInstance   = "new_instance"
	lineHalt          = "halt"
	lineEndpoints     = "targets"
	lineRequest       = "knock"
	lineResponseStart = "begun"
	lineOutcome       = "closed_attempt"
	lineClientGone    = "lapsed"
	lineTimer         = "wake"
	lineHealthCheck   = "echo"
	linePeerMessage   = "inbox"
	lineEndOfReply    = "eor"
	absent            = '-' // stands for an absent value
	separator         = ' ' // separates the values of a line
	newlineChars      = "\r\n"
)

// The first words of the lines of a reply, one for each action of an instance and one for its crash. They are part of the wire format
// and must not change.
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

// The bits of a request's attrs field.
const (
	attrHasWorkHint = 1 << iota
	attrRetry
	attrWrite
)

// listKinds maps the numbers of the protocol to kinds of endpoint lists.
var listKinds = []balancer.ListKind{balancer.ListDelta, balancer.ListFull, balancer.ListCached, balancer.ListFailed}

// statuses maps the numbers of the protocol to statuses of attempts and health checks.
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

// states maps the numbers of the protocol to states of endpoints.
var states = map[int64]balancer.EndpointState{
	0: balancer.EndpointDraining,
	1: balancer.EndpointRemoved,
	2: balancer.EndpointReady,
}
