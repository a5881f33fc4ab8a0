"""Primary-backup replication of the journal of deferred calls, so that it survives the loss of a machine."""
