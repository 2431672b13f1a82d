"""Accounts for the lost requests of a day by their causes, from the logs of routers."""
