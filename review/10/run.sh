#!/bin/sh
# Case 10: see claim.txt. TROUBLE=0 runs the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for built in target/release/raildeal review/stand-2/target/stand-2; do
    [ -x "$built" ] || { echo "case 10: $built is not built" >&2; exit 2; }
done
exec review/stand-2/target/stand-2 10
