#!/bin/sh
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$folder/../run-case.sh" "$folder" slow-reader-idle
