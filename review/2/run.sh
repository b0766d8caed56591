#!/bin/sh
# Plays the case; with TROUBLE=0, without its disruption. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin tunnel review/2 "${TROUBLE:-1}"
