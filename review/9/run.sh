#!/bin/bash
# Plays the case; claim.txt says what it shows. Needs the build of the deploy file and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec ../../target/review-bed2 taken-up ../../target/fireflyshiftd record.txt
