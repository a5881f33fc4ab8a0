"""One dispatcher built from the settings object; ids become entities here, for the platform and the simulator."""
