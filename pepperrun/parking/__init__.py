"""Parks idle client connections: one without a request in progress costs a record of some dozen bytes.

`linked_lists`, `timer_wheel`, `connection_table` and `budget` decide and do no I/O. `parked_sockets` and
`manager` own the descriptors in this process; `holders` and `holder` are the two ends of the processes that
hold further descriptors; `listener` attaches parking to a front's listening socket.
"""
