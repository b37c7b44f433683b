package capacity

import (
	"context"
	"fmt"
	"strings"

	"siskinrouter/internal/contract"
	"siskinrouter/internal/devfleet"
)

// textOf returns an operators' text of services with 3 groups and 8 workspaces each.
func textOf(services int, groups, workspaces int) string {
	d := devfleet.Deployment{ServersPerGroup: 3, Slots: 20, Connections: 50, Service: "ledger-service-0000", Groups: groups}
	for i := range int(Default().Domains) {
		d.Domains = append(d.Domains, fmt.Sprintf("d%02d", i+1))
	}
	for i := range workspaces {
		d.Workspaces = append(d.Workspaces, devfleet.Workspace{Name: fmt.Sprintf("workspace-%05d", i), Rate: 100, Burst: 100, Weight: 1})
	}
	var head, rest strings.Builder
	for s := range services {
		d.Name, d.Service = fmt.Sprintf("region-%04d", s), fmt.Sprintf("ledger-service-%04d", s)
		addresses := map[string]string{}
		for g := range groups {
			for i := range d.ServersPerGroup {
				n := (s*groups+g)*3 + i
				addresses[d.ServerName(g, i)] = fmt.Sprintf("10.%d.%d.%d:5432", 100+n/40000, n/200%200, n%200+1)
			}
		}
		for i := range d.Workspaces {
			d.Workspaces[i].Name = fmt.Sprintf("workspace-%05d", s*workspaces+i)
		}
		text := d.Text(addresses)
		at := strings.Index(text, "[[service]]")
		if s == 0 {
			head.WriteString(text[:at])
		}
		rest.WriteString(text[at:])
	}
	return head.String() + rest.String()
}

// measureText measures the operators' text.
func measureText(_ context.Context, r *run) error {
	p := Default()
	services := r.count(textGroups) / int(p.GroupsPerService)
	groups, workspaces := int(p.GroupsPerService), int(p.WorkspacesService)
	text := textOf(services, groups, workspaces)
	size := func(g, w int) float64 { return float64(len(textOf(services, g, w))) / float64(services) }
	perGroup := (float64(len(text))/float64(services) - size(1, workspaces)) / float64(groups-1)
	perWorkspace := (float64(len(text))/float64(services) - size(groups, 1)) / float64(workspaces-1)
	head := float64(len(textOf(1, groups, workspaces))) - float64(len(textOf(2, groups, workspaces))-len(textOf(1, groups, workspaces)))
	r.set("text.server", perGroup/p.ServersPerGroup)
	r.set("text.workspace", perWorkspace)
	r.set("text.service", (float64(len(text))-head)/float64(services)-perGroup*float64(groups)-perWorkspace*float64(workspaces))
	bytes, _, err := heldBy(func() (*contract.Contract, error) { return parse(text) })
	if err != nil {
		return err
	}
	kilobytes := float64(len(text)) / 1024
	r.set("text.memory", bytes/kilobytes)
	perParse, err := micros(textParses*kilobytes, func() error {
		for range textParses {
			if _, err := parse(text); err != nil {
				return err
			}
		}
		return nil
	})
	r.set("text.parse", perParse)
	return err
}

func parse(text string) (*contract.Contract, error) {
	c, faults := contract.Parse([]byte(text))
	if len(faults) > 0 {
		return nil, fmt.Errorf("operators' text: line %d: %s", faults[0].Line, faults[0].Problem)
	}
	return c, nil
}
