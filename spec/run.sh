#!/bin/sh
# Checks every model exhaustively, and checks that every broken variant is rejected.
# Each line of the list has the model, the expected result and the macros.
# Requires spin and gcc. Prints one line per check and fails if a result differs.
set -u
cd "$(dirname "$0")" || exit 2
list='
claim.pml holds -DBROKEN=0
claim.pml rejected -DBROKEN=1
claim.pml rejected -DBROKEN=2
claim.pml rejected -DBROKEN=3
claim.pml rejected -DBROKEN=4
claim.pml rejected -DBROKEN=5
grant.pml holds
grant_broken.pml rejected
configuration.pml holds -DBROKEN=0
configuration.pml rejected -DBROKEN=1
configuration.pml rejected -DBROKEN=2
configuration.pml rejected -DBROKEN=3
configuration.pml rejected -DBROKEN=4
confirmation.pml holds -DBROKEN=0
confirmation.pml rejected -DBROKEN=1
confirmation.pml rejected -DBROKEN=2
confirmation.pml rejected -DBROKEN=3
confirmation.pml rejected -DBROKEN=4
peers.pml holds -DBROKEN=0
peers.pml rejected -DBROKEN=1
peers.pml rejected -DBROKEN=2
peers.pml rejected -DBROKEN=3
peers.pml rejected -DBROKEN=4
peers.pml rejected -DBROKEN=5
duty.pml holds -DBROKEN=0
duty.pml rejected -DBROKEN=1
duty.pml rejected -DBROKEN=2
duty.pml rejected -DBROKEN=3
duty.pml rejected -DBROKEN=4
exchange.pml holds -DBROKEN=0
exchange.pml rejected -DBROKEN=1
exchange.pml rejected -DBROKEN=2
exchange.pml rejected -DBROKEN=3
exchange.pml rejected -DBROKEN=4
'
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
models=$PWD
failed=0
checked=$(mktemp "$work/listXXXXXX")
printf '%s' "$list" | sed '/^$/d' > "$checked"
while read -r model expected macros; do
	cd "$work" || exit 2
	cp "$models"/*.pml .
	# shellcheck disable=SC2086
	if ! spin $macros -a "$models/$model" > spin.out 2>&1 || ! gcc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=2048 -o pan pan.c > gcc.out 2>&1; then
		cat spin.out gcc.out 2>/dev/null
		echo "$model $macros: cannot be built"
		failed=1
		continue
	fi
	./pan -m1000000 > pan.out 2>&1
	errors=$(sed -n 's/.*errors: *\([0-9]*\).*/\1/p' pan.out | head -1)
	states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out | head -1)
	cut=$(grep -c 'max search depth too small\|out of memory\|Search not completed\|search not completed' pan.out)
	found=rejected
	if [ "${errors:-1}" = 0 ]; then
		found=holds
		[ "$cut" = 0 ] || found='not finished'
	fi
	[ -n "$errors" ] || found='not finished'
	if [ "$found" = "$expected" ]; then
		echo "ok: $model $macros: $found, ${states:-?} states"
	else
		echo "WRONG: $model $macros: $found, expected $expected, ${states:-?} states"
		failed=1
	fi
done < "$checked"
exit $failed
