package configuration

import "testing"

// The names and values of the JSON format do not change, because operators write them.
func TestOperatorFormatNames(t *testing.T) {
	for got, want := range map[string]string{
		fieldConfigVersion: "configVersion", fieldRouteTable: "routeTable", fieldServiceTable: "serviceTable", fieldLimitSet: "limitSet",
		fieldTenantTable: "tenantTable", fieldName: "name", fieldPriority: "priority", fieldHostName: "hostName", fieldPathPrefix: "pathPrefix",
		fieldRouteKind: "routeKind", fieldTimeout: "timeout", fieldTarget: "target", fieldMaxAttempts: "maxAttempts",
		fieldPublicAccess: "publicAccess", fieldTrafficSplit: "trafficSplit", fieldServiceName: "serviceName", fieldWeight: "weight",
		fieldHealthPath: "healthPath", fieldConnectionCap: "connectionCap", fieldHeaderMaxBytes: "headerMaxBytes",
		fieldBodyMaxBytes: "bodyMaxBytes", fieldHeaderTimeout: "headerTimeout", fieldIdleTimeout: "idleTimeout",
		fieldAccessKeys: "accessKeys", fieldRatePerS: "ratePerS", fieldBurstSize: "burstSize",
		kindIdempotent: "idempotent", kindDownlink: "downlink", unitMilliseconds: "ms", unitSeconds: "s",
		versionPrefix: "r", versionNone: "0", defaultHealthPath: "/health",
	} {
		if got != want {
			t.Errorf("name in the JSON format is %q, want %q", got, want)
		}
	}
}
