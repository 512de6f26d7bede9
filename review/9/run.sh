#!/bin/sh
# Plays case 9. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not be played.
exec python3 "$(dirname "$0")/play.py"
