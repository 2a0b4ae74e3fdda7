package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gravitational/trace"

	"quincegap/internal/golden"
)

// dump returns a line for each setting with its path in the file, and lines for the addresses that are derived from settings.
func dump(settings *Settings) string {
	var lines strings.Builder
	for _, field := range []struct {
		path  string
		value any
	}{
		{"ownNode.nodeName", settings.Name},
		{"ownNode.role", settings.Role},
		{"ownNode.machineClass", settings.MachineClass},
		{"ownNode.ipAddress", settings.IP},
		{"ownNode.zone", settings.Zone},
		{"ownNode.region", settings.Region},
		{"ownNode.initialStart", settings.InitialStart},
		{"ownNode.dataDirectory", settings.DataDirectory},
		{"ownNode.applicationAddr", settings.ApplicationAddress},
		{"ownNode.serviceName", settings.Service},
		{"ownNode.limitSet.memoryMb", settings.MemoryMB},
		{"ownNode.limitSet.fdLimit", settings.FileDescriptors},
		{"ownNode.limitSet.linkMbps", settings.LinkMbps},
		{"network.internalPorts", settings.InternalPorts},
		{"network.seedNodes", settings.Seeds},
		{"network.listenAddresses.inbound", settings.InboundAddress},
		{"network.listenAddresses.outbound", settings.OutboundAddress},
		{"network.listenAddresses.readiness", settings.ReadinessAddress},
		{"network.listenAddresses.control", settings.ControlAddress},
		{"network.zones", settings.RegionOfZone},
		{"platformProfile.keepalive", settings.KeepaliveInterval},
		{"termTable.faultTolerance.machines", settings.ToleratedMachines},
		{"boundSet.contact", settings.Bounds.Contact},
		{"boundSet.drain", settings.Bounds.Drain},
		{"boundSet.grace", settings.Bounds.Grace},
		{"boundSet.configApply", settings.Bounds.ConfigApply},
		{"boundSet.ack", settings.Bounds.Ack},
		{"boundSet.retryBudgetRatio", settings.Bounds.RetryBudgetRatio},
		{"boundSet.retryBudgetSlack", settings.Bounds.RetryBudgetSlack},
		{"boundSet.retryWindow", settings.Bounds.RetryBudgetWindow},
		{"boundSet.quotaWindow", settings.Bounds.QuotaWindow},
		{"boundSet.quotaOverage", settings.Bounds.QuotaOverage},
		{"boundSet.quotaSlack", settings.Bounds.QuotaSlack},
		{"internal address", settings.InternalAddress()},
		{"internal addresses of seeds", settings.SeedAddresses()},
	} {
		fmt.Fprintf(&lines, "%s = %v\n", field.path, field.value)
	}
	return lines.String()
}

func TestGoldenSettings(t *testing.T) {
	for _, name := range []string{"access", "core", "least"} {
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(filepath.Join("testdata", name+".toml"))
			qt.Assert(t, err, qt.IsNil)
			settings, err := Parse(text)
			qt.Assert(t, err, qt.IsNil)
			golden.Text(t, name+".txt", []byte(dump(settings)))
		})
	}
}

// The error for an invalid field has the path of the field, a description of the valid values, and the value in the file.
func TestGoldenBadSettings(t *testing.T) {
	least, err := os.ReadFile("testdata/least.toml")
	qt.Assert(t, err, qt.IsNil)
	var lines strings.Builder
	for _, text := range []string{
		"", "[ownNode", "ownNode = 3", string(least) + "\nkeepalive = \"1s\"\n[platformProfile]\nkeepalive = \"-1s\"\n",
		strings.ReplaceAll(string(least), "7640", "0"), strings.ReplaceAll(string(least), "[7640,7655]", "[7655,7640]"),
		strings.ReplaceAll(string(least), "[7640,7655]", "[7640]"),
	} {
		_, err := Parse([]byte(text))
		fmt.Fprintf(&lines, "%v\n", err)
	}
	_, err = Load("testdata/bad.toml", Sidecar)
	fmt.Fprintf(&lines, "%v\n", strings.ReplaceAll(err.Error(), "; ", ";\n  "))
	qt.Assert(t, trace.IsBadParameter(err), qt.IsTrue)
	_, err = Load("testdata/none.toml", Sidecar)
	fmt.Fprintf(&lines, "%v\n", err)
	qt.Assert(t, trace.IsNotFound(err) || errors.Is(err, os.ErrNotExist), qt.IsTrue)
	golden.Text(t, "bad.txt", []byte(lines.String()))
	qt.Assert(t, EnvironmentVariable, qt.Equals, "QUINCEGAP_NODE_FILE")
}

// Settings that were cut at the end of a line were valid without the addresses to listen on, so that the process served nowhere.
func TestCutSettingsAreInvalidOrHaveAllAddresses(t *testing.T) {
	for name, program := range map[string]Program{"access": Sidecar, "core": ControlPlane} {
		complete, err := os.ReadFile(filepath.Join("testdata", name+".toml"))
		qt.Assert(t, err, qt.IsNil)
		whole, err := Parse(complete)
		qt.Assert(t, err, qt.IsNil)
		path := filepath.Join(t.TempDir(), name+".toml")
		for length := range complete {
			qt.Assert(t, os.WriteFile(path, complete[:length], 0o600), qt.IsNil)
			cut, err := Load(path, program)
			if err != nil {
				qt.Assert(t, trace.IsBadParameter(err), qt.IsTrue, qt.Commentf("%v", err))
				continue
			}
			qt.Assert(t, cut.ControlAddress, qt.Equals, whole.ControlAddress, qt.Commentf("%s cut at byte %d", name, length))
			qt.Assert(t, cut.OutboundAddress, qt.Equals, whole.OutboundAddress, qt.Commentf("%s cut at byte %d", name, length))
			qt.Assert(t, cut.ReadinessAddress, qt.Equals, whole.ReadinessAddress, qt.Commentf("%s cut at byte %d", name, length))
		}
		_, err = Load(filepath.Join("testdata", name+".toml"), program)
		qt.Assert(t, err, qt.IsNil)
	}
	_, err := Load("testdata/least.toml", Sidecar)
	qt.Assert(t, err, qt.ErrorMatches, `(?s)settings file testdata/least.toml.*control: wanted .*outbound: wanted .*readiness: wanted .*`)
}
