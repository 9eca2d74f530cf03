"""Foundation of all programs of the system: settings, links between its processes, errors, logs."""
