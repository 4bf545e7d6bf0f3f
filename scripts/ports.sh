# shellcheck shell=bash
# Reserves ports of the loopback interface, by the same locked files as tests/port_block_helper.cpp.
# To be sourced; the ports stay reserved until this shell and all programs that it has started end.

# reserve_ports FIRST COUNT: fails if a test or another cluster has one of the ports.
reserve_ports() {
  local first=$1 count=$2 directory=/tmp/catkin-ports ports_per_lock=50 port file
  mkdir -p "$directory"
  chmod 0777 "$directory" 2>/dev/null || true # another user may own it
  for ((port = first - first % ports_per_lock; port < first + count; port += ports_per_lock)); do
    exec {file}>>"$directory/$port"
    if ! flock -n "$file"; then
      echo "port $port and the following ones are in use by a test or another cluster" >&2
      return 1
    fi
  done
}
