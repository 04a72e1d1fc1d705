#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/heatherslip ] || [ ! -x target/review-2 ]; then
	echo "build first: the deploy file's command and review/build-2.sh" >&2
	exit 2
fi
exec target/review-2 --root . --dir review/7 overtake
