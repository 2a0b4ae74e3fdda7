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

func catalogEntry(i *Instance) object {
	return object{
		"Node": i.Node, "Address": i.Address, "Datacenter": "dc1", "ServiceID": i.ID, "ServiceAddress": i.Address,
		"ServicePort": i.Port, "ServiceMeta": i.Meta, "ServiceTags": i.Tags, "CreateIndex": i.createIndex,
	}
}

func healthEntry(i *Instance) object {
	checks := []object{{
		"Node": i.Node, "CheckID": "serfHealth", "Name": "Serf Health Status", "Status": "passing",
		"Output": "Agent alive and reachable",
	}}
	for _, check := range i.Checks {
		checks = append(checks, object{
			"Node": i.Node, "CheckID": check.CheckID, "Name": check.Name, "Status": check.Status, "ServiceID": i.ID,
		})
	}
	return object{
		"Node": object{"ID": "", "Node": i.Node, "Address": i.Address, "Datacenter": "dc1"},
		"Service": object{
			"ID": i.ID, "Service": "service", "Address": i.Address, "Port": i.Port, "Meta": i.Meta, "Tags": i.Tags,
			"Weights":     object{"Passing": max(i.PassingWeight, 1), "Warning": i.WarningWeight},
			"CreateIndex": i.createIndex, "ModifyIndex": i.createIndex,
		},
		"Checks": checks,
	}
}
