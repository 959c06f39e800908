package completion

import (
	"maps"
	"slices"
	"strings"
)

// placeholder stands for the program's name in the scripts.
const placeholder = "rudderlab"

// scripts ask the program for each line what may come next, so that they never grow old. Where it has nothing to say
// the shell offers files.
var scripts = map[string]string{
	"bash": `_rudderlab() {
  local IFS=$'\n'
  COMPREPLY=($(compgen -W "$("${COMP_WORDS[0]}" complete -- "${COMP_WORDS[@]:1:COMP_CWORD}")" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _rudderlab rudderlab
`,
	"zsh": `#compdef rudderlab
_rudderlab() {
  local -a next
  next=("${(@f)$("${words[1]}" complete -- "${(@)words[2,CURRENT]}")}")
  [[ -n "${next[1]}" ]] && compadd -a next || _files
}
compdef _rudderlab rudderlab
`,
	"fish": `complete -c rudderlab -a '(rudderlab complete -- (commandline -opc)[2..] (commandline -ct))'
`,
}

// Shells lists the shells that there is a script for.
func Shells() []string { return slices.Sorted(maps.Keys(scripts)) }

// Script is what a shell reads to complete the command lines of a program.
func Script(shell, program string) string {
	return strings.ReplaceAll(scripts[shell], placeholder, program)
}
