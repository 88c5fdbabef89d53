#!/usr/bin/env bash
# Plays overlapping faults, drawn from a seed, against nodes that run as processes: of the store and of upstreams, and
# checks that upstreams that have left get no requests (leaving), or planned stops, and checks that they cut none
# (stops), or surplus answers of upstreams, and checks that none is taken for another (copies). The last line has the seed, what was served and what broke; the exit code is 1 if anything did.
#
#   scripts/soak.sh -seed N [-for 40s] [-nodes 8] [-play leaving|stops|copies]
set -uo pipefail
cd "$(dirname "$0")/.."

seed='' span=40s nodes=8 play=leaving
while [ $# -ge 2 ]; do
  case $1 in
    -seed) seed=$2 ;;
    -for) span=$2 ;;
    -nodes) nodes=$2 ;;
    -play) play=$2 ;;
    *) break ;;
  esac
  shift 2
done
case $play in
  leaving) test=TestSoak ;;
  stops) test=TestSoakOfStops ;;
  copies) test=TestSoakOfCopies ;;
  *) seed='' ;;
esac
if [ $# -gt 0 ] || [ -z "$seed" ]; then
  sed -n '2,6s/^# \{0,1\}//p' "$0" >&2
  exit 2
fi

LIMPETCLEAT_SOAK="$seed $span $nodes" go test -count=1 -timeout 30m -run "^$test\$" -v ./endtoend/soak >"/tmp/soak-$seed.$$" 2>&1
code=$?
grep -hE '(soak|stops|copies)_test.go.*(reached from|ended with|was sent|was answered|seed [0-9]+:)' "/tmp/soak-$seed.$$" | sed 's/^ *[a-z]*_test.go:[0-9]*: //'
[ $code -eq 0 ] && rm -f "/tmp/soak-$seed.$$" || echo "log: /tmp/soak-$seed.$$"
exit $((code != 0))
