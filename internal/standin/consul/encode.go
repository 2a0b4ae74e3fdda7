package consul

import (
	"encoding/json"
	"fmt"
)

// object is a JSON object. The fields are those of Consul's pages.
type object = map[string]any

// contentHash stands for the hash of what an index has: all that matters is that it changes with it.
func contentHash(index uint64) string { return fmt.Sprintf("%016x", index*0x9e3779b97f4a7c15) }

// encode writes instances as a resource lists them.
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
		panic(fmt.Sprint(err)) // there is nothing in it that can't be encoded
	}
	return text
}

func catalogEntry(instance *Instance) object {
	return object{
		"Node": instance.Node, "Address": instance.Address, "Datacenter": "dc1", "ServiceID": instance.ID, "ServiceAddress": instance.Address,
		"ServicePort": instance.Port, "ServiceMeta": instance.Meta, "ServiceTags": instance.Tags, "CreateIndex": instance.createIndex,
	}
}

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
