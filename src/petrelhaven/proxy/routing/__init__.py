"""The way of a statement from its client to a member and back.

1. The members' and clients' protocol is spoken by an adapter (for the platform: the modules
   `client_connection`, `member_connections`). It calls `ProxyNode.serve_one` (`proxy/node`).
2. `reply_without_member` (`session/immediate_reply`) answers SET, PREPARE, DEALLOC, BEGIN, ROLLBACK.
3. All others: `ProxyNode._run_routed` finds route and group, asks the embargo filter, and makes a
   `Request` of it; `RequestSlots.enter` runs that in a slot, or sheds it.
4. `StatementPath.run` gives it to `ReadPath`, `WritePath` or `TransactionPath`; a transaction
   begins at a member by `TransactionStart.run` with its first statement.
5. A read gets a position from `ReadPlacement.carrier` or `position` (the read clock,
   `reads/read_clock`); `MemberGroup.pick_member` names the member. Writes go to
   `MemberGroup.available_primary`.
6. `MemberCalls.send` takes a connection (`ConnectionPool.acquire`), sets it up
   (`MemberConnection.set_up`), checks the lease for a carried fetch, and sends (`send_statement`).
7. The reply comes back the same way: `MemberCalls.outcome` notes what it shows of the member;
   a write's success may need a replica's proof first (`MemberProofs.needs_replica_confirmation`).

What a proxy does without a lease: it goes on serving. `MemberGroup.leased_primary` is None, so
no read carries its own fetch: positions come by STATUS (`MemberGroup._fetch`), and from all other
members they prove nothing (`MemberProofs._are_enough`). Successes of writes and commits count
only once a known replica shows them (`MemberProofs.confirm_commit`), where commits wait for one at
all. Groups under an embargo answer
`withheld` (`proxy/embargo`). The lease itself is `CoreConnection.holds_lease`.
"""
