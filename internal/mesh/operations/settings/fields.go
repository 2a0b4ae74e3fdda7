package settings

import "time"

// Paths of the fields of a settings file.
const (
	pathName               = "ownNode.nodeName"
	pathRole               = "ownNode.role"
	pathMachineClass       = "ownNode.machineClass"
	pathIP                 = "ownNode.ipAddress"
	pathZone               = "ownNode.zone"
	pathRegion             = "ownNode.region"
	pathInitialStart       = "ownNode.initialStart"
	pathDataDirectory      = "ownNode.dataDirectory"
	pathApplicationAddress = "ownNode.applicationAddr"
	pathService            = "ownNode.serviceName"
	pathMemoryMB           = "ownNode.limitSet.memoryMb"
	pathFileDescriptors    = "ownNode.limitSet.fdLimit"
	pathLinkMbps           = "ownNode.limitSet.linkMbps"

	pathInternalPorts = "network.internalPorts"
	pathSeeds         = "network.seedNodes"
	pathInbound       = "network.listenAddresses.inbound"
	pathOutbound      = "network.listenAddresses.outbound"
	pathReadiness     = "network.listenAddresses.readiness"
	pathControl       = "network.listenAddresses.control"
	pathZones         = "network.zones"

	pathKeepalive         = "platformProfile.keepalive"
	pathToleratedMachines = "termTable.faultTolerance.machines"

	pathContact           = "termTable.boundSet.contact"
	pathDrain             = "termTable.boundSet.drain"
	pathGrace             = "termTable.boundSet.grace"
	pathConfigApply       = "termTable.boundSet.configApply"
	pathAck               = "termTable.boundSet.ack"
	pathRetryBudgetRatio  = "termTable.boundSet.retryBudgetRatio"
	pathRetryBudgetSlack  = "termTable.boundSet.retryBudgetSlack"
	pathRetryBudgetWindow = "termTable.boundSet.retryWindow"
	pathQuotaWindow       = "termTable.boundSet.quotaWindow"
	pathQuotaOverage      = "termTable.boundSet.quotaOverage"
	pathQuotaSlack        = "termTable.boundSet.quotaSlack"
)

// Defaults of the fields that may be missing from the file. Other missing fields are 0, false or empty.
const (
	defaultMemoryMB        = 256
	defaultFileDescriptors = 1024
	defaultKeepalive       = 1500 * time.Millisecond

	defaultContact           = 3 * time.Second
	defaultDrain             = 2500 * time.Millisecond
	defaultGrace             = 6 * time.Second
	defaultConfigApply       = 2500 * time.Millisecond
	defaultAck               = 5 * time.Second
	defaultRetryBudgetRatio  = 0.2
	defaultRetryBudgetWindow = 10 * time.Second
	defaultQuotaWindow       = 5 * time.Second
)
