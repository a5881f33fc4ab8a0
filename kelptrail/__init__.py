"""kelptrail: a dispatcher for many small models that share a fleet of workers."""
