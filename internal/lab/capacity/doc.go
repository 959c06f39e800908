// Package capacity owns the table of what an installation of a size bears: the size itself, the measures of the program as it
// is, the lines through them, and the page that holds them against the budget. It must never write a figure that the run
// at hand has not given, nor leave out one that misses; and it is never linked into the daemon.
package capacity

// about says of each group of measures how they are got and what they cannot show. No figures stand here.
var about = map[string]string{
	"list": "The program as a process of its own, told lists by a discovery on loopback that speaks the platform's protocol. Processor time is the\n" +
		"process's own clock, memory its VmHWM. Nobody calls it, and no app node is dialled.",
	"settings": "The program as a process, with so many of one thing: routes over few pools and few app nodes, pools over all app nodes, tenants alone; its\n" +
		"files are then written anew with one of them changed, and it gets a SIGHUP. Its limit on memory is one that the collector never comes near.",
	"catalog": "The program as a process that follows settings by entries in the lab's store, where it does that; one tenant after the other is changed.",
	"calls": "Calls at set moments on kept connections, straight to an app node and through the program by turns. What waits behind a busy machine\n" +
		"counts as time; where calls without the balancer are late too, nothing is said of what it adds.",
	"subset":    "The sets of internal/fleet/subset in this process: the part of one pool's app nodes that is one balancer's own.",
	"discovery": "What writing one line to many watches takes of one thread, on loopback, where the kernel does the readers' part of it too.",
	"source":    "The lab's store in a process of its own, read and watched over etcd's gateway by plain HTTP as the balancer does it.",
	"peers": "The program with peers as a process among members that live in this one. It is looked at soon after it knows them all, so that\n" +
		"what is left of the joins is in it; and a busy machine has members take each other for dead.",
}
