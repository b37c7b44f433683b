package directory

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func configurationListing(revision uint64, c Configuration) Listing {
	return Listing{Kind: Configurations, Revision: revision, Entries: []Entry{
		{Name: "main", Revision: revision, Configuration: &c}}}
}

// Guards against VMs whose configuration differs from the store's because they applied a patch to a version
// that they do not have.
func TestPatchesGiveTheSameConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := New(), New()
		c := Configuration{Routes: map[string]Route{}, Keys: map[string]string{}, Workspaces: map[string]Workspace{}}
		for version := range uint64(rapid.IntRange(1, 20).Draw(t, "versions")) {
			c.Routes, c.Keys, c.Workspaces = maps.Clone(c.Routes), maps.Clone(c.Keys), maps.Clone(c.Workspaces)
			c.Version = version + 1
			for range rapid.IntRange(1, 4).Draw(t, "changes") {
				name := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "name"))
				switch rapid.IntRange(0, 5).Draw(t, "change") {
				case 0:
					c.Routes[name] = Route{Database: name, Priority: int(version)}
				case 1:
					delete(c.Routes, name)
				case 2:
					c.Keys[name] = fmt.Sprint(version)
				case 3:
					delete(c.Keys, name)
				case 4:
					c.Workspaces[name] = Workspace{Name: name, Rate: float64(version)}
				case 5:
					delete(c.Workspaces, name)
				}
			}
			revision := 10 * c.Version
			sender.Update(0, configurationListing(revision, c))
			if rapid.IntRange(0, 3).Draw(t, "sent by the store") == 0 {
				receiver.Update(0, configurationListing(revision, c))
			}
			if rapid.Bool().Draw(t, "requests changes") {
				since := receiver.View().Revisions[Configurations]
				receiver.MergeListing(0, sender.Changes(Configurations, since))
				if receiver.View().Revisions[Configurations] < revision {
					receiver.MergeListing(0, sender.Changes(Configurations, 0))
				}
			}
			if receiver.View().Revisions[Configurations] < revision {
				continue
			}
			got, want := receiver.View().Configuration, sender.View().Configuration
			if got.Version != want.Version || !maps.Equal(got.Routes, want.Routes) || !maps.Equal(got.Keys, want.Keys) ||
				!maps.Equal(got.Workspaces, want.Workspaces) {
				t.Fatalf("the receiver has %+v, the store has %+v", got, want)
			}
		}
	})
}

// Guards against changes that are as large as the whole configuration.
func TestChangeIsSmall(t *testing.T) {
	is := is.New(t)
	sender, receiver := New(), New()
	c := Configuration{Version: 1, Workspaces: map[string]Workspace{}}
	for i := range 1000 {
		name := fmt.Sprint(i)
		c.Workspaces[name] = Workspace{Name: name, Rate: 1}
	}
	sender.Update(0, configurationListing(10, c))
	receiver.Update(0, configurationListing(10, c))
	next := c
	next.Version = 2
	next.Workspaces = maps.Clone(c.Workspaces)
	next.Workspaces["7"] = Workspace{Name: "7", Rate: 2}
	sender.Update(0, configurationListing(20, next))
	changes := sender.Changes(Configurations, 10)
	is.True(changes.Entries[0].Configuration == nil)
	is.Equal(len(changes.Entries[0].Patch.Workspaces.Set), 1)
	is.True(receiver.MergeListing(0, changes))
	is.Equal(receiver.View().Configuration.Workspaces["7"].Rate, 2.0)
	is.Equal(len(receiver.View().Configuration.Workspaces), 1000)
	is.Equal(c.Workspaces["7"].Rate, 1.0) // sessions may still use the previous version
}
