// Package capacity owns the table of what an installation of a size bears: the size itself, the measures of the program as it
// is, the lines through them, and the page that holds them against the budget. It must never write a figure that the run
// at hand has not given, nor leave out one that misses; and it is never linked into the daemon.
package capacity

// about says of each group of measures how they are got and what they cannot show. No figures stand here.
var about = map[string]string{}
