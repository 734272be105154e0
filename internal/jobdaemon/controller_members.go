package jobdaemon

import (
	"github.com/bambooscale/bambooscale/internal/msg"
)

// addMembers records entries that were received on a link or read from the table
// service, and sends those that are new or changed on all other links. A link has
// the rest: the whole list is sent when it comes up. What is relayed of a linked
// entry does not replace the address that it announced itself. Otherwise an old and
// a new address that are in transit at the same time would replace each other
// without end.
func (c *controller) addMembers(entries []msg.Member, source linkID) {
	var changed []msg.Member
	for _, e := range entries {
		if e.Name == c.self.Name || e.Address == "" || c.members[e.Name] == e || c.contradictsLink(e) {
			continue
		}
		if _, known := c.members[e.Name]; !known {
			c.owner.EntryKnown(e.Name, c.now())
			if c.entryLink(e.Name) == nil {
				c.ownerLog.entryUnlinked(e.Name, c.now())
			}
		}
		c.members[e.Name] = e
		changed = append(changed, e)
	}
	if len(changed) == 0 {
		return
	}
	list := c.memberList()
	c.published.members.Set(&list)
	for id, l := range c.links {
		if id != source {
			c.send(l, &msg.Members{Entries: changed})
		}
	}
}

// contradictsLink reports whether the entry is linked and announced another address
// on each of its links.
func (c *controller) contradictsLink(e msg.Member) bool {
	linked := false
	for _, l := range c.links {
		if l.hello.Agent || l.hello.Member.Name != e.Name {
			continue
		}
		if l.hello.Member.Address == e.Address {
			return false
		}
		linked = true
	}
	return linked
}

func (c *controller) memberList() []msg.Member {
	list := []msg.Member{c.self}
	for _, m := range c.members {
		list = append(list, m)
	}
	return list
}
