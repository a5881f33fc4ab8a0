"""Scripted bad days: load and faults played through real processes, judged by the audit."""
