"""Control nodes for resumable sessions, which outlive a connection.

The control state records the epochs of member groups, the proxies, and each proxy's share of the
connections to a member. `planning_duty.PlanningDuty.run` is the main loop; `plan.next_step` has the
decisions.
"""
