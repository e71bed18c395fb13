#!/bin/sh
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -x "$root/target/release/raildeal" ] && [ -x "$here/../bin/hook_allocates" ] || exit 2
exec "$here/../bin/hook_allocates" "$here/record.txt" "$root"
