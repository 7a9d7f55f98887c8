"""Tenants as a proxy knows them: who a client is, and whether its operations may run now."""
