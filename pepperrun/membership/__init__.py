"""Who is there: failure detection, views, what to do while gatekeepers disagree. `service` alone does I/O."""
