"""One dispatcher built from the settings object; ids become objects here, whichever door it serves behind."""
