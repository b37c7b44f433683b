package placement

import "time"

// regionRoundTrip is the additional time of a request to another region and its response. Regions are some 12 ms apart.
const regionRoundTrip = 24 * time.Millisecond

// Regions holds the region of each failure domain. It is nil unless there are several regions.
type Regions map[string]string

// NewRegions returns the regions that the settings of a VM name: those of domains, and that of the VM's own domain.
func NewRegions(zones map[string]string, domain, region string) Regions {
	all := Regions{}
	for d, r := range zones {
		all[d] = r
	}
	if all[domain] == "" && region != "" {
		all[domain] = region
	}
	for _, r := range all {
		if r != "" && all[domain] != "" && r != all[domain] {
			return all
		}
	}
	return nil
}

// Differ reports whether two failure domains are known to be in different regions.
func (r Regions) Differ(a, b string) bool { return r[a] != "" && r[b] != "" && r[a] != r[b] }

// Share reports whether two failure domains are known to be in the same region, of several.
func (r Regions) Share(a, b string) bool { return r[a] != "" && r[a] == r[b] }
