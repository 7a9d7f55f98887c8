"""A stand-in of the platform that petrelhaven runs on: members, cloud, operator, clients, machines and a judge.

It is written from the platform's pages alone and knows nothing of petrelhaven's modules.
"""
