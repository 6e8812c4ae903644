# Runs the play of a case, and ends it if the case is ended. Sourced by run.sh of each case, which sets case_number.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
.venv/bin/python -B "review/$case_number/play.py" &
play=$!
trap 'kill -TERM $play 2>/dev/null' TERM INT HUP
code=
while [ -z "$code" ] || { [ "$code" -gt 128 ] && kill -0 $play 2>/dev/null; }; do
    wait $play
    code=$?
done
case $code in
    0) exit 0 ;;
    10) exit 1 ;;
    *) exit 2 ;;
esac
