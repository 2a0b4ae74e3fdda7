package configuration

// The names of the JSON fields of a configuration. Operators write them, and the paths in errors contain them.
const (
	fieldConfigVersion = "configVersion"
	fieldRouteTable    = "routeTable"
	fieldServiceTable  = "serviceTable"
	fieldLimitSet      = "limitSet"
	fieldTenantTable   = "tenantTable"

	fieldName     = "name"     // field of a route, a service and a tenant
	fieldPriority = "priority" // field of a route and a tenant

	fieldHostName     = "hostName"
	fieldPathPrefix   = "pathPrefix"
	fieldRouteKind    = "routeKind"
	fieldTimeout      = "timeout"
	fieldTarget       = "target"
	fieldMaxAttempts  = "maxAttempts"
	fieldPublicAccess = "publicAccess"
	fieldTrafficSplit = "trafficSplit"
	fieldServiceName  = "serviceName" // field of a route and of an entry of its trafficSplit
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

// The values of routeKind that allow a request to be executed more than once.
const (
	kindIdempotent = "idempotent"
	kindDownlink   = "downlink"
)

// The units of a duration.
const (
	unitMilliseconds = "ms"
	unitSeconds      = "s"
)

// A version is written as versionPrefix followed by its number. versionNone stands for no version.
const (
	versionPrefix = "r"
	versionNone   = "0"
)

// defaultHealthPath is the health path of a service without healthPath.
const defaultHealthPath = "/health"
