"""Builds one dispatcher from the settings object and resolves ids to entities, for the platform and the simulator."""
