package event

import "github.com/apex/log"

// Events of the links between processes: 200 to 299.
var (
	LinkUp        = define(200, log.InfoLevel, "link-up", "a link to a peer is established", "nothing")
	LinkLost      = define(201, log.WarnLevel, "link-lost", "a link to a peer is lost", "check the peer and the network if it does not return")
	LinkMalformed = define(202, log.ErrorLevel, "link-malformed", "a peer sent a malformed frame; its link is closed", "check that both processes run compatible versions")
	LinkVersion   = define(203, log.ErrorLevel, "link-version", "a peer speaks another protocol version; its link is closed", "finish the upgrade")
	LinkSilent    = define(204, log.WarnLevel, "link-silent", "a peer sent nothing for too long; its link is closed", "check the peer and the network")
)
