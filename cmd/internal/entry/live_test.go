package entry

import (
	"testing"

	"github.com/apricotway/apricotway"
)

// members are the members that a process knows.
type members []apricotway.Member

func (m members) Members() []apricotway.Member { return m }

func (members) Self() apricotway.Member { return apricotway.Member{Node: "self"} }

// TestEndedProcessesTakeNoShare guards against appends of the origins of streams that become rarer with each process that has ended.
func TestEndedProcessesTakeNoShare(t *testing.T) {
	known := members{
		{Node: "a", State: apricotway.MemberAlive},
		{Node: "b", State: apricotway.MemberDead},
		{Node: "c", State: apricotway.MemberSuspect},
		{Node: "d", State: apricotway.MemberLeaving},
		{Node: "e", State: apricotway.MemberDead},
	}

	if got, want := countLive(known), 4; got != want {
		t.Errorf("got %d processes, want %d", got, want)
	}
}
