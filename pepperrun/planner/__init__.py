"""The capacity planner: the first bottleneck, the nodes that a goal needs, the effect of losing a zone."""
