"""The account of a day: what was lost and why, from the logs of routers."""
