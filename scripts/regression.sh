#!/usr/bin/env bash
# Runs the regression steps that are required before a merge, one after the other, and prints a
# table of results. Steps that have completed on the same commit are skipped, so that an interrupted
# run can be resumed. The output of each step is kept in the directory given by -out.
#
#   scripts/regression.sh -bench PROGRAM -sites DIRECTORY -out DIRECTORY -why TEXT
#       [-only PATTERN] [-jobs 4] [-table]
#
# PROGRAM is the users' bench, and -sites is the directory of its site files. PATTERN selects steps
# by name, such as 'hunt-.*-grown'. -table only prints the table of the steps run so far.
set -euo pipefail
cd "$(dirname "$0")/.."

bench='' sites='' out='' why='' only='.' jobs=4 table=no

# Each day of the site with hundreds of machines is a separate step and runs alone, because a day
# takes about 400 processes, 4 GB and 6 minutes; an interruption then loses at most one day. For
# every other site, all days run in one step.
readonly LARGE=koumpi-router-large
readonly LARGE_DAYS=8
readonly GROWN='quote-bench-grown koumpi-router-grown failte-replies-grown koumpi-router-now-grown
  awsco-limpet-grown parathyro-grown trotro-commons-grown ihuriro-kigali-grown'
readonly GROWN_DAYS=8
readonly SMALL=quote-bench
readonly SMALL_DAYS=40

usage() {
  sed -n '2,10s/^# \{0,1\}//p' "$0" >&2
  exit 2
}

while [ $# -gt 0 ]; do
  case $1 in
    -table) table=yes; shift ;;
    -bench | -sites | -out | -why | -only | -jobs)
      [ $# -ge 2 ] || usage
      printf -v "${1#-}" %s "$2"
      shift 2
      ;;
    *) usage ;;
  esac
done
[ -n "$out" ] || usage
[ "$table" = yes ] || { [ -n "$bench" ] && [ -n "$sites" ] && [ -n "$why" ]; } || usage

# steps prints the steps in order, one per line: name, verb, site, jobs, options. Hunts come before
# scores, and the shortest hunt first, because a violated rule matters more than a score.
steps() {
  local site day
  echo "hunt-$SMALL hunt $SMALL $jobs --days $SMALL_DAYS"
  for site in $GROWN; do
    echo "hunt-$site hunt $site $jobs --days $GROWN_DAYS"
  done
  for ((day = 1; day <= LARGE_DAYS; day++)); do
    echo "hunt-$LARGE-$day hunt $LARGE 1 --days 1"
  done
  for site in $SMALL $GROWN; do
    echo "score-$site score $site $jobs"
  done
  echo "score-$LARGE score $LARGE 1"
}

# site_file prints the path of a site's file below the directory of -sites.
site_file() {
  local found
  found=$(find "$sites" -name "$1.toml" -print -quit)
  [ -n "$found" ] || { echo "no site file $1.toml below $sites" >&2; return 1; }
  echo "$found"
}

# commit prints the current commit, with the suffix +changes if the working tree has changes outside
# journal, where the bench writes its entries.
commit() {
  local head
  head=$(git rev-parse --short HEAD)
  [ -z "$(git status --porcelain -- . ':!journal')" ] || head+='+changes'
  echo "$head"
}

# play runs a step unless it has completed on this commit.
play() {
  local name=$1 verb=$2 site=$3 step_jobs=$4 file began
  shift 4
  if [ "$(cat "$out/$name.done" 2>/dev/null)" = "$played" ]; then
    echo "$name: played already"
    return 0
  fi
  file=$(site_file "$site")
  began=$SECONDS
  echo "$name: begun at $(date +%H:%M:%S)"
  if ! "$bench" "$verb" "$file" "$@" --jobs "$step_jobs" --why "$why" >"$out/$name.txt" 2>&1; then
    echo "$name: ended with an error, see $out/$name.txt"
    return 0
  fi
  echo "$played" >"$out/$name.done"
  echo "$name: $(((SECONDS - began + 30) / 60)) min, $(verdict "$name")"
}

# verdict prints a summary of a step's result.
verdict() {
  grep -hoE 'GATE (passed|failed)|[0-9]+ days on .*, [0-9]+ with a rule broken' "$out/$1.txt" | paste -sd ';' || true
}

# print_table prints the verdict of each step, followed by one line per day.
print_table() {
  local name rest
  while read -r name rest; do
    [ -f "$out/$name.txt" ] || continue
    [ -f "$out/$name.done" ] || echo "$name: not played to its end"
    [ ! -f "$out/$name.done" ] || echo "$name, commit $(cat "$out/$name.done"): $(verdict "$name")"
    # The line of a day contains the number of machines as OWN/UPSTREAMS.
    grep -hE '[0-9]+/[0-9]+ +[0-9]+\.[0-9]+ ' "$out/$name.txt" | sed 's/^/    /' || true
  done < <(steps)
}

mkdir -p "$out"
if [ "$table" = no ]; then
  readonly played=$(commit)
  while read -r name verb site step_jobs options; do
    [[ $name =~ $only ]] || continue
    # shellcheck disable=SC2086 # The options are several words and need word splitting.
    play "$name" "$verb" "$site" "$step_jobs" $options </dev/null
  done < <(steps)
fi
print_table
