"""Control of resumable sessions, which outlive a connection: epochs, proxies and their shares.

Start with `planning_duty.PlanningDuty.run`; what it decides is in `plan.next_step`.
"""
