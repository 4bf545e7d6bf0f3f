#!/usr/bin/env bash
# Runs clang-tidy on every translation unit and shellcheck on every script.
# Skips a unit that has not changed since its last run without findings. The cache key is a hash of its preprocessed text.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
cache=${CATKIN_LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/catkinthread-lint}
mkdir -p "$cache"
git ls-files '*.sh' .ci/run | xargs shellcheck

lint_unit() {
  local unit=$1 command key
  command=$(jq -r --arg f "$PWD/$unit" '[.[] | select(.file == $f)][0].command // empty' "$2/compile_commands.json")
  [ -n "$command" ] || { echo "$unit: not in the build"; return 1; }
  command=$(sed -E 's/^([^ ]*ccache )//; s/ -o [^ ]+//; s/ -c / -E -P /' <<<"$command")
  key=$({ cat .clang-tidy; (cd "$2" && eval "$command"); } | sha256sum | cut -d' ' -f1)
  [ -e "$3/$key" ] && return 0
  clang-tidy -p "$2" --quiet "$unit" 2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2) || return 1
  touch "$3/$key"
}
export -f lint_unit
# shellcheck disable=SC2016  # the inner shell expands these
git ls-files 'src/*.cpp' 'platform/*.cpp' 'tools/*.cpp' 'tests/*.cpp' 'standins/*.cpp' 'bench/*.cpp' 'examples/*.cpp' |
  xargs -P "${JOBS:-$(nproc)}" -I{} bash -c 'lint_unit "$1" "$2" "$3"' _ {} "$build" "$cache"
