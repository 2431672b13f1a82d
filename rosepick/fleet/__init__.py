"""Who of a fleet may be out: the ledger, its budget, what an agent does with its member, who counts. No
I/O, no clock.
"""
