package consul

import (
	"encoding/json"
	"fmt"
)

// object is a JSON object. Field names follow Consul's API documentation.
type object = map[string]any

// contentHash returns a value in place of the hash of the content at an index. Clients need only that it differs between indexes.
func contentHash(index uint64) string { return fmt.Sprintf("%016x", index*0x9e3779b97f4a7c15) }

// encode returns the JSON list of instances in the format of a resource: resourceCatalog or resourceHealth.
func encode(resource string, instances []Instance) []byte {
	list := []object{}
	for i := range instances {
		if resource == resourceCatalog {
			list = append(list, catalogEntry(&instances[i]))
		} else {
			list = append(list, healthEntry(&instances[i]))
		}
	}
	text, err := json.Marshal(list)
	if err != nil {
		panic(fmt.Sprint(err)) // unreachable: all values in the list can be encoded
	}
	return text
}

// catalogEntry returns the entry of an instance in a catalog response.
func catalogEntry(instance *Instance) object {
	return object{
		"Node": instance.Node, "Address": instance.Address, "Datacenter": "dc1", "ServiceID": instance.ID, "ServiceAddress": instance.Address,
		"ServicePort": instance.Port, "ServiceMeta": instance.Meta, "ServiceTags": instance.Tags, "CreateIndex": instance.createIndex,
	}
}

// healthEntry returns the entry of an instance in a health response, with a passing check of its node.
func healthEntry(instance *Instance) object {
	checks := []object{{
		"Node": instance.Node, "CheckID": "serfHealth", "Name": "Serf Health Status", "Status": "passing",
		"Output": "Agent alive and reachable",
	}}
	for _, check := range instance.Checks {
		checks = append(checks, object{
			"Node": instance.Node, "CheckID": check.CheckID, "Name": check.Name, "Status": check.Status, "ServiceID": instance.ID,
		})
	}
	return object{
		"Node": object{"ID": "", "Node": instance.Node, "Address": instance.Address, "Datacenter": "dc1"},
		"Service": object{
			"ID": instance.ID, "Service": "service", "Address": instance.Address, "Port": instance.Port, "Meta": instance.Meta, "Tags": instance.Tags,
			"Weights":     object{"Passing": max(instance.PassingWeight, 1), "Warning": instance.WarningWeight},
			"CreateIndex": instance.createIndex, "ModifyIndex": instance.createIndex,
		},
		"Checks": checks,
	}
}
