package entry

import "github.com/apricotway/apricotway"

// countLive returns the number of processes that run as far as this one knows, with itself. The membership lists those that have ended for a while.
func countLive(membership apricotway.Membership) int {
	count := 1

	for _, m := range membership.Members() {
		if m.State != apricotway.MemberDead {
			count++
		}
	}

	return count
}
