"""A model of the fleet that the router serves, and a tool for experiments on it. Nothing here is part of
`serve`.
"""
