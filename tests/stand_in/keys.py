"""Which tenants' names a member may hear, judged from the configurations that were sent."""

__all__ = ["judge_names"]


def judge_names(history, asked, apply_ms):
    """UNASKED and ROUTE for keys: a run's name is that of the tenant which holds the key of the client that asked.

    A run that arrives after a configuration was sent may go by it; by an older one it may go until `apply_ms` after
    the acknowledgement, and longer where the newer one doesn't hold the key at all: that a key taken away serves no
    more is another rule's matter.
    """
    configs = sorted((c for c in history.configs if c.valid), key=lambda c: c.revision)
    if not any("Tenants" in c.config for c in configs):
        return
    keys = {key for c in configs for key in _holders(c)}
    names = {name for c in configs for name in _holders(c).values()}
    for run in history.runs:
        attempt = asked[run.id][0] if run.id in asked else None
        if attempt is None or not any("Tenants" in c.config for c in _sent(configs, run)):
            continue
        what = f"{run.member} ran {run.id} {run.text}"
        if run.who in keys or attempt.key and run.who == attempt.key:
            yield "UNASKED", f"{what} and was told a key"
        elif not any(attempt.key in _holders(c) for c in _sent(configs, run)):
            if attempt.database not in _public(configs, run):
                yield "ROUTE", f"{what} for a client whose key no configuration had"
            elif run.who in names:
                yield "UNASKED", f"{what} as {run.who} for a client without a known key"
        else:
            allowed = _allowed(configs, run, attempt.key, apply_ms)
            if run.who not in allowed:
                yield "UNASKED", f"{what} as {run.who}, its client's key is of {sorted(allowed)}"


def _holders(order):
    """The tenant's name of each key in a configuration."""
    tenants = order.config.get("Tenants") or ()
    return {key: tenant["Name"] for tenant in tenants for key in tenant["ApiKeys"]}


def _sent(configs, run):
    return [c for c in configs if c.sent_at <= run.at]


def _public(configs, run):
    return {
        route["Hostname"]
        for c in _sent(configs, run)
        for route in c.config["Routes"]
        if route.get("Public")
    }


def _allowed(configs, run, key, apply_ms):
    """The names under which a run for `key` may be told, from the newest configuration back to the one in force."""
    names = set()
    for c in reversed(_sent(configs, run)):
        holder = _holders(c).get(key)
        if holder is not None:
            names.add(holder)
            if c.acked_at is not None and run.arrived > c.acked_at + apply_ms / 1000:
                break
    return names
