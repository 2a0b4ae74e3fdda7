package configuration

// The names of the fields of a configuration. They are the operators' format, and are also used in the paths of errors.
const (
	fieldConfigVersion = "configVersion"
	fieldRouteTable    = "routeTable"
	fieldServiceTable  = "serviceTable"
	fieldLimitSet      = "limitSet"
	fieldTenantTable   = "tenantTable"

	fieldName     = "name"     // of a route, a service and a tenant
	fieldPriority = "priority" // of a route and a tenant

	fieldHostName     = "hostName"
	fieldPathPrefix   = "pathPrefix"
	fieldRouteKind    = "routeKind"
	fieldTimeout      = "timeout"
	fieldTarget       = "target"
	fieldMaxAttempts  = "maxAttempts"
	fieldPublicAccess = "publicAccess"
	fieldTrafficSplit = "trafficSplit"
	fieldServiceName  = "serviceName" // of a route and of a service in its split
	fieldWeight       = "weight"

	fieldHealthPath    = "healthPath"
	fieldConnectionCap = "connectionCap"

	fieldHeaderMaxBytes = "headerMaxBytes"
	fieldBodyMaxBytes   = "bodyMaxBytes"
	fieldHeaderTimeout  = "headerTimeout"
	fieldIdleTimeout    = "idleTimeout"

	fieldAccessKeys = "accessKeys"
	fieldRatePerS   = "ratePerS"
	fieldBurstSize  = "burstSize"
)

// The values of routeKind that allow a request to run more than once.
const (
	kindIdempotent = "idempotent"
	kindDownlink   = "downlink"
)

// The units of a time.
const (
	unitMilliseconds = "ms"
	unitSeconds      = "s"
)

// A version is written as versionPrefix and its number; versionNone is none.
const (
	versionPrefix = "r"
	versionNone   = "0"
)

// defaultHealthPath is the health path of a service that does not give one.
const defaultHealthPath = "/health"
