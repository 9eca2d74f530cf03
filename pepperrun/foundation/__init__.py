"""Foundation (shared base of the system's programs): settings, wire between own processes, errors, logs."""
