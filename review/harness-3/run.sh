# Runs the scenario of the case in whose folder the caller stands: 1 if the rule
# was broken, 0 if it held, 2 if the case could not run.
set -u
CASE_FOLDER=$(pwd)
Number=$(basename "$CASE_FOLDER")
cd ../.. || exit 2
Program=target/review-3/scenario-$Number
RUN_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER RUN_FOLDER
rm -f "$CASE_FOLDER/record.txt"
if [ ! -x "$Program" ]; then
  echo "$Program is missing: run review/build-3.sh" >&2
  rm -rf "$RUN_FOLDER"
  exit 2
fi
# The daemons end with the scenario.
timeout -k 2 115 "$Program"
Status=$?
rm -rf "$RUN_FOLDER"
case $Status in
0 | 1) exit $Status ;;
*) exit 2 ;;
esac
